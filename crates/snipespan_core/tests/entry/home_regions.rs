//! Tests of home regions: requests go only to data centres in a region of both lists.

use rstest::rstest;
use snipespan_core::entry::effect::Effect;
use snipespan_core::entry::event::Event;
use snipespan_core::entry::event::Vm;
use snipespan_core::entry::settings::EntrySettings;
use snipespan_core::entry::settings::RoutingPolicy;
use snipespan_core::identity::DataCentre;
use snipespan_core::identity::Target;
use snipespan_core::result_code::ResultCode;

use crate::kit::Kit;
use crate::kit::answered_code;
use crate::kit::charge;
use crate::kit::chat;
use crate::kit::configuration;
use crate::kit::connects;
use crate::kit::dispatched;
use crate::kit::settings;
use crate::kit::vm;

/// Data centres of the tests, with their regions in the settings, if any.
const DATA_CENTRES: [(&str, Option<&str>); 3] =
    [("graz-1", Some("north")), ("accra-1", Some("south")), ("oslo-1", None)];

/// Starts an entry with one backend server for `target` in each data centre, and home regions for
/// its account and its model.
fn start(target: &Target, account: &[&str], model: &[&str]) -> Kit {
    let named = |(name, region): &(&str, Option<&str>)| {
        region.map(|region| (DataCentre((*name).into()), region.into()))
    };
    let regions = DATA_CENTRES.iter().filter_map(named).collect();
    let settings = EntrySettings { regions, ..settings(RoutingPolicy::EarliestFirstToken) };
    let mut kit = Kit::with_settings(settings);
    let vms = (0..)
        .zip(DATA_CENTRES)
        .map(|(index, (name, _))| Vm { data_centre: DataCentre(name.into()), ..vm(index) });
    let vms = vms.collect();
    for key in connects(&kit.tick(vec![Event::VmListRead { vms }])) {
        kit.send_hello(key, target.clone());
    }
    let mut configuration = configuration(2);
    let names = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    configuration.accounts.get_mut("desk").expect("the account exists").home_regions =
        names(account);
    configuration.models.get_mut("drafts").expect("the model exists").home_regions = names(model);
    kit.tick(vec![Event::ConfigurationReceived(Box::new(configuration))]);
    kit
}

fn data_centre(kit: &Kit, effects: &[Effect]) -> Option<String> {
    let server = dispatched(effects)?.backend_server;
    kit.world.backend_servers.rows.get(server).map(|row| row.vm.data_centre.to_string())
}

/// A request must go only to a data centre in a region of both lists, and one whose region is not
/// known must be in no home region.
#[rstest]
#[case::none(&[], &[], Some("graz-1"))]
#[case::account(&["south"], &[], Some("accra-1"))]
#[case::model(&[], &["south"], Some("accra-1"))]
#[case::both(&["north", "south"], &["south", "east"], Some("accra-1"))]
#[case::disjoint(&["north"], &["south"], None)]
#[case::unknown(&["east"], &[], None)]
fn place_by_homes(
    #[case] account: &[&str],
    #[case] model: &[&str],
    #[case] expected: Option<&str>,
) {
    let mut kit = start(&Target::Model("drafts".into()), account, model);
    let request = kit.arrive().unwrap();
    let effects = kit.tick(vec![Event::BodyRead { request, body: chat() }]);
    assert_eq!(data_centre(&kit, &effects).as_deref(), expected);
    let refused = expected.is_none().then_some(ResultCode::NoBackendServer);
    assert_eq!(answered_code(&effects), refused);
    assert_eq!(kit.world.counters.refused_outside_home_regions, u64::from(refused.is_some()));
}

/// A call of a plain service must keep to the home regions of its account, also in the side
/// processes that its durable record lists.
#[test]
fn record_by_homes() {
    let mut kit = start(&Target::Service("orders".into()), &["south"], &[]);
    let request = kit.arrive().unwrap();
    let effects = kit.tick(vec![Event::BodyRead { request, body: charge(Some("a")) }]);
    let listed = effects.iter().find_map(|effect| match effect {
        Effect::CreateRecord { record, .. } => Some(record.eligible_instances.clone()),
        _ => None,
    });
    let listed: Vec<_> = listed.unwrap().into_iter().map(|instance| instance.vm).collect();
    assert_eq!(listed, [vm(1).id]);
}

/// A configuration that is put in force must be checked with the regions that the entry knows, and a
/// finding must be logged once, not again with each revision.
#[test]
fn check_configuration_in_force() {
    let mut kit = start(&Target::Model("drafts".into()), &[], &[]);
    let logged = |effects: Vec<Effect>| {
        let decisions = effects.into_iter().filter_map(|effect| match effect {
            Effect::LogDecision(decision) => Some(decision.to_string()),
            _ => None,
        });
        decisions.collect::<Vec<_>>()
    };
    let mut in_east = configuration(3);
    in_east.models.get_mut("drafts").expect("the model exists").home_regions = vec!["east".into()];
    let lines = logged(kit.tick(vec![Event::ConfigurationReceived(Box::new(in_east.clone()))]));
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("configuration=3 contradiction: model \"drafts\""), "{lines:?}");
    in_east.revision = 4.into();
    let lines = logged(kit.tick(vec![Event::ConfigurationReceived(Box::new(in_east))]));
    assert!(lines.is_empty(), "{lines:?}");
}
