use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::http::AnnouncementSettings;
use crate::http::fault::{Fault, FaultInjector};
use crate::http::response::{self, HttpResponse};
use crate::http::server_handle::{ConnectionDropped, FakeEndpoint, ServerHandle};

/// Settings of a fake booking service.
#[derive(Debug, Clone)]
pub struct BookingSettings {
    /// Address to listen on; port 0 chooses a free port.
    pub address: SocketAddr,
    /// Identity of the endpoint and the instances that it announces itself to.
    pub announcement: AnnouncementSettings,
    /// Duration of a call.
    pub call_ms: u64,
    /// Maximum number of concurrent calls; more are rejected as not run.
    pub calls_max: u32,
    /// Name of the service.
    pub service: String,
}

impl Default for BookingSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            announcement: AnnouncementSettings::default(),
            call_ms: 0,
            calls_max: 256,
            service: "booking".to_owned(),
        }
    }
}

/// One call that the booking service ran.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct CallRecord {
    /// Body of the call.
    pub body: String,
    /// Call number that the platform assigned.
    pub call: Option<String>,
    /// Idempotency key that the client gave.
    pub idempotency_key: Option<String>,
    /// Method of the call.
    pub method: String,
    /// Path of the call, with its query.
    pub path: String,
    /// Field `seat` of a JSON body.
    pub seat: Option<String>,
}

/// A running fake booking service; dropping it kills the service.
#[derive(Debug)]
pub struct BookingServer {
    handle: ServerHandle,
    state: Arc<BookingState>,
}

impl BookingServer {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn spawn(settings: BookingSettings) -> Result<Self, io::Error> {
        let (address, announcement) = (settings.address, settings.announcement.clone());
        let faults = FaultInjector::default();
        let (running_calls, calls) = (AtomicU32::new(0), Mutex::default());
        let state = Arc::new(BookingState {
            calls,
            faults: faults.clone(),
            running_calls,
            settings,
        });
        let handle = ServerHandle::spawn(address, announcement, faults, Arc::clone(&state)).await?;
        Ok(Self { handle, state })
    }

    /// All calls that ran, in order.
    #[must_use]
    pub fn ledger(&self) -> Vec<CallRecord> {
        self.state.lock_calls().clone()
    }
}

impl Deref for BookingServer {
    type Target = ServerHandle;

    fn deref(&self) -> &ServerHandle {
        &self.handle
    }
}

impl Drop for BookingServer {
    fn drop(&mut self) {
        self.handle.kill();
    }
}

/// State that all connections of the booking service share.
#[derive(Debug)]
struct BookingState {
    calls: Mutex<Vec<CallRecord>>,
    faults: FaultInjector,
    running_calls: AtomicU32,
    settings: BookingSettings,
}

impl BookingState {
    fn lock_calls(&self) -> MutexGuard<'_, Vec<CallRecord>> {
        self.calls
            .lock()
            .expect("no thread panics with the calls locked")
    }

    async fn run_call(
        &self,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, ConnectionDropped> {
        if self
            .faults
            .consume(|fault| fault == Fault::Refuse)
            .is_some()
        {
            return Ok(response::not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        let running = RunningCall::begin(&self.running_calls);
        if running.calls_before >= self.settings.calls_max {
            return Ok(response::not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        let Some(call) = read_call(request).await else {
            return Ok(response::not_run(StatusCode::BAD_REQUEST));
        };
        let seat = call.seat.clone();
        let number = {
            let mut calls = self.lock_calls();
            calls.push(call);
            calls.len()
        };
        tokio::time::sleep(Duration::from_millis(self.settings.call_ms)).await;
        match self
            .faults
            .consume(|fault| matches!(fault, Fault::LoseAnswer | Fault::FailAfterRun))
        {
            Some(Fault::LoseAnswer) => Err(ConnectionDropped),
            Some(_) => Ok(response::empty(StatusCode::INTERNAL_SERVER_ERROR)),
            None => Ok(response::json(&json!({"number": number, "seat": seat}))),
        }
    }
}

/// Counts a call as running until dropped.
struct RunningCall<'a> {
    /// Calls that were running when this one began.
    calls_before: u32,
    running_calls: &'a AtomicU32,
}

impl<'a> RunningCall<'a> {
    fn begin(running_calls: &'a AtomicU32) -> Self {
        Self {
            calls_before: running_calls.fetch_add(1, Ordering::Relaxed),
            running_calls,
        }
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.running_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

impl FakeEndpoint for BookingState {
    fn cache_update(&self) -> Value {
        Value::Null
    }

    async fn handle_request(
        &self,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, ConnectionDropped> {
        if request.uri().path() == "/ledger" {
            return Ok(response::json(self.lock_calls().as_slice()));
        }
        self.run_call(request).await
    }

    fn load_report(&self) -> Value {
        json!({
            "age_ms": 0,
            "memory_used_tokens": 0,
            "preemptions": 0,
            "running": self.running_calls.load(Ordering::Relaxed),
            "token_interval_us": 0,
            "waiting": 0,
        })
    }

    fn offer(&self) -> Value {
        let BookingSettings {
            calls_max, service, ..
        } = &self.settings;
        json!({"service": {"calls_max": calls_max, "name": service}})
    }
}

async fn read_call(request: Request<Incoming>) -> Option<CallRecord> {
    let (head, body) = request.into_parts();
    let header = |name| head.headers.get(name)?.to_str().ok().map(str::to_owned);
    let body = body.collect().await.ok()?.to_bytes();
    let fields: Option<Value> = serde_json::from_slice(&body).ok();
    Some(CallRecord {
        body: String::from_utf8_lossy(&body).into_owned(),
        call: header("gentiancleat-call"),
        idempotency_key: header("idempotency-key"),
        method: head.method.to_string(),
        path: head.uri.to_string(),
        seat: fields.and_then(|fields| Some(fields.get("seat")?.as_str()?.to_owned())),
    })
}
