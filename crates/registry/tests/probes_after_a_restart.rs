//! A registry that restarts grants no probes of a part that it has forgotten.

mod support;

use std::sync::Arc;
use std::time::Duration;

use catalog::Catalog;
use registry::{
    Accusation, AccusingEndpoint, CatalogSink, PartAdmission, Subscription, SubscriptionSettings,
};
use slog::{Discard, Logger, o};
use support::{TestGroup, poll_until};
use tokio::time::sleep;

const BAD: u64 = 0xbad;

/// Time after which another crash is an event of its own, with the jitter of the tests' machines.
const EVENT_MS: u64 = 300;

/// Probes that are requested while the first one may run.
const PROBES: usize = 20;

struct NoDocuments;

impl CatalogSink for NoDocuments {
    fn install(&self, _catalog: &Arc<Catalog>) {}
}

/// Guards against many requests at once with a part that crashes endpoints, because the registry
/// that grants probes has forgotten the part and the others have not.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_probe_is_granted_after_a_registry_restarted() {
    let group = TestGroup::new().await;
    let (first, second, third) = group.bootstrap_three().await;
    let settings = SubscriptionSettings {
        instance: "x".to_owned(),
        lease_ms: 4_200,
        lease_outdated_ms: 2_100,
        log: Logger::root(Discard, o!()),
        seeds: group.seeds(),
    };
    let subscription = Subscription::spawn(settings, Arc::new(NoDocuments));
    poll_until(async || subscription.request_probe(&[1]).await.then_some(())).await;
    sleep(Duration::from_secs(1)).await;
    for number in 0..3 {
        sleep(Duration::from_millis(EVENT_MS)).await;
        let endpoint = AccusingEndpoint {
            id: format!("e{number}"),
            started_at_ms: 7,
        };
        let parts = vec![BAD];
        let accusation = Accusation { endpoint, parts };
        subscription
            .report_parts(vec![accusation], Vec::new())
            .await;
    }
    let admission = || subscription.part_admission(&[BAD]);
    let is_refused = || matches!(admission(), PartAdmission::Refused { .. });
    poll_until(async || is_refused().then_some(())).await;
    // The third registry keeps the quarantine and its probation; another one becomes the leader.
    group.stop(first).await;
    let first = group.join(1).await;
    sleep(Duration::from_secs(2)).await;
    group.stop(second).await;
    let second = group.join(2).await;
    sleep(Duration::from_secs(2)).await;
    third.transfer_leadership().await;
    poll_until(async || (!is_refused()).then_some(())).await;
    let needs_probe = PartAdmission::NeedsProbe { part: BAD };
    assert_eq!(admission(), needs_probe);
    let mut granted = 0;
    for _ in 0..PROBES {
        granted += usize::from(subscription.request_probe(&[BAD]).await);
    }
    assert!(granted <= 1, "{granted} of {PROBES} probes were granted");
    drop((first, second, third));
}
