//! Operators that concurrently edit one row, and check when each edit is in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::clients::{Clients, MODEL, SERVICE};
use crate::http_client::{HttpClient, HttpResponse};
use crate::promise_report::{Promise, PromiseReport};

/// Time within which an accepted edit must be in force on every instance.
const IN_FORCE_MS: u64 = 4_000;

const ROW_PATH: &str = "/v1/table/rows/Maracas%20Ridge";
const SET_UP_ATTEMPTS_MAX: usize = 400;
const SET_UP_RETRY_DELAY_MS: u64 = 100;

/// State shared by all operator tasks.
#[derive(Debug)]
pub(crate) struct Operators {
    pub(crate) accepted_edits: AtomicU64,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) conflicts: AtomicU64,
    pub(crate) report: PromiseReport,
}

impl Operators {
    pub(crate) fn new(addresses: Vec<SocketAddr>, report: &PromiseReport) -> Arc<Self> {
        Arc::new(Self {
            accepted_edits: AtomicU64::new(0),
            addresses,
            conflicts: AtomicU64::new(0),
            report: report.clone(),
        })
    }

    /// Creates the kinds and rows that the clients need.
    ///
    /// # Panics
    ///
    /// Panics if the fleet does not accept them within the set-up attempts.
    pub(crate) async fn create_kinds_and_rows(&self) {
        let http = HttpClient::new("operator");
        for kind in [MODEL, SERVICE] {
            let path = format!("/v1/kinds/{kind}");
            self.put_until_accepted(&http, &path, &format!("kind-{kind}"), "")
                .await;
            let path = format!("{ROW_PATH}/{kind}?wait=in-force");
            self.put_until_accepted(&http, &path, &format!("row-{kind}"), &row_body(1))
                .await;
        }
    }

    /// Edits the row of the model, and checks each accepted edit, until the clients stop.
    pub(crate) async fn run(self: Arc<Self>, seed: u64, clients: Arc<Clients>) {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let http = HttpClient::new("operator");
        while !clients.is_stopped.load(Ordering::SeqCst) {
            let address = self.addresses[random.random_range(0..self.addresses.len())];
            if let Some(revision) = self.edit_row(&http, address, &mut random).await {
                self.accepted_edits.fetch_add(1, Ordering::Relaxed);
                self.check_in_force(&http, revision, Instant::now()).await;
            }
            sleep(Duration::from_millis(random.random_range(50..500))).await;
        }
    }

    /// Checks that every ready instance has reached `revision` once [`IN_FORCE_MS`] have passed.
    async fn check_in_force(&self, http: &HttpClient, revision: u64, accepted: Instant) {
        tokio::time::sleep_until(accepted + Duration::from_millis(IN_FORCE_MS)).await;
        for &address in &self.addresses {
            let response = http.send(Method::GET, address, "/v1/status", &[], "").await;
            let status: Value = serde_json::from_str(&response.body).unwrap_or_default();
            // An instance that does not respond or is not ready admits no request.
            if status["ready"].as_bool() != Some(true) {
                continue;
            }
            let seen = status["revision"].as_u64().unwrap_or(0);
            let violation = (seen < revision).then(|| {
                format!("{address} is ready with {seen}, {revision} was accepted {IN_FORCE_MS} ms before")
            });
            self.report.record(Promise::InForce, violation);
        }
    }

    /// Edits the row of the model; returns the revision if the edit was accepted.
    async fn edit_row(
        &self,
        http: &HttpClient,
        address: SocketAddr,
        random: &mut Xoshiro256PlusPlus,
    ) -> Option<u64> {
        let path = format!("{ROW_PATH}/{MODEL}");
        let current = http.send(Method::GET, address, &path, &[], "").await;
        if !current.is_success() {
            return None;
        }
        let id = format!("edit-{:016x}", random.random::<u64>());
        let headers = [
            ("gentiancleat-edit-id", id.as_str()),
            ("if-match", current.entity_tag.as_str()),
        ];
        let body = row_body(random.random_range(1..10));
        let first = http
            .send(Method::PUT, address, &path, &headers, &body)
            .await;
        // A repetition of the edit on any instance must get the same revision.
        let other = self.addresses[random.random_range(0..self.addresses.len())];
        let repeated = http.send(Method::PUT, other, &path, &headers, &body).await;
        if first.status == 412 || first.status == 409 {
            self.conflicts.fetch_add(1, Ordering::Relaxed);
        }
        let revisions: Vec<u64> = [&first, &repeated]
            .into_iter()
            .filter_map(accepted_revision)
            .collect();
        if let [a, b] = revisions[..] {
            let violation = (a != b).then(|| format!("edit {id} accepted as {a} and as {b}"));
            self.report.record(Promise::InForce, violation);
        }
        revisions.first().copied()
    }

    async fn put_until_accepted(&self, http: &HttpClient, path: &str, edit_id: &str, body: &str) {
        let headers = [("gentiancleat-edit-id", edit_id), ("if-none-match", "*")];
        for attempt in 0..SET_UP_ATTEMPTS_MAX {
            let address = self.addresses[attempt % self.addresses.len()];
            let response = http.send(Method::PUT, address, path, &headers, body).await;
            if response.is_success() {
                return;
            }
            sleep(Duration::from_millis(SET_UP_RETRY_DELAY_MS)).await;
        }
        panic!("the fleet did not accept {path}");
    }
}

fn accepted_revision(response: &HttpResponse) -> Option<u64> {
    let document: Value = serde_json::from_str(&response.body).ok()?;
    document["revision"]
        .as_u64()
        .filter(|_| response.is_success())
}

fn row_body(weight: u32) -> String {
    json!({
        "priority": 0, "queued_max": 10_000, "queueing_ms_max": 20_000, "running_max": 1_000,
        "urgent_share_percent": 20, "weight": weight,
    })
    .to_string()
}
