//! Operators that race edits of one row, and watch where each is in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::callers::{Callers, MODEL, SERVICE};
use crate::http::{HttpClient, HttpResponse};
use crate::promises::{Promise, PromiseReport};

/// Time within which an accepted edit must be in force everywhere.
const IN_FORCE_MS: u64 = 4_000;

const ROW_PATH: &str = "/v1/table/rows/Maracas%20Ridge";
const SET_UP_TRIES: usize = 400;
const SET_UP_RETRY_MS: u64 = 100;

/// What all operators share.
#[derive(Debug)]
pub(crate) struct Operators {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) accepted: AtomicU64,
    pub(crate) conflicts: AtomicU64,
    pub(crate) promises: PromiseReport,
}

impl Operators {
    pub(crate) fn new(addresses: Vec<SocketAddr>, promises: &PromiseReport) -> Arc<Self> {
        Arc::new(Self {
            accepted: AtomicU64::new(0),
            addresses,
            conflicts: AtomicU64::new(0),
            promises: promises.clone(),
        })
    }

    /// Adds the kinds and rows that the callers need.
    ///
    /// # Panics
    ///
    /// Panics if the fleet does not accept them in time.
    pub(crate) async fn set_up(&self) {
        let http = HttpClient::new("operator");
        for kind in [MODEL, SERVICE] {
            let path = format!("/v1/kinds/{kind}");
            self.insist(&http, &path, &format!("kind-{kind}"), "").await;
            let path = format!("{ROW_PATH}/{kind}?wait=in-force");
            self.insist(&http, &path, &format!("row-{kind}"), &row(1))
                .await;
        }
    }

    /// Edits until the callers stop; remembers the greatest revision known to be in force.
    pub(crate) async fn run(self: Arc<Self>, seed: u64, callers: Arc<Callers>) {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let http = HttpClient::new("operator");
        while !callers.stop.load(Ordering::SeqCst) {
            let address = self.addresses[random.random_range(0..self.addresses.len())];
            if let Some(revision) = self.edit(&http, address, &mut random).await {
                self.accepted.fetch_add(1, Ordering::Relaxed);
                self.watch(&http, revision, Instant::now()).await;
            }
            sleep(Duration::from_millis(random.random_range(50..500))).await;
        }
    }

    /// Edits the row of the model; gives the accepted revision.
    async fn edit(
        &self,
        http: &HttpClient,
        address: SocketAddr,
        random: &mut Xoshiro256PlusPlus,
    ) -> Option<u64> {
        let path = format!("{ROW_PATH}/{MODEL}");
        let present = http.send(Method::GET, address, &path, &[], "").await;
        if !present.is_success() {
            return None;
        }
        let id = format!("edit-{:016x}", random.random::<u64>());
        let headers = [
            ("gentiancleat-edit-id", id.as_str()),
            ("if-match", present.entity_tag.as_str()),
        ];
        let body = row(random.random_range(1..10));
        let first = http
            .send(Method::PUT, address, &path, &headers, &body)
            .await;
        // The same edit again, elsewhere: it must get the same answer.
        let other = self.addresses[random.random_range(0..self.addresses.len())];
        let again = http.send(Method::PUT, other, &path, &headers, &body).await;
        if first.status == 412 || first.status == 409 {
            self.conflicts.fetch_add(1, Ordering::Relaxed);
        }
        let revisions: Vec<u64> = [&first, &again].into_iter().filter_map(revision).collect();
        if let [a, b] = revisions[..] {
            let violation = (a != b).then(|| format!("edit {id} accepted as {a} and as {b}"));
            self.promises.record(Promise::InForce, violation);
        }
        revisions.first().copied()
    }

    async fn insist(&self, http: &HttpClient, path: &str, id: &str, body: &str) {
        let headers = [("gentiancleat-edit-id", id), ("if-none-match", "*")];
        for attempt in 0..SET_UP_TRIES {
            let address = self.addresses[attempt % self.addresses.len()];
            let answer = http.send(Method::PUT, address, path, &headers, body).await;
            if answer.is_success() {
                return;
            }
            sleep(Duration::from_millis(SET_UP_RETRY_MS)).await;
        }
        panic!("the fleet did not accept {path}");
    }

    /// Checks that from some seconds after its acceptance on the revision governs every instance.
    async fn watch(&self, http: &HttpClient, revision: u64, accepted: Instant) {
        tokio::time::sleep_until(accepted + Duration::from_millis(IN_FORCE_MS)).await;
        for &address in &self.addresses {
            let answer = http.send(Method::GET, address, "/v1/status", &[], "").await;
            let status: Value = serde_json::from_str(&answer.body).unwrap_or_default();
            // An instance that does not answer, or is not ready, admits nothing.
            if status["ready"].as_bool() != Some(true) {
                continue;
            }
            let held = status["revision"].as_u64().unwrap_or(0);
            let violation = (held < revision).then(|| {
                format!("{address} is ready with {held}, {revision} was accepted {IN_FORCE_MS} ms before")
            });
            self.promises.record(Promise::InForce, violation);
        }
    }
}

fn revision(answer: &HttpResponse) -> Option<u64> {
    let document: Value = serde_json::from_str(&answer.body).ok()?;
    document["revision"]
        .as_u64()
        .filter(|_| answer.is_success())
}

fn row(weight: u32) -> String {
    json!({
        "priority": 0, "queued_max": 10_000, "queueing_ms_max": 20_000, "running_max": 1_000,
        "urgent_share_percent": 20, "weight": weight,
    })
    .to_string()
}
