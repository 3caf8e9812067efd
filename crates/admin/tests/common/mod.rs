//! Admin server on an in-memory table, for tests.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use admin::{
    AdminServer, Backend, BackendError, EndpointStatus, InstanceStatus, LocalInstanceStatus,
    MetricsSource, Operator, Readiness, TableVisitor,
};
use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use names::LogIndex;
use serde_json::Value;
use slog::{Discard, Logger, o};
use table::{
    Edit, EditId, EditOutcome, HistoryEntry, Item, ItemChange, ItemId, KeyHash, OperatorKey,
    OperatorName, Revision, Role, Table,
};

/// Backend with an in-memory table and injectable faults.
#[derive(Default)]
pub struct MemoryBackend {
    pub draining: AtomicBool,
    /// Number of following edits that are applied but whose response is lost.
    pub lost_responses: AtomicU64,
    /// Whether waiting for a revision to be in force fails.
    pub never_in_force: AtomicBool,
    /// The table and the log index of its last edit.
    pub table: Mutex<(Table, u64)>,
}

impl MemoryBackend {
    pub fn apply(&self, edit: &Edit) -> EditOutcome {
        let mut guard = self.table.lock().unwrap();
        let (table, index) = &mut *guard;
        *index += 1;
        table.apply(LogIndex(*index), *index, edit)
    }
}

#[async_trait]
impl Backend for MemoryBackend {
    async fn apply_edit(&self, edit: Edit) -> Result<EditOutcome, BackendError> {
        let (stored, problems) = {
            let guard = self.table.lock().unwrap();
            (guard.0.stored_outcome(&edit), guard.0.check(&edit))
        };
        if let Some(outcome) = stored {
            return Ok(outcome);
        }
        if !problems.is_empty() {
            return Ok(EditOutcome::Invalid { problems });
        }
        let outcome = self.apply(&edit);
        let decrement = |remaining: u64| remaining.checked_sub(1);
        let is_lost = self
            .lost_responses
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok();
        if is_lost {
            let reason = "the leader changed".to_owned();
            return Err(BackendError::Unknown { reason });
        }
        Ok(outcome)
    }

    async fn authenticate(&self, key: Option<&str>) -> Option<Operator> {
        let guard = self.table.lock().unwrap();
        let key = guard.0.items().operator_by_key(key?)?;
        Some(Operator {
            name: key.operator.clone(),
            role: key.role,
        })
    }

    async fn drain(&self) -> Result<(), BackendError> {
        self.draining.store(true, Ordering::SeqCst);
        Ok(())
    }

    async fn endpoints(&self) -> Result<Vec<EndpointStatus>, BackendError> {
        Ok(vec![EndpointStatus {
            address: "192.0.2.7:9000".to_owned(),
            data_centre: "пловдив".to_owned(),
            heard_ms_ago: 40,
            memory_tokens: 90_000,
            memory_used_tokens: 1_200,
            name: "engine-7".to_owned(),
            offer: "forge-7b 3".to_owned(),
            owner: "entry-1".to_owned(),
            region: "bg".to_owned(),
            running: 3,
            state: "ready".to_owned(),
            waiting: 0,
        }])
    }

    async fn history(
        &self,
        before: Revision,
        limit: usize,
    ) -> Result<Vec<HistoryEntry>, BackendError> {
        let guard = self.table.lock().unwrap();
        let edits = guard.0.history().filter(|edit| edit.revision < before);
        Ok(edits.take(limit).cloned().collect())
    }

    async fn instances(&self) -> Result<Vec<InstanceStatus>, BackendError> {
        let reason = "no quorum".to_owned();
        Err(BackendError::Unavailable {
            reason,
            retry_after_ms: 1_200,
        })
    }

    fn readiness(&self) -> Readiness {
        if self.draining.load(Ordering::SeqCst) {
            let reason = "draining".to_owned();
            return Readiness::NotReady { reason };
        }
        Readiness::Ready
    }

    async fn status(&self) -> Result<LocalInstanceStatus, BackendError> {
        Ok(LocalInstanceStatus {
            draining: self.draining.load(Ordering::SeqCst),
            in_force_revision: 1,
            instance: "entry-1".to_owned(),
            leader: None,
            queued_requests: 0,
            ready: true,
            ready_reason: None,
            revision: 1,
            running_requests: 2,
            term: 4,
            version: "0.1.0".to_owned(),
        })
    }

    async fn stored_outcome(&self, edit: &Edit) -> Result<Option<EditOutcome>, BackendError> {
        Ok(self.table.lock().unwrap().0.stored_outcome(edit))
    }

    async fn visit_table(&self, visitor: &mut dyn TableVisitor) -> Result<(), BackendError> {
        let guard = self.table.lock().unwrap();
        visitor.visit(guard.0.items(), guard.0.revision());
        Ok(())
    }

    async fn wait_in_force(&self, _: Revision) -> Result<(), BackendError> {
        if self.never_in_force.load(Ordering::SeqCst) {
            let reason = "an instance is silent".to_owned();
            return Err(BackendError::Unknown { reason });
        }
        Ok(())
    }
}

/// Metrics source with a constant text.
pub struct FixedMetrics;

impl MetricsSource for FixedMetrics {
    fn prometheus_text(&self) -> String {
        "requests_total 3\n".to_owned()
    }
}

/// Running admin server, its backend and an HTTP client.
pub struct TestServer {
    pub admin: AdminServer,
    pub backend: Arc<MemoryBackend>,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

/// Received HTTP response.
pub struct TestResponse {
    pub body: String,
    pub headers: HeaderMap,
    pub status: u16,
}

impl TestResponse {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers[name].to_str().unwrap()
    }
}

impl TestServer {
    /// Starts a server whose table has, at revision 1, the kinds `advice` and `съвет`, and one
    /// operator key for each role: `read`, `edit` and `operate`.
    pub async fn new() -> Self {
        let backend = Arc::new(MemoryBackend::default());
        let keys = [Role::Read, Role::Edit, Role::Operate].map(|role| {
            let name = format!("{role:?}").to_lowercase();
            let operator = OperatorName::new(&name).unwrap();
            let item = Item::OperatorKey(OperatorKey { operator, role });
            (ItemId::OperatorKey(KeyHash::of(&name)), item)
        });
        let kinds =
            ["advice", "съвет"].map(|kind| (ItemId::Kind(kind.parse().unwrap()), Item::Kind));
        let changes = keys
            .into_iter()
            .chain(kinds)
            .map(|(item_id, item)| ItemChange {
                expected_revision: Revision::ABSENT,
                item: Some(item),
                item_id,
            });
        let outcome = backend.apply(&Edit {
            author: OperatorName::new("setup").unwrap(),
            changes: changes.collect(),
            edit_id: EditId::new("setup").unwrap(),
            source: None,
        });
        assert!(matches!(outcome, EditOutcome::Accepted { .. }));
        let log = Logger::root(Discard, o!());
        let admin = AdminServer::bind(
            "127.0.0.1:0".parse().unwrap(),
            Arc::clone(&backend) as Arc<dyn Backend>,
            Arc::new(FixedMetrics),
            &log,
        );
        Self {
            admin: admin.await.unwrap(),
            backend,
            http: HttpClient::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request with a key, and with headers given as `name: value`.
    pub async fn send(
        &self,
        method_and_path: &str,
        key: &str,
        headers: &[&str],
        body: impl Into<Bytes>,
    ) -> TestResponse {
        let (method, path) = method_and_path.split_once(' ').unwrap();
        let uri = format!("http://{}{path}", self.admin.address());
        let mut request = Request::builder().method(method).uri(uri);
        if !key.is_empty() {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        for header in headers {
            let (name, value) = header.split_once(": ").unwrap();
            request = request.header(name, value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        let (parts, body) = self.http.request(request).await.unwrap().into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        TestResponse {
            body: String::from_utf8(body.to_vec()).unwrap(),
            headers: parts.headers,
            status: parts.status.as_u16(),
        }
    }

    pub async fn get(&self, path: &str) -> TestResponse {
        self.send(&format!("GET {path}"), "read", &[], "").await
    }

    pub async fn put_row(
        &self,
        path: &str,
        edit_id: &str,
        precondition: &str,
        weight: i64,
    ) -> TestResponse {
        let edit_id_header = format!("gentiancleat-edit-id: {edit_id}");
        let method_and_path = format!("PUT /v1/table/rows/{path}");
        self.send(
            &method_and_path,
            "edit",
            &[&edit_id_header, precondition],
            row_json(weight),
        )
        .await
    }
}

/// Precondition for adding an item.
pub const IF_NONE_MATCH_ANY: &str = "if-none-match: *";

pub fn row_json(weight: i64) -> String {
    format!(
        r#"{{"weight":{weight},"priority":0,"running_max":4,"tokens_per_second_max":null,
        "queued_max":10,"queueing_ms_max":5000,"urgent_share_percent":25,"models":["forge-7b"],
        "window":{{"start":"08:00","end":"11:30","time_zone":"Europe/Sofia","weight":9,"priority":1}}}}"#
    )
}
