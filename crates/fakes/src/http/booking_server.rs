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
use crate::http::handle::{Dropped, Handler, ServerHandle};
use crate::http::reply::{self, Reply};

/// How a fake booking service behaves.
#[derive(Debug, Clone)]
pub struct BookingSettings {
    /// Where to listen; port 0 takes a free port.
    pub address: SocketAddr,
    /// Where it is and to whom it announces itself.
    pub announcement: AnnouncementSettings,
    /// Most calls at once; more are refused as not run.
    pub calls_max: u32,
    /// Time that a call takes.
    pub call_ms: u64,
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

/// One call that ran.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct CallRecord {
    /// Body of the call.
    pub body: String,
    /// Number that the system gave the call.
    pub call: Option<String>,
    /// The caller's key for calls that may not be repeated.
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
    shared: Arc<Shared>,
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
        let (running, runs) = (AtomicU32::new(0), Mutex::default());
        let shared = Arc::new(Shared {
            faults: faults.clone(),
            running,
            runs,
            settings,
        });
        let handle =
            ServerHandle::spawn(address, announcement, faults, Arc::clone(&shared)).await?;
        Ok(Self { handle, shared })
    }

    /// What ran, in order.
    #[must_use]
    pub fn ledger(&self) -> Vec<CallRecord> {
        self.shared.runs().clone()
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

#[derive(Debug)]
struct Shared {
    faults: FaultInjector,
    running: AtomicU32,
    runs: Mutex<Vec<CallRecord>>,
    settings: BookingSettings,
}

impl Shared {
    async fn call(&self, request: Request<Incoming>) -> Result<Reply, Dropped> {
        if self.faults.take(|fault| fault == Fault::Refuse).is_some() {
            return Ok(reply::not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        let running = Running::enter(&self.running);
        if running.before >= self.settings.calls_max {
            return Ok(reply::not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        let Some(run) = read(request).await else {
            return Ok(reply::not_run(StatusCode::BAD_REQUEST));
        };
        let seat = run.seat.clone();
        let number = {
            let mut runs = self.runs();
            runs.push(run);
            runs.len()
        };
        tokio::time::sleep(Duration::from_millis(self.settings.call_ms)).await;
        match self
            .faults
            .take(|fault| matches!(fault, Fault::LoseAnswer | Fault::FailAfterRun))
        {
            Some(Fault::LoseAnswer) => Err(Dropped),
            Some(_) => Ok(reply::empty(StatusCode::INTERNAL_SERVER_ERROR)),
            None => Ok(reply::json(&json!({"number": number, "seat": seat}))),
        }
    }

    fn runs(&self) -> MutexGuard<'_, Vec<CallRecord>> {
        self.runs.lock().expect("no holder of the ledger panics")
    }
}

/// Counts a call as running until dropped.
struct Running<'a> {
    before: u32,
    running: &'a AtomicU32,
}

impl<'a> Running<'a> {
    fn enter(running: &'a AtomicU32) -> Self {
        Self {
            before: running.fetch_add(1, Ordering::Relaxed),
            running,
        }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Handler for Shared {
    fn cache(&self) -> Value {
        Value::Null
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Reply, Dropped> {
        if request.uri().path() == "/ledger" {
            return Ok(reply::json(self.runs().as_slice()));
        }
        self.call(request).await
    }

    fn offer(&self) -> Value {
        let BookingSettings {
            calls_max, service, ..
        } = &self.settings;
        json!({"service": {"calls_max": calls_max, "name": service}})
    }

    fn report(&self) -> Value {
        json!({
            "age_ms": 0,
            "memory_used_tokens": 0,
            "preemptions": 0,
            "running": self.running.load(Ordering::Relaxed),
            "token_interval_us": 0,
            "waiting": 0,
        })
    }
}

async fn read(request: Request<Incoming>) -> Option<CallRecord> {
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
