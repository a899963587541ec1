//! A request that may not be repeated runs at most once, whichever process or store fails while it
//! is in progress. `executions()` of the fake service counts the runs by idempotency key.

use std::time::Duration;

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use snipespan_caller::caller::Caller;
use snipespan_caller::caller::ServiceCall;
use snipespan_caller::outcome::CallOutcome;
use snipespan_core::result_code::ResultCode;
use snipespan_fakes::fault_proxy::Fault;
use snipespan_fakes::fault_proxy::FaultProxy;
use snipespan_fakes::plain_service::FakeService;
use snipespan_fakes::plain_service::ServiceFaults;
use snipespan_fakes::platform::FakePlatform;
use snipespan_fakes::platform::PlatformFaults;
use tokio::task::JoinHandle;

use crate::harness::Fleet;
use crate::harness::Process;
use crate::harness::SETUP_REVISION;
use crate::harness::TestEnv;
use crate::harness::caller;
use crate::harness::charge;
use crate::harness::service_backend;
use crate::harness::start_service;
use crate::harness::wait_until;

/// Retries a call with the same idempotency key until it is no longer reported as in progress.
async fn retry_while_in_progress(caller: &Caller, call: &ServiceCall<'_>) -> CallOutcome {
    loop {
        let outcome = caller.call(call).await;
        if outcome.code != Some(ResultCode::InProgress) {
            return outcome;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Twenty calls with one key arrive at two entries at once: one runs, and the others are answered
/// from its record or as in progress.
#[tokio::test(flavor = "multi_thread")]
async fn charge_through_entries_at_once() {
    let fleet = Fleet::start(2, 1).await;
    let callers: Vec<_> = fleet.entries.iter().map(caller).collect();
    let call = charge("order-1");
    let outcomes = join_all((0..20).map(|index| callers[index % 2].call(&call))).await;
    let runs = outcomes.iter().filter(|o| o.status == 200 && !o.is_replayed).count();
    assert_eq!(runs, 1, "{outcomes:?}");
    let others =
        outcomes.iter().filter(|o| o.is_replayed || o.code == Some(ResultCode::InProgress));
    assert_eq!(others.count(), 19, "{outcomes:?}");
    for caller in &callers {
        assert!(retry_while_in_progress(caller, &call).await.is_replayed);
    }
    assert_eq!(fleet.service.executions().get("order-1"), Some(&1));
}

/// A key that is reused for another body is refused.
#[tokio::test(flavor = "multi_thread")]
async fn charge_key_for_another_body() {
    let fleet = Fleet::start(1, 1).await;
    let caller = caller(&fleet.entries[0]);
    assert_eq!(caller.call(&charge("order-1")).await.status, 200);
    let other = ServiceCall { body: "{\"amount\":2}", ..charge("order-1") };
    let outcome = caller.call(&other).await;
    assert_eq!(outcome.code, Some(ResultCode::IdempotencyKeyReused));
    assert_eq!(fleet.service.executions().get("order-1"), Some(&1));
}

/// The store commits the record and its answer is lost. The entry must recognise its own record and
/// run the charge.
#[tokio::test(flavor = "multi_thread")]
async fn charge_store_answers_lost() {
    let fleet = Fleet::start(2, 1).await;
    let faults = PlatformFaults { lose_answers: 1, ..PlatformFaults::default() };
    fleet.env.platform.set_faults(faults);
    let outcome = caller(&fleet.entries[0]).call(&charge("order-1")).await;
    assert_eq!(outcome.status, 200, "{outcome:?}");
    let again = retry_while_in_progress(&caller(&fleet.entries[1]), &charge("order-1")).await;
    assert!(again.is_replayed, "{again:?}");
    assert_eq!(fleet.service.executions().get("order-1"), Some(&1));
}

/// The store is down before the record exists: the charge must not run, and a retry after the store
/// is up runs it.
#[tokio::test(flavor = "multi_thread")]
async fn charge_store_down_before_record() {
    let fleet = Fleet::start(1, 1).await;
    fleet.env.platform.set_faults(PlatformFaults { is_down: true, ..Default::default() });
    let call = ServiceCall { time_limit: Some(Duration::from_secs(1)), ..charge("order-1") };
    let outcome = caller(&fleet.entries[0]).call(&call).await;
    assert!(outcome.code.is_some_and(ResultCode::is_not_run), "{outcome:?}");
    fleet.env.platform.set_faults(PlatformFaults::default());
    let outcome = retry_while_in_progress(&caller(&fleet.entries[0]), &charge("order-1")).await;
    assert_eq!(outcome.status, 200, "{outcome:?}");
    assert_eq!(fleet.service.executions().get("order-1"), Some(&1));
}

/// The store refuses commits beyond two per second. Charges whose records are refused must wait
/// instead of failing, and each runs once.
#[tokio::test(flavor = "multi_thread")]
async fn charge_store_bounded() {
    let fleet = Fleet::start(2, 1).await;
    let faults = PlatformFaults { max_commits_per_second: Some(2), ..Default::default() };
    fleet.env.platform.set_faults(faults);
    let caller = caller(&fleet.entries[0]);
    let keys: Vec<String> = (0..4).map(|index| format!("order-{index}")).collect();
    let outcomes = join_all(keys.iter().map(|key| {
        let caller = caller.clone();
        async move { caller.call(&charge(key)).await }
    }))
    .await;
    assert!(outcomes.iter().all(|outcome| outcome.status == 200), "{outcomes:?}");
    assert!(fleet.service.executions().values().all(|runs| *runs == 1));
}

/// The store fails while the charge runs, before its answer is recorded. The caller still gets the
/// answer, and a retry after the store is up gets it from the record.
#[tokio::test(flavor = "multi_thread")]
async fn charge_store_down_after_record() {
    let fleet = Fleet::start(2, 1).await;
    let slow = ServiceFaults { delay: Duration::from_millis(500), ..Default::default() };
    fleet.service.set_faults(slow);
    let caller_0 = caller(&fleet.entries[0]);
    let first = tokio::spawn(async move { caller_0.call(&charge("order-1")).await });
    let executions = || fleet.service.executions();
    wait_until("the charge runs", || async { executions().contains_key("order-1") }).await;
    fleet.env.platform.set_faults(PlatformFaults { is_down: true, ..Default::default() });
    assert_eq!(first.await.expect("the call ends").status, 200);
    fleet.env.platform.set_faults(PlatformFaults::default());
    let again = retry_while_in_progress(&caller(&fleet.entries[1]), &charge("order-1")).await;
    assert!(again.is_replayed, "{again:?}");
    assert_eq!(executions().get("order-1"), Some(&1));
}

/// The service runs the charge and breaks the connection before it answers: the outcome is unknown,
/// and a retry must not run it again.
#[tokio::test(flavor = "multi_thread")]
async fn charge_answer_cut() {
    let fleet = Fleet::start(2, 1).await;
    fleet.service.set_faults(ServiceFaults { disconnects: true, ..Default::default() });
    let first = caller(&fleet.entries[0]).call(&charge("order-1")).await;
    assert_eq!(first.code, Some(ResultCode::OutcomeUnknown), "{first:?}");
    fleet.service.set_faults(ServiceFaults::default());
    let again = retry_while_in_progress(&caller(&fleet.entries[1]), &charge("order-1")).await;
    assert_eq!(again.code, Some(ResultCode::OutcomeUnknown), "{again:?}");
    assert_eq!(fleet.service.executions().get("order-1"), Some(&1));
}

/// The side process is killed and replaced while the charge runs: the outcome is unknown, and the
/// new process must not run it again.
#[tokio::test(flavor = "multi_thread")]
async fn charge_side_killed_while_it_runs() {
    let mut fleet = Fleet::start(2, 1).await;
    let slow = ServiceFaults { delay: Duration::from_secs(3), ..Default::default() };
    fleet.service.set_faults(slow);
    let caller_0 = caller(&fleet.entries[0]);
    let first = tokio::spawn(async move { caller_0.call(&charge("order-1")).await });
    let service = &fleet.service;
    wait_until("the charge runs", || async { service.executions().contains_key("order-1") }).await;
    fleet.sides[0].kill();
    let backend = service_backend(&fleet.service);
    fleet.sides[0] = fleet.env.start_side("vm-service", &backend, "");
    let first = first.await.expect("the call ends");
    assert_eq!(first.code, Some(ResultCode::OutcomeUnknown), "{first:?}");
    let again = retry_while_in_progress(&caller(&fleet.entries[1]), &charge("order-1")).await;
    assert_eq!(again.code, Some(ResultCode::OutcomeUnknown), "{again:?}");
    assert_eq!(fleet.service.executions().get("order-1"), Some(&1));
}

/// A plain service and two entries, one of which reaches the store through a fault proxy.
struct ProxiedStoreFleet {
    env: TestEnv,
    proxy: FaultProxy,
    service: FakeService,
    _side: Process,
    proxied_entry: Process,
    direct_entry: Process,
}

impl ProxiedStoreFleet {
    async fn start() -> Self {
        let platform = FakePlatform::start().await.expect("the platform starts");
        let proxy = FaultProxy::start(platform.address()).await.expect("the proxy starts");
        let url = platform.url();
        let mut env = TestEnv::with_platform(platform, &url);
        let service = start_service().await;
        let side = env.start_side("vm-service", &service_backend(&service), "");
        let direct_entry = env.start_entry("vm-entry-direct", "");
        env.configure(&direct_entry).await;
        env.deployment.set_platform_url(&format!("http://{}", proxy.address()));
        let proxied_entry = env.start_entry("vm-entry-proxy", "");
        for entry in [&proxied_entry, &direct_entry] {
            let mut operator = env.connect_operator(entry).await;
            operator.wait_for_ready(1).await;
            operator.wait_for_revision(SETUP_REVISION).await;
        }
        Self { env, proxy, service, _side: side, proxied_entry, direct_entry }
    }

    /// Sends a charge through the entry behind the proxy, and freezes that entry after the store
    /// has created the record and before the entry receives the delayed reply.
    async fn freeze_before_dispatch(&self, limit: Duration) -> JoinHandle<CallOutcome> {
        self.proxy.set_fault(Fault::Delay(Duration::from_millis(400)));
        let caller = caller(&self.proxied_entry);
        let sent = tokio::spawn(async move {
            caller.call(&ServiceCall { time_limit: Some(limit), ..charge("order-1") }).await
        });
        let has_record =
            || self.env.platform.keys().iter().any(|key| key.starts_with("idempotency/"));
        wait_until("the store has the record", || async { has_record() }).await;
        self.proxied_entry.send_signal(Signal::SIGSTOP);
        sent
    }

    /// Returns how often the service has run the charge.
    fn run_count(&self) -> u32 {
        self.service.executions().get("order-1").copied().unwrap_or(0)
    }
}

/// An entry is frozen between the creation of its record and the dispatch, and resumes after the
/// deadline of the request: it must not run the charge then. Until the deadline, a retry through
/// another entry must be reported as in progress and must not run the charge either.
#[tokio::test(flavor = "multi_thread")]
async fn charge_entry_frozen_before_dispatch() {
    let fleet = ProxiedStoreFleet::start().await;
    let limit = Duration::from_secs(3);
    let first = fleet.freeze_before_dispatch(limit).await;
    let other = caller(&fleet.direct_entry);
    let early = other.call(&charge("order-1")).await;
    assert_eq!(early.code, Some(ResultCode::InProgress), "{early:?}");
    tokio::time::sleep(limit).await;
    fleet.proxied_entry.send_signal(Signal::SIGCONT);
    let first = first.await.expect("the call ends");
    assert!(first.code.is_some_and(ResultCode::is_not_run), "{first:?}");
    // The resumed entry removes its record, so that the next request with the key may run.
    let again = retry_while_in_progress(&other, &charge("order-1")).await;
    assert_eq!((again.status, fleet.run_count()), (200, 1), "{again:?}");
}

/// The store accepts connections and never answers: the charge must not run without a record, and
/// is reported as not run at most two seconds after its time limit.
#[tokio::test(flavor = "multi_thread")]
async fn charge_store_frozen() {
    let fleet = ProxiedStoreFleet::start().await;
    fleet.proxy.set_fault(Fault::Freeze);
    let limit = Duration::from_secs(3);
    let call = ServiceCall { time_limit: Some(limit), ..charge("order-1") };
    let outcome = caller(&fleet.proxied_entry).call(&call).await;
    assert!(outcome.code.is_some_and(ResultCode::is_not_run), "{outcome:?}");
    assert!(outcome.total < limit + Duration::from_secs(2), "{outcome:?}");
    fleet.proxy.set_fault(Fault::None);
    let again = retry_while_in_progress(&caller(&fleet.direct_entry), &charge("order-1")).await;
    assert_eq!((again.status, fleet.run_count()), (200, 1), "{again:?}");
}

/// An entry is frozen before the dispatch until the other entry has had its request fenced and has
/// run the charge. The resumed entry must not run it a second time.
#[tokio::test(flavor = "multi_thread")]
async fn charge_entry_frozen_is_fenced() {
    let fleet = ProxiedStoreFleet::start().await;
    let first = fleet.freeze_before_dispatch(Duration::from_secs(2)).await;
    let again = retry_while_in_progress(&caller(&fleet.direct_entry), &charge("order-1")).await;
    assert_eq!((again.status, fleet.run_count()), (200, 1), "{again:?}");
    fleet.proxied_entry.send_signal(Signal::SIGCONT);
    let first = first.await.expect("the call ends");
    assert!(first.code.is_some_and(ResultCode::is_not_run), "{first:?}");
    let last = retry_while_in_progress(&caller(&fleet.direct_entry), &charge("order-1")).await;
    assert!(last.is_replayed, "{last:?}");
    assert_eq!(fleet.run_count(), 1);
}

/// The entry is killed while the charge runs: the side process has accepted it and cannot fence it,
/// so the outcome is unknown and a retry must not run it again.
#[tokio::test(flavor = "multi_thread")]
async fn charge_entry_killed_while_it_runs() {
    let mut fleet = Fleet::start(2, 1).await;
    let slow = ServiceFaults { delay: Duration::from_secs(1), ..Default::default() };
    fleet.service.set_faults(slow);
    let caller_0 = caller(&fleet.entries[0]);
    let sent = tokio::spawn(async move {
        let limit = Some(Duration::from_secs(2));
        caller_0.call(&ServiceCall { time_limit: limit, ..charge("order-1") }).await
    });
    let service = &fleet.service;
    wait_until("the charge runs", || async { service.executions().contains_key("order-1") }).await;
    fleet.entries[0].kill();
    assert_eq!(sent.await.expect("the call ends").status, 0);
    let again = retry_while_in_progress(&caller(&fleet.entries[1]), &charge("order-1")).await;
    assert_eq!(again.code, Some(ResultCode::OutcomeUnknown), "{again:?}");
    assert_eq!(fleet.service.executions().get("order-1"), Some(&1));
}
