//! Comparison of ways to apportion the rate of a cold backend server. The figures are in
//! docs/design/shared-rates.md; `cargo test -p snipespan_core --test gateway compare_ways --
//! --nocapture` prints them.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use slotmap::Key;
use snipespan_core::gateway::systems::shared_rates;
use snipespan_core::gateway::systems::shared_rates::RateLimit;
use snipespan_core::gateway::tables::backend_servers::RateReason;
use snipespan_core::gateway::tables::peers::GatewayView;
use snipespan_core::gateway::tables::shared_rates::Apportionment;
use snipespan_core::gateway::tables::shared_rates::RateTarget;
use snipespan_core::gateway::tables::shared_rates::SharedRate;
use snipespan_core::keys::BackendServerKey;
use snipespan_core::time::Timestamp;

const LIMIT: RateLimit = RateLimit { rate: 28.0, bound: 47.0, part: 4.0 };
const SECOND: Duration = Duration::from_secs(1);

/// Bytes that a gateway adds to its snapshot for a cold backend server where demand is reported:
/// the hash of the instance, and a count.
const REPORT_BYTES: usize = 10;

/// When the gateways are cut into halves, and the end.
const CUT_AT: Duration = Duration::from_secs(30);
const END: Duration = Duration::from_secs(40);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Even,
    ByDemand,
    /// This number of owners.
    Owners(u32),
    /// As built.
    Built,
}

#[derive(Debug)]
#[allow(dead_code, reason = "all figures are printed")]
struct Figures {
    /// Share of the rate that is used while all hear each other.
    used: f64,
    /// Most requests within a second, and the same after the cut.
    most: usize,
    most_cut: usize,
    /// Bytes to peers per second, of all gateways.
    bytes_per_s: usize,
}

fn most_in_a_second(sends: &[Timestamp]) -> usize {
    let mut start = 0;
    let within = sends.iter().enumerate().map(|(end, sent)| {
        while sent.since(sends[start]) >= SECOND {
            start += 1;
        }
        end + 1 - start
    });
    within.max().unwrap_or_default()
}

/// Returns the apportionment of a gateway and the amount that it applies to.
fn share(
    way: Way,
    (rank, draw): (u32, u64),
    view: &GatewayView,
    demand: (u32, u32),
) -> (f64, Apportionment) {
    let even = |gateways| Apportionment::Even { gateways };
    match way {
        Way::Even => (LIMIT.rate, even(view.known)),
        Way::ByDemand => (LIMIT.rate * f64::from(demand.0) / f64::from(demand.1.max(1)), even(1)),
        Way::Owners(owners) if rank < owners => (LIMIT.rate, Apportionment::Owner { rank, owners }),
        Way::Owners(_) => (LIMIT.rate, Apportionment::Nothing),
        Way::Built => {
            let share = shared_rates::rate_share(view, LIMIT, rank as usize, draw);
            (share.amount, share.apportionment)
        }
    }
}

/// Plays requests that arrive at random at `gateways`, `demand` per second at each, all for one cold
/// backend server; those that the share does not allow go elsewhere.
fn play(way: Way, gateways: usize, demand: f64) -> Figures {
    let mut rng = SmallRng::seed_from_u64(1);
    let target = RateTarget::Server(BackendServerKey::null(), RateReason::Cold);
    let mut rates = vec![SharedRate::new(target, 0.0, SECOND); gateways];
    let (mut last, mut current) = (vec![1_u32; gateways], vec![0_u32; gateways]);
    let (mut sends, mut shared_at) = (Vec::new(), None);
    let mut now = Timestamp::from_micros(1);
    while now < Timestamp::ZERO.after(END) {
        if shared_at.is_none_or(|at| now.since(at) >= SECOND) {
            if shared_at.is_some() {
                last = std::mem::replace(&mut current, vec![0; gateways]);
            }
            shared_at = Some(now);
            let is_cut = now >= Timestamp::ZERO.after(CUT_AT);
            for gateway in 0..gateways {
                let half = gateways / 2;
                let side = match (is_cut, gateway < half) {
                    (false, _) => 0..gateways,
                    (true, true) => 0..half,
                    (true, false) => half..gateways,
                };
                let heard = side.len();
                let view = GatewayView {
                    heard,
                    known: gateways,
                    has_list: true,
                    ..GatewayView::default()
                };
                let total = last[side.clone()].iter().sum();
                let rank = (gateway - side.start) as u32;
                let draw = shared_rates::rendezvous(gateway as u64, 7);
                let (amount, apportionment) =
                    share(way, (rank, draw), &view, (last[gateway], total));
                rates[gateway].amount = amount;
                rates[gateway].apportionment = apportionment;
            }
        }
        let gateway = rng.random_range(0..gateways);
        current[gateway] += 1;
        if rates[gateway].try_use(now) {
            sends.push(now);
        }
        let pause = -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / (demand * gateways as f64);
        now = now.after(Duration::from_secs_f64(pause));
    }
    let cut = sends.partition_point(|sent| *sent < Timestamp::ZERO.after(CUT_AT));
    let used = cut as f64 / (LIMIT.rate * CUT_AT.as_secs_f64());
    let bytes_per_s = match way {
        Way::ByDemand => gateways * (gateways - 1) * REPORT_BYTES,
        _ => 0,
    };
    let (most, most_cut) = (most_in_a_second(&sends[..cut]), most_in_a_second(&sends[cut..]));
    Figures { used, most, most_cut, bytes_per_s }
}

/// Guards against a choice without figures, and against a later change that makes it a wrong one.
#[rstest]
fn compare_ways(#[values(3, 31, 300)] gateways: usize, #[values(3.0, 10.0)] demand: f64) {
    let ways = [
        Way::Even,
        Way::ByDemand,
        Way::Owners(1),
        Way::Owners(3),
        Way::Owners(7),
        Way::Owners(14),
        Way::Built,
    ];
    for way in ways {
        let figures = play(way, gateways, demand);
        println!("{gateways} gateways, {demand}/s each, {way:?}: {figures:?}");
        if way == Way::Built {
            assert!(figures.most.max(figures.most_cut) <= LIMIT.bound as usize, "{figures:?}");
        }
    }
}

/// Guards against shares that are more than the bound together: of the owners in two views at once,
/// each without some gateways; of the owners and a minority that does not hear them; and of all
/// gateways, none of which hears another.
#[rstest]
#[case::first_deployment(28.0, 47.0, 27)]
#[case::second_deployment(28.0, 47.0, 31)]
#[case::no_slack(28.0, 28.0, 27)]
#[case::small_rate(2.5, 8.75, 3)]
#[case::less_than_one(0.5, 5.75, 5)]
#[case::large_rate(500.0, 755.0, 300)]
fn rate_share_of_all_gateways_within_the_bound(
    #[case] rate: f64,
    #[case] bound: f64,
    #[case] known: usize,
) {
    let limit = RateLimit { rate, bound, part: 4.0 };
    let uses_of = |heard: usize| -> u32 {
        let view = GatewayView { heard, known, has_list: true, ..GatewayView::default() };
        let uses = (0..heard).map(|rank| {
            let share = shared_rates::rate_share(&view, limit, rank, 0);
            let target = RateTarget::Server(BackendServerKey::null(), RateReason::Cold);
            let mut rate = SharedRate::new(target, share.amount, SECOND);
            rate.apportionment = share.apportionment;
            rate.allowance().uses
        });
        uses.sum()
    };
    let majority = known / 2 + 1;
    assert!(f64::from(uses_of(known)) <= rate.max(1.0), "all hear each other");
    assert!(f64::from(2 * uses_of(majority)) <= bound, "two views");
    assert!(f64::from(uses_of(majority) + uses_of(known - majority)) <= bound, "a minority");
    assert!(f64::from(uses_of(1) * known as u32) <= bound, "none hears another");
}
