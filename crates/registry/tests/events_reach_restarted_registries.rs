//! An endpoint's heartbeat reaches the registries that have restarted since the one before.

mod support;

use std::sync::Arc;
use std::time::Duration;

use catalog::Catalog;
use registry::{
    CatalogSink, EndpointState, Registration, Registry, Subscription, SubscriptionSettings,
};
use slog::{Discard, Logger, o};
use support::{TestGroup, poll_until};
use tokio::time::{sleep, timeout};

/// Time in which a forwarded event arrives and subscribers receive it, on a loaded machine.
const ARRIVAL_MS: u64 = 3_000;

/// Time in which events are forwarded.
const FORWARD_MS: u64 = 500;

struct NoDocuments;

impl CatalogSink for NoDocuments {
    fn install(&self, _catalog: &Arc<Catalog>) {}
}

fn registration(id: &str) -> Registration {
    Registration {
        address: "10.0.0.1:8080".parse().unwrap(),
        started_at_ms: 1,
        cold_left_ms: 0,
        data_centre: "plovdiv-a".to_owned(),
        id: id.to_owned(),
        sequence: 1,
        service: "forge-llm".to_owned(),
        slots: 8,
        state: EndpointState::Ready,
        software_version: "v1".to_owned(),
    }
}

async fn record(registry: &Registry, id: &str) {
    poll_until(async || registry.record_heartbeat(registration(id)).await.ok()).await;
    sleep(Duration::from_millis(FORWARD_MS)).await;
}

/// Guards against a registry that keeps a failed connection to another one, and never forwards to it
/// again. In release builds, log lines of the level `debug` evaluate none of their arguments.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_first_event_after_a_restart_is_forwarded() {
    let group = TestGroup::new().await;
    let (first, second, third) = group.bootstrap_three().await;
    record(&first, "before").await;
    group.stop(second).await;
    let _second = group.join(2).await;
    group.stop(third).await;
    let _third = group.join(3).await;
    record(&first, "after").await;
    group.stop(first).await;
    let settings = SubscriptionSettings {
        instance: "x".to_owned(),
        lease_ms: 4_200,
        lease_outdated_ms: 2_100,
        log: Logger::root(Discard, o!()),
        seeds: group.seeds(),
    };
    let subscription = Subscription::spawn(settings, Arc::new(NoDocuments));
    let mut endpoints = subscription.endpoints();
    let is_known = endpoints.wait_for(|endpoints| {
        let mut endpoints = endpoints.iter();
        endpoints.any(|endpoint| endpoint.registration.id == "after")
    });
    let is_known = timeout(Duration::from_millis(ARRIVAL_MS), is_known).await;
    assert!(is_known.is_ok(), "the event was not forwarded");
}
