//! A subscriber of several registries receives a changed document from one of them, from another
//! one if that one fails, and holds no lease while the document has not arrived.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use catalog::{Catalog, CatalogChange};
use registry::{
    CatalogSink, Document, DocumentDecoder, Registry, RegistrySettings, Subscription,
    SubscriptionSettings,
};
use slog::{Discard, Logger, o};
use support::forwarder::{Forwarding, spawn_forwarder};
use support::{ROUTE_BYTES, TestDecoder, TestGroup, document, poll_until};
use tokio::time::sleep;

/// Routes of a large document, and the bytes that it takes at least.
const LARGE_ROUTES: usize = 1_000;
const LARGE_BYTES: u64 = (LARGE_ROUTES * ROUTE_BYTES) as u64;

const LEASE_MS: u64 = 1_500;

/// Time in which every held poll has been answered and the next one has begun.
const TWO_POLLS_MS: u64 = 1_200;

/// Time in which a document arrives although the first registry falls silent, on a loaded machine.
const LATE_MS: u128 = 2_000;

/// Time in which a subscriber that starts has its first document, on a loaded machine.
const FIRST_DOCUMENT_MS: u128 = 1_000;

#[derive(Default)]
struct Installed {
    catalog: Mutex<Option<Arc<Catalog>>>,
    version: AtomicU64,
}

impl CatalogSink for Installed {
    fn install(&self, catalog: &Arc<Catalog>) {
        *self.catalog.lock().unwrap() = Some(Arc::clone(catalog));
        self.version.store(catalog.version(), Ordering::Relaxed);
    }
}

impl Installed {
    /// Everything that the installed catalog holds.
    fn contents(&self) -> CatalogChange {
        let catalog = self.catalog.lock().unwrap();
        catalog.as_ref().unwrap().changes_since(None)
    }
}

struct Fixture {
    forwarding: Arc<Forwarding>,
    group: TestGroup,
    registries: Vec<Registry>,
}

impl Fixture {
    /// Starts three registries behind forwarders, with a first document.
    async fn new() -> Self {
        let group = TestGroup::new().await;
        let forwarding = Arc::<Forwarding>::default();
        let mut registries = Vec::new();
        for number in 1..=3 {
            let settings = RegistrySettings {
                inner_listen: Some(group.listen_address(number)),
                ..group.settings(number, true)
            };
            let (address, listen) = (settings.inner_address, group.listen_address(number));
            spawn_forwarder(address, listen, &forwarding).await;
            registries.push(Registry::open(settings).await.unwrap());
        }
        let fixture = Self {
            forwarding,
            group,
            registries,
        };
        fixture.replicate(1, 1).await;
        fixture
    }

    async fn replicate(&self, version: u64, route_count: usize) {
        poll_until(async || {
            let document = document(version, route_count);
            self.registries[0].replicate_document(document).await.ok()
        })
        .await;
    }

    fn subscribe(&self) -> (Subscription, Arc<Installed>) {
        let installed = Arc::<Installed>::default();
        let settings = SubscriptionSettings {
            instance: "x".to_owned(),
            lease_ms: LEASE_MS,
            lease_outdated_ms: LEASE_MS,
            log: Logger::root(Discard, o!()),
            seeds: self.group.seeds(),
        };
        (
            Subscription::spawn(settings, Arc::clone(&installed) as _),
            installed,
        )
    }

    /// Subscribes, and waits until polls are pending at all registries.
    async fn subscribe_to_all(&self) -> (Subscription, Arc<Installed>) {
        let (subscription, installed) = self.subscribe();
        installed_version(&installed, 1).await;
        poll_until(async || subscription.is_lease_valid().then_some(())).await;
        sleep(Duration::from_millis(TWO_POLLS_MS)).await;
        (subscription, installed)
    }
}

/// Everything that the catalog of a document holds.
fn contents(document: &Document) -> CatalogChange {
    let catalog = TestDecoder.decode(&document.bytes).unwrap();
    catalog.changes_since(None)
}

async fn installed_version(installed: &Installed, version: u64) {
    poll_until(async || (installed.version.load(Ordering::Relaxed) >= version).then_some(())).await;
}

/// Guards against a copy of a changed document from each registry, which fills slow links.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_changed_document_is_sent_by_one_registry() {
    let fixture = Fixture::new().await;
    let (_subscription, installed) = fixture.subscribe_to_all().await;
    let answer_bytes = || fixture.forwarding.answer_bytes.load(Ordering::Relaxed);
    let bytes_before = answer_bytes();
    fixture.replicate(2, LARGE_ROUTES).await;
    installed_version(&installed, 2).await;
    assert_eq!(installed.contents(), contents(&document(2, LARGE_ROUTES)));
    sleep(Duration::from_millis(TWO_POLLS_MS)).await;
    let sent_bytes = answer_bytes() - bytes_before;
    assert!(
        (LARGE_BYTES..LARGE_BYTES * 3 / 2).contains(&sent_bytes),
        "{sent_bytes} bytes for a document of {LARGE_BYTES}"
    );
}

/// Guards against a subscriber that waits for a registry which answers no more.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_registry_that_fails_does_not_hold_up_a_document() {
    for is_silent in [true, false] {
        let fixture = Fixture::new().await;
        let (_subscription, installed) = fixture.subscribe_to_all().await;
        let forwarding = &fixture.forwarding;
        forwarding
            .silences_first
            .store(is_silent, Ordering::Relaxed);
        forwarding.closes_first.store(!is_silent, Ordering::Relaxed);
        let replicated_at = Instant::now();
        // The call does not return if the silent registry leads.
        tokio::select! {
            () = fixture.replicate(2, LARGE_ROUTES) => installed_version(&installed, 2).await,
            () = installed_version(&installed, 2) => {}
        }
        let duration_ms = replicated_at.elapsed().as_millis();
        assert!(duration_ms < LATE_MS, "{duration_ms} ms, {is_silent}");
        assert_eq!(installed.contents(), contents(&document(2, LARGE_ROUTES)));
    }
}

/// Guards against a lease on a document that registries have already replaced.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_version_without_its_document_renews_no_lease() {
    let fixture = Fixture::new().await;
    let (subscription, installed) = fixture.subscribe_to_all().await;
    assert!(subscription.is_lease_valid());
    fixture
        .forwarding
        .holds_large
        .store(true, Ordering::Relaxed);
    fixture.replicate(2, LARGE_ROUTES).await;
    sleep(Duration::from_millis(LEASE_MS)).await;
    let held_at = Instant::now();
    while held_at.elapsed() < Duration::from_millis(TWO_POLLS_MS) {
        assert!(!subscription.is_lease_valid());
        assert_eq!(installed.version.load(Ordering::Relaxed), 1);
        sleep(Duration::from_millis(10)).await;
    }
    fixture
        .forwarding
        .holds_large
        .store(false, Ordering::Relaxed);
    installed_version(&installed, 2).await;
    poll_until(async || subscription.is_lease_valid().then_some(())).await;
}

/// Guards against a subscriber that starts and waits a whole poll for its first document.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_first_document_arrives_at_once() {
    let fixture = Fixture::new().await;
    fixture.replicate(2, LARGE_ROUTES).await;
    let started_at = Instant::now();
    let (subscription, installed) = fixture.subscribe();
    installed_version(&installed, 2).await;
    poll_until(async || subscription.is_lease_valid().then_some(())).await;
    let duration_ms = started_at.elapsed().as_millis();
    assert!(duration_ms < FIRST_DOCUMENT_MS, "{duration_ms} ms");
}

/// Guards against a whole document on the link for a small change of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_small_change_of_a_large_document_is_a_small_message() {
    let fixture = Fixture::new().await;
    fixture.replicate(2, LARGE_ROUTES).await;
    let (_subscription, installed) = fixture.subscribe_to_all().await;
    installed_version(&installed, 2).await;
    let answer_bytes = || fixture.forwarding.answer_bytes.load(Ordering::Relaxed);
    let bytes_before = answer_bytes();
    for version in 3..=10 {
        fixture.replicate(version, LARGE_ROUTES).await;
        installed_version(&installed, version).await;
    }
    assert_eq!(installed.contents(), contents(&document(10, LARGE_ROUTES)));
    let sent_bytes = answer_bytes() - bytes_before;
    assert!(
        sent_bytes < LARGE_BYTES / 10,
        "{sent_bytes} bytes for 8 changes"
    );
}
