use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use names::GenerationId;
use serde::Deserialize;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::engine::{EngineModel, EngineSettings};
use crate::http::announcer::{self, Announce};
use crate::http::cache_log::CacheLog;
use crate::http::engine_state::{EngineState, Start, Started};
use crate::http::fault::{Fault, FaultSwitch};
use crate::http::generation_stream;
use crate::http::reply::{self, Reply};
use crate::http::report_log::ReportLog;
use crate::http::server::{self, Dropped, Handler};
use crate::http::{
    Announcement, EngineOffer, EngineOrders, Error, LedgerEntry, LengthRule, Offer, Place, State,
};

const STALL_POLL_MS: u64 = 10;

/// How a fake engine behaves.
#[derive(Debug, Clone)]
pub struct EngineServerSettings {
    /// Where to listen; port 0 takes a free port.
    pub address: SocketAddr,
    /// Refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Speed and memory.
    pub engine: EngineSettings,
    /// How long generations are.
    pub length: LengthRule,
    /// Name of the model.
    pub model: String,
    /// Where it is and to whom it announces itself.
    pub place: Place,
    /// Age of the load reports.
    pub report_lag_ms: u64,
    /// Version of the model.
    pub version: String,
}

impl Default for EngineServerSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            checks_fencing: true,
            engine: EngineSettings::default(),
            length: LengthRule::Spread { median: 64 },
            model: "fake".to_owned(),
            place: Place::default(),
            report_lag_ms: 0,
            version: "1".to_owned(),
        }
    }
}

/// A running fake engine; dropping it kills the engine.
#[derive(Debug)]
pub struct EngineServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

impl EngineServer {
    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn spawn(settings: EngineServerSettings) -> Result<Self, Error> {
        let (listener, address) = server::bind(settings.address).await?;
        let stop = CancellationToken::new();
        let shared = Arc::new(Shared::new(settings, address));
        let faults = shared.faults.clone();
        tokio::spawn(server::run(
            listener,
            Arc::clone(&shared),
            faults,
            stop.clone(),
        ));
        tokio::spawn(drive(Arc::clone(&shared), stop.clone()));
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

    /// Resolves when the engine was told to die.
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

    /// What ran, by generation.
    #[must_use]
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        self.shared.lock().ledger()
    }

    /// What it was ordered to serve.
    #[must_use]
    pub fn orders(&self) -> EngineOrders {
        self.shared.lock().orders.clone()
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    cache: Mutex<CacheLog>,
    faults: FaultSwitch,
    leaving: AtomicBool,
    reports: Mutex<ReportLog>,
    settings: EngineServerSettings,
    started: Instant,
    state: Mutex<EngineState>,
    submitted: Notify,
}

impl Shared {
    fn new(settings: EngineServerSettings, address: SocketAddr) -> Self {
        let orders = EngineOrders {
            model: settings.model.clone(),
            role: "both".to_owned(),
            version: settings.version.clone(),
            ..EngineOrders::default()
        };
        let model = EngineModel::new(settings.engine.clone());
        let block_tokens = settings.engine.block_tokens;
        let state = EngineState::new(model, block_tokens, settings.length, orders);
        Self {
            address,
            cache: Mutex::default(),
            faults: FaultSwitch::default(),
            leaving: AtomicBool::new(false),
            reports: Mutex::new(ReportLog::new(settings.report_lag_ms)),
            settings,
            started: Instant::now(),
            state: Mutex::new(state),
            submitted: Notify::new(),
        }
    }

    fn cancel(&self, id: GenerationId) -> Reply {
        let known = self.lock().cancel(self.now_us(), id);
        // The tombstone stands in both cases.
        reply::empty(if known {
            StatusCode::NO_CONTENT
        } else {
            StatusCode::NOT_FOUND
        })
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder of the engine panics")
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn offer(&self, state: &EngineState) -> EngineOffer {
        EngineOffer {
            adapters: state.orders.adapters.clone(),
            block_tokens: self.settings.engine.block_tokens,
            checks_fencing: self.settings.checks_fencing,
            memory_tokens: self.settings.engine.memory_tokens,
            model: state.orders.model.clone(),
            role: state.orders.role.clone(),
            sequences_max: self.settings.engine.sequences_max,
            version: state.orders.version.clone(),
        }
    }

    async fn order(&self, request: Request<Incoming>) -> Reply {
        let Some(order) = reply::read_json::<Order>(request).await else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let ignores = self.faults.current() == Some(Fault::IgnoreFencing);
        let mut state = self.lock();
        if self.settings.checks_fencing && !ignores && order.fencing < state.orders.fencing {
            return reply::empty(StatusCode::CONFLICT);
        }
        state.orders.fencing = state.orders.fencing.max(order.fencing);
        order.action.apply(&mut state.orders);
        reply::json(StatusCode::OK, &state.orders)
    }

    fn resume(&self, id: GenerationId, query: Option<&str>) -> Reply {
        let from = query.and_then(|query| query.strip_prefix("from="));
        let Ok(from) = from.unwrap_or("0").parse() else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        match self.lock().watch(id) {
            None => reply::empty(StatusCode::NOT_FOUND),
            Some(watched) => {
                reply::event_stream(generation_stream::open(watched, from, self.faults.clone()))
            }
        }
    }

    async fn start(&self, id: GenerationId, request: Request<Incoming>) -> Result<Reply, Dropped> {
        if self.faults.take(|fault| fault == Fault::Refuse).is_some() {
            return Ok(reply::not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        let Some(start) = reply::read_json::<Start>(request).await else {
            return Ok(reply::not_run(StatusCode::BAD_REQUEST));
        };
        if start.model != self.lock().orders.model {
            return Ok(reply::not_run(StatusCode::NOT_FOUND));
        }
        let started = self.lock().start(self.now_us(), id, start);
        self.submitted.notify_one();
        let fault = self
            .faults
            .take(|fault| matches!(fault, Fault::LoseAnswer | Fault::FailAfterRun));
        match fault {
            Some(Fault::LoseAnswer) => return Err(Dropped),
            Some(_) => return Ok(reply::empty(StatusCode::INTERNAL_SERVER_ERROR)),
            None => {}
        }
        Ok(match started {
            Started::CancelledBefore => reply::not_run(StatusCode::CONFLICT),
            Started::InUse => reply::empty(StatusCode::CONFLICT),
            Started::NoRoom => reply::not_run(StatusCode::SERVICE_UNAVAILABLE),
            Started::Running(watched) => {
                reply::event_stream(generation_stream::open(watched, 0, self.faults.clone()))
            }
        })
    }
}

impl Announce for Shared {
    fn announced(&self, taken: bool) {
        self.cache
            .lock()
            .expect("no holder of the news panics")
            .sent(taken);
    }

    fn announcement(&self) -> Option<Announcement> {
        if self.faults.current() == Some(Fault::Silence) {
            return None;
        }
        let now_us = self.now_us();
        let mut state = self.lock();
        state.advance(now_us);
        let load = state.model.load(now_us);
        let news = state.model.take_cache_news();
        let report = self
            .reports
            .lock()
            .expect("no holder of reports panics")
            .push(now_us, load);
        let cache = self
            .cache
            .lock()
            .expect("no holder of the news panics")
            .push(news);
        let leaving = self.leaving.load(Ordering::Relaxed);
        Some(Announcement {
            address: self.address,
            cache,
            data_centre: self.settings.place.data_centre.clone(),
            incarnation: self.settings.place.incarnation,
            offer: Offer::Engine(self.offer(&state)),
            reclaim_in_ms: None,
            region: self.settings.place.region.clone(),
            report,
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
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if let Some(rest) = path.strip_prefix("/generations/") {
            let (id, tail) = rest.split_once('/').unwrap_or((rest, ""));
            let Ok(id) = id.parse::<GenerationId>() else {
                return Ok(reply::not_run(StatusCode::BAD_REQUEST));
            };
            return match (method, tail) {
                (Method::POST, "") => self.start(id, request).await,
                (Method::DELETE, "") => Ok(self.cancel(id)),
                (Method::GET, "tokens") => Ok(self.resume(id, request.uri().query())),
                _ => Ok(reply::not_run(StatusCode::METHOD_NOT_ALLOWED)),
            };
        }
        Ok(match (method, path.as_str()) {
            (Method::GET, "/ledger") => reply::json(StatusCode::OK, &self.lock().ledger()),
            (Method::GET, "/state") => reply::json(StatusCode::OK, &self.lock().orders),
            (Method::POST, "/orders") => self.order(request).await,
            _ => reply::not_run(StatusCode::NOT_FOUND),
        })
    }
}

/// What an order asks for.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Action {
    ChangeRole { role: String },
    Load(Load),
    Unload(Load),
}

#[derive(Debug, Deserialize)]
struct Load {
    adapter: Option<String>,
    model: String,
    version: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Order {
    action: Action,
    fencing: u64,
}

impl Action {
    fn apply(self, orders: &mut EngineOrders) {
        match self {
            Self::ChangeRole { role } => orders.role = role,
            Self::Load(Load {
                adapter: Some(adapter),
                ..
            }) => {
                if !orders.adapters.contains(&adapter) {
                    orders.adapters.push(adapter);
                }
            }
            Self::Load(Load { model, version, .. }) => {
                orders.model = model;
                orders.version = version.unwrap_or_default();
            }
            Self::Unload(Load {
                adapter: Some(adapter),
                ..
            }) => {
                orders.adapters.retain(|loaded| *loaded != adapter);
            }
            Self::Unload(Load { .. }) => {
                orders.model.clear();
                orders.version.clear();
            }
        }
    }
}

/// Runs the engine's steps on the clock of the runtime.
async fn drive(shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        let next_us = {
            let mut state = shared.lock();
            state.advance(shared.now_us());
            state.model.next_us()
        };
        let pause = async {
            match next_us {
                None => shared.submitted.notified().await,
                Some(next_us) => {
                    sleep_until(shared.started + Duration::from_micros(next_us)).await;
                }
            }
            while shared.faults.current() == Some(Fault::Stall) {
                tokio::time::sleep(Duration::from_millis(STALL_POLL_MS)).await;
            }
        };
        if stop.run_until_cancelled(pause).await.is_none() {
            return;
        }
    }
}
