use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::http::announcer::{self, Announce};
use crate::http::fault::{Fault, FaultSwitch};
use crate::http::reply::{self, Reply};
use crate::http::server::{self, Dropped, Handler};
use crate::http::{Announcement, Error, LoadReport, Offer, Place, ServiceOffer, State};

/// How a fake booking service behaves.
#[derive(Debug, Clone)]
pub struct BookingSettings {
    /// Where to listen; port 0 takes a free port.
    pub address: SocketAddr,
    /// Most calls at once; more are refused as not run.
    pub calls_max: u32,
    /// Time that a call takes.
    pub call_ms: u64,
    /// Where it is and to whom it announces itself.
    pub place: Place,
    /// Name of the service.
    pub service: String,
}

impl Default for BookingSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            call_ms: 0,
            calls_max: 256,
            place: Place::default(),
            service: "booking".to_owned(),
        }
    }
}

/// One call that ran.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Run {
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
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

impl BookingServer {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn spawn(settings: BookingSettings) -> Result<Self, Error> {
        let (listener, address) = server::bind(settings.address).await?;
        let stop = CancellationToken::new();
        let shared = Arc::new(Shared {
            address,
            faults: FaultSwitch::default(),
            leaving: AtomicBool::new(false),
            running: AtomicU32::new(0),
            runs: Mutex::default(),
            settings,
        });
        let faults = shared.faults.clone();
        tokio::spawn(server::run(
            listener,
            Arc::clone(&shared),
            faults,
            stop.clone(),
        ));
        let place = shared.settings.place.clone();
        let source: Arc<dyn Announce> = Arc::clone(&shared) as _;
        tokio::spawn(announcer::run(place, source, stop.clone()));
        Ok(Self {
            address,
            shared,
            stop,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Resolves when the service was told to die.
    pub async fn closed(&self) {
        self.stop.cancelled().await;
    }

    /// The fault switch.
    #[must_use]
    pub fn faults(&self) -> &FaultSwitch {
        &self.shared.faults
    }

    /// Ends all connections at once.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    /// Announces from now on that it takes no new work.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// What ran, in order.
    #[must_use]
    pub fn ledger(&self) -> Vec<Run> {
        self.shared.runs().clone()
    }
}

impl Drop for BookingServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    faults: FaultSwitch,
    leaving: AtomicBool,
    running: AtomicU32,
    runs: Mutex<Vec<Run>>,
    settings: BookingSettings,
}

impl Shared {
    async fn call(&self, request: Request<Incoming>) -> Result<Reply, Dropped> {
        if self.faults.take(|fault| fault == Fault::Refuse).is_some() {
            return Ok(reply::not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        let Some(_running) = Running::enter(&self.running, self.settings.calls_max) else {
            return Ok(reply::not_run(StatusCode::SERVICE_UNAVAILABLE));
        };
        let Some(run) = read(request).await else {
            return Ok(reply::not_run(StatusCode::BAD_REQUEST));
        };
        let number = {
            let mut runs = self.runs();
            runs.push(run.clone());
            runs.len()
        };
        tokio::time::sleep(Duration::from_millis(self.settings.call_ms)).await;
        match self
            .faults
            .take(|fault| matches!(fault, Fault::LoseAnswer | Fault::FailAfterRun))
        {
            Some(Fault::LoseAnswer) => Err(Dropped),
            Some(_) => Ok(reply::empty(StatusCode::INTERNAL_SERVER_ERROR)),
            None => Ok(reply::json(
                StatusCode::OK,
                &Booked {
                    number,
                    seat: run.seat,
                },
            )),
        }
    }

    fn runs(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().expect("no holder of the ledger panics")
    }
}

/// Answer of a call.
#[derive(Debug, Serialize)]
struct Booked {
    number: usize,
    seat: Option<String>,
}

/// Counts a call as running until dropped.
struct Running<'a>(&'a AtomicU32);

impl<'a> Running<'a> {
    fn enter(running: &'a AtomicU32, calls_max: u32) -> Option<Self> {
        let guard = Self(running);
        (running.fetch_add(1, Ordering::Relaxed) < calls_max).then_some(guard)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Announce for Shared {
    fn announced(&self, _taken: bool) {}

    fn announcement(&self) -> Option<Announcement> {
        if self.faults.current() == Some(Fault::Silence) {
            return None;
        }
        let leaving = self.leaving.load(Ordering::Relaxed);
        let running = self.running.load(Ordering::Relaxed);
        let offer = ServiceOffer {
            calls_max: self.settings.calls_max,
            name: self.settings.service.clone(),
        };
        Some(Announcement {
            address: self.address,
            cache: None,
            data_centre: self.settings.place.data_centre.clone(),
            incarnation: self.settings.place.incarnation,
            offer: Offer::Service(offer),
            reclaim_in_ms: None,
            region: self.settings.place.region.clone(),
            report: Some(LoadReport {
                running,
                ..LoadReport::default()
            }),
            sequence: 0,
            state: if leaving {
                State::Leaving
            } else {
                State::Ready
            },
        })
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Dropped> {
        if request.uri().path() == "/ledger" {
            return Ok(reply::json(StatusCode::OK, self.runs().as_slice()));
        }
        self.call(request).await
    }
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}

async fn read(request: Request<Incoming>) -> Option<Run> {
    let call = header(&request, "gentiancleat-call");
    let idempotency_key = header(&request, "idempotency-key");
    let method = request.method().to_string();
    let path = request.uri().to_string();
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let seat = serde_json::from_slice::<serde_json::Value>(&body)
        .ok()
        .and_then(|body| body.get("seat")?.as_str().map(str::to_owned));
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Run {
        body,
        call,
        idempotency_key,
        method,
        path,
        seat,
    })
}
