//! Tests of the configuration chain against a fake platform.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use std::time::Duration;

use snipespan_core::configuration::Change;
use snipespan_core::configuration::Configuration;
use snipespan_core::configuration::Revision;
use snipespan_core::identity::DataCentre;
use snipespan_core::identity::VmId;
use snipespan_fakes::platform::FakePlatform;
use snipespan_platform::client::PlatformClient;
use snipespan_platform::configuration_store::ChainedConfiguration;
use snipespan_platform::configuration_store::ChangeFailure;
use snipespan_platform::configuration_store::ChangeRequest;
use snipespan_platform::configuration_store::ConfigurationStore;
use snipespan_platform::configuration_store::FollowError;
use snipespan_platform::configuration_store::SNAPSHOT_INTERVAL_REVISIONS;

async fn start() -> (FakePlatform, ConfigurationStore) {
    let platform = FakePlatform::start().await.expect("the fake platform starts");
    let client = PlatformClient::new(&platform.url(), Duration::from_secs(5)).expect("a valid URL");
    (platform, ConfigurationStore::new(client))
}

fn drain(id: u64) -> ChangeRequest {
    ChangeRequest {
        change_id: format!("change-{id}").into(),
        operator: "anna".into(),
        base: None,
        change: Change::Drain(VmId(format!("vm-{id}").into())),
    }
}

/// Guards against a load that reads each revision on its own, or whose result differs from the
/// chain.
#[tokio::test]
async fn load_from_snapshot() {
    let (platform, store) = start().await;
    let changes = SNAPSHOT_INTERVAL_REVISIONS + 3;
    for id in 1..=changes {
        assert_eq!(store.apply(&drain(id)).await.expect("the change is accepted"), Revision(id));
    }
    let loaded = store.load().await.expect("the configuration is read");
    assert_eq!(loaded.configuration.drained.len() as u64, changes);
    // Reading all revisions without a snapshot gives the same configuration and digest.
    let followed =
        store.follow(&ChainedConfiguration::default()).await.expect("the configuration is read");
    assert_eq!(followed, Some(loaded));
    // The pointer to the snapshot, the head and the scans of revisions take at most four reads.
    let before = platform.counts();
    store.load().await.expect("the configuration is read");
    assert!(platform.counts().reads - before.reads <= 4);
}

/// Guards against following a chain with another history: first at the same revision, where the
/// digests of the heads differ, then at a later one, whose row does not continue the own chain.
#[tokio::test]
async fn follow_forked_chain() {
    let (_platform, store) = start().await;
    let (_other_platform, other) = start().await;
    store.apply(&drain(1)).await.expect("the change is accepted");
    other.apply(&drain(2)).await.expect("the change is accepted");
    let own = other.load().await.expect("the configuration is read");
    let followed = store.follow(&own).await;
    assert!(matches!(followed, Err(FollowError::Forked { .. })), "{followed:?}");
    store.apply(&drain(3)).await.expect("the change is accepted");
    let followed = store.follow(&own).await;
    assert!(matches!(followed, Err(FollowError::Forked { .. })), "{followed:?}");
}

/// Guards against going back to an older configuration after the store lost revisions.
#[tokio::test]
async fn follow_older_head() {
    let (_platform, store) = start().await;
    store.apply(&drain(1)).await.expect("the change is accepted");
    let mut own = store.load().await.expect("the configuration is read");
    own.configuration.revision = Revision(9);
    let followed = store.follow(&own).await;
    assert!(matches!(followed, Err(FollowError::OlderHead { .. })), "{followed:?}");
}

/// Guards against a change that overwrites another operator's change made after its base revision.
#[tokio::test]
async fn apply_against_older_revision() {
    let (_platform, store) = start().await;
    store.apply(&drain(1)).await.expect("the change is accepted");
    let late = ChangeRequest { base: Some(Revision(0)), ..drain(2) };
    match store.apply(&late).await {
        Err(ChangeFailure::Conflict { accepted_change_id, revision }) => {
            assert_eq!((accepted_change_id.as_str(), revision), ("change-1", Revision(1)));
        }
        other => unreachable!("{other:?}"),
    }
}

/// Guards against an evacuation that lacks what other changes have: a retry with its id makes no
/// second revision, an older base revision is refused, and a snapshot holds it.
#[tokio::test]
async fn apply_evacuate_and_restore() {
    let (_platform, store) = start().await;
    let name = DataCentre("graz-1".into());
    let evacuate = ChangeRequest { change: Change::Evacuate(name.clone()), ..drain(1) };
    for _ in 0..2 {
        assert_eq!(store.apply(&evacuate).await.expect("it is accepted"), Revision(1));
    }
    let restore = Change::Restore(name.clone());
    let late = ChangeRequest { base: Some(Revision(0)), change: restore.clone(), ..drain(2) };
    let refused = store.apply(&late).await;
    assert!(matches!(refused, Err(ChangeFailure::Conflict { .. })), "{refused:?}");
    for id in 3..=SNAPSHOT_INTERVAL_REVISIONS + 1 {
        store.apply(&drain(id)).await.expect("the change is accepted");
    }
    let evacuated = store.load().await.expect("it is read").configuration.evacuated;
    assert_eq!(evacuated, [name].into());
    store.apply(&ChangeRequest { base: None, ..late }).await.expect("it is accepted");
    assert!(store.load().await.expect("it is read").configuration.evacuated.is_empty());
    let again = store.apply(&ChangeRequest { change: restore, ..drain(0) }).await;
    assert!(matches!(again, Err(ChangeFailure::Invalid(_))), "{again:?}");
}

/// Guards against a configuration whose encoding changes for deployments without evacuations and
/// home regions, and against one of an older process that is no longer read.
#[test]
fn encode_without_new_fields() {
    let older = r#"{"revision":2,"accounts":{"desk":{"credentials":[],"priority":1,"weight":1,"max_open":1,"disabled":false}},"models":{"drafts":{"max_prompt_tokens":1,"max_output_tokens":1,"time_limit_ms":1}},"services":{},"drained":[]}"#;
    let decoded: Configuration = serde_json::from_str(older).expect("it is read");
    assert_eq!(serde_json::to_string(&decoded).expect("it is encoded"), older);
}
