use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use names::GenerationId;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use crate::engine::{EngineModel, EngineSettings};
use crate::http::engine_state::{EngineState, Start, Started, Watched};
use crate::http::fault::{Fault, FaultInjector};
use crate::http::generation_stream;
use crate::http::handle::{Dropped, Handler, ServerHandle};
use crate::http::reply::{self, Reply};
use crate::http::{AnnouncementSettings, EngineConfiguration, GenerationLength, GenerationRecord};

const STALL_POLL_MS: u64 = 10;

/// How a fake engine behaves.
#[derive(Debug, Clone)]
pub struct EngineServerSettings {
    /// Where to listen; port 0 takes a free port.
    pub address: SocketAddr,
    /// Where it is and to whom it announces itself.
    pub announcement: AnnouncementSettings,
    /// Refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Speed and memory.
    pub engine: EngineSettings,
    /// How long generations are.
    pub length: GenerationLength,
    /// Name of the model.
    pub model: String,
    /// Age of the load reports.
    pub report_lag_ms: u64,
    /// Version of the model.
    pub version: String,
}

impl Default for EngineServerSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            announcement: AnnouncementSettings::default(),
            checks_fencing: true,
            engine: EngineSettings::default(),
            length: GenerationLength::HeavyTailed { median_tokens: 64 },
            model: "fake".to_owned(),
            report_lag_ms: 0,
            version: "1".to_owned(),
        }
    }
}

/// A running fake engine; dropping it kills the engine.
#[derive(Debug)]
pub struct EngineServer {
    handle: ServerHandle,
    shared: Arc<Shared>,
}

impl EngineServer {
    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn spawn(settings: EngineServerSettings) -> Result<Self, io::Error> {
        let (address, announcement) = (settings.address, settings.announcement.clone());
        let faults = FaultInjector::default();
        let shared = Arc::new(Shared::new(settings, faults.clone()));
        let handle =
            ServerHandle::spawn(address, announcement, faults, Arc::clone(&shared)).await?;
        handle.run(drive(Arc::clone(&shared)));
        Ok(Self { handle, shared })
    }

    /// What ran, by generation.
    #[must_use]
    pub fn ledger(&self) -> Vec<GenerationRecord> {
        self.shared.lock().ledger()
    }

    /// What it was ordered to serve.
    #[must_use]
    pub fn orders(&self) -> EngineConfiguration {
        self.shared.lock().orders.clone()
    }
}

impl Deref for EngineServer {
    type Target = ServerHandle;

    fn deref(&self) -> &ServerHandle {
        &self.handle
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.handle.kill();
    }
}

#[derive(Debug)]
struct Shared {
    faults: FaultInjector,
    settings: EngineServerSettings,
    started: Instant,
    state: Mutex<EngineState>,
    submitted: Notify,
}

impl Shared {
    fn new(settings: EngineServerSettings, faults: FaultInjector) -> Self {
        let model = EngineModel::new(settings.engine.clone());
        let mut state = EngineState::new(model, settings.engine.block_tokens, settings.length);
        state.orders.model.clone_from(&settings.model);
        "both".clone_into(&mut state.orders.role);
        state.orders.version.clone_from(&settings.version);
        let (started, state) = (Instant::now(), Mutex::new(state));
        Self {
            faults,
            settings,
            started,
            state,
            submitted: Notify::new(),
        }
    }

    fn cancel(&self, id: GenerationId) -> Reply {
        let known = self.lock().cancel(self.now_us(), id);
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
        reply::json(&state.orders)
    }

    fn resume(&self, id: GenerationId, query: Option<&str>) -> Reply {
        let from = query.and_then(|query| query.strip_prefix("from="));
        let Ok(from) = from.unwrap_or("0").parse() else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let watched = self.lock().watch(id);
        watched.map_or_else(
            || reply::empty(StatusCode::NOT_FOUND),
            |w| self.stream(w, from),
        )
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
        let after = |fault| matches!(fault, Fault::LoseAnswer | Fault::FailAfterRun);
        match self.faults.take(after) {
            Some(Fault::LoseAnswer) => return Err(Dropped),
            Some(_) => return Ok(reply::empty(StatusCode::INTERNAL_SERVER_ERROR)),
            None => {}
        }
        Ok(match started {
            Started::CancelledBefore => reply::not_run(StatusCode::CONFLICT),
            Started::InUse => reply::empty(StatusCode::CONFLICT),
            Started::NoRoom => reply::not_run(StatusCode::SERVICE_UNAVAILABLE),
            Started::Running(watched) => self.stream(watched, 0),
        })
    }

    fn stream(&self, watched: Watched, from: u32) -> Reply {
        reply::event_stream(generation_stream::open(watched, from, self.faults.clone()))
    }
}

impl Handler for Shared {
    fn cache(&self) -> Value {
        let news = self.lock().cache();
        let lost = |fault| fault == Fault::LoseCacheNews && !news.is_null();
        if self.faults.take(lost).is_some() {
            Value::Null
        } else {
            news
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Reply, Dropped> {
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
            (Method::GET, "/ledger") => reply::json(&self.lock().ledger()),
            (Method::GET, "/state") => reply::json(&self.lock().orders),
            (Method::POST, "/orders") => self.order(request).await,
            _ => reply::not_run(StatusCode::NOT_FOUND),
        })
    }

    fn offer(&self) -> Value {
        let orders = self.lock().orders.clone();
        let engine = &self.settings.engine;
        json!({"engine": {
            "adapters": orders.adapters,
            "block_tokens": engine.block_tokens,
            "checks_fencing": self.settings.checks_fencing,
            "memory_tokens": engine.memory_tokens,
            "model": orders.model,
            "role": orders.role,
            "sequences_max": engine.sequences_max,
            "version": orders.version,
        }})
    }

    fn report(&self) -> Value {
        self.lock()
            .report(self.now_us(), self.settings.report_lag_ms * 1000)
    }
}

/// What an order asks for.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Action {
    ChangeRole { role: String },
    Load(Weights),
    Unload(Weights),
}

#[derive(Debug, Deserialize)]
struct Weights {
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
    fn apply(self, orders: &mut EngineConfiguration) {
        match self {
            Self::ChangeRole { role } => orders.role = role,
            Self::Load(Weights {
                adapter: Some(adapter),
                ..
            }) => {
                orders.adapters.retain(|loaded| *loaded != adapter);
                orders.adapters.push(adapter);
            }
            Self::Load(Weights { model, version, .. }) => {
                orders.model = model;
                orders.version = version.unwrap_or_default();
            }
            Self::Unload(Weights {
                adapter: Some(adapter),
                ..
            }) => {
                orders.adapters.retain(|loaded| *loaded != adapter);
            }
            Self::Unload(_) => {
                orders.model.clear();
                orders.version.clear();
            }
        }
    }
}

/// Runs the engine's steps on the clock of the runtime.
async fn drive(shared: Arc<Shared>) {
    loop {
        let next_us = {
            let mut state = shared.lock();
            state.advance(shared.now_us());
            state.model.next_step_end_us()
        };
        match next_us {
            None => shared.submitted.notified().await,
            Some(next_us) => sleep_until(shared.started + Duration::from_micros(next_us)).await,
        }
        while shared.faults.current() == Some(Fault::Stall) {
            sleep(Duration::from_millis(STALL_POLL_MS)).await;
        }
    }
}
