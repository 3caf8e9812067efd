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
use crate::http::engine_state::{EngineState, GenerationWatch, StartOutcome, StartRequest};
use crate::http::fault::{Fault, FaultInjector};
use crate::http::generation_stream;
use crate::http::response::{self, HttpResponse};
use crate::http::server_handle::{ConnectionDropped, FakeEndpoint, ServerHandle};
use crate::http::{AnnouncementSettings, EngineConfiguration, GenerationLength, GenerationRecord};

const STALL_POLL_MS: u64 = 10;

/// Settings of a fake engine.
#[derive(Debug, Clone)]
pub struct EngineServerSettings {
    /// Address to listen on; port 0 chooses a free port.
    pub address: SocketAddr,
    /// Identity of the endpoint and the instances that it announces itself to.
    pub announcement: AnnouncementSettings,
    /// Whether orders with an old fencing number are rejected.
    pub checks_fencing: bool,
    /// Speed and memory of the engine model.
    pub engine: EngineSettings,
    /// Number of tokens of each generation.
    pub length: GenerationLength,
    /// Name of the model that is loaded at the start.
    pub model: String,
    /// Age of load reports when they are announced.
    pub report_lag_ms: u64,
    /// Version of the model that is loaded at the start.
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
    state: Arc<EngineServerState>,
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
        let state = Arc::new(EngineServerState::new(settings, faults.clone()));
        let handle = ServerHandle::spawn(address, announcement, faults, Arc::clone(&state)).await?;
        handle.spawn_until_killed(run_engine_steps(Arc::clone(&state)));
        Ok(Self { handle, state })
    }

    /// What the engine serves after the orders it accepted.
    #[must_use]
    pub fn configuration(&self) -> EngineConfiguration {
        self.state.lock_engine().configuration.clone()
    }

    /// Record of each generation that was started.
    #[must_use]
    pub fn ledger(&self) -> Vec<GenerationRecord> {
        self.state.lock_engine().ledger()
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

/// State that all connections of the fake engine share.
#[derive(Debug)]
struct EngineServerState {
    engine: Mutex<EngineState>,
    faults: FaultInjector,
    settings: EngineServerSettings,
    started: Instant,
    submitted: Notify,
}

impl EngineServerState {
    fn new(settings: EngineServerSettings, faults: FaultInjector) -> Self {
        let model = EngineModel::new(settings.engine.clone());
        let mut engine = EngineState::new(model, settings.engine.block_tokens, settings.length);
        engine.configuration.model.clone_from(&settings.model);
        "both".clone_into(&mut engine.configuration.role);
        engine.configuration.version.clone_from(&settings.version);
        let (started, engine) = (Instant::now(), Mutex::new(engine));
        Self {
            engine,
            faults,
            settings,
            started,
            submitted: Notify::new(),
        }
    }

    async fn apply_order_request(&self, request: Request<Incoming>) -> HttpResponse {
        let Some(order) = response::read_json::<Order>(request).await else {
            return response::empty(StatusCode::BAD_REQUEST);
        };
        let ignores_fencing = self.faults.current() == Some(Fault::IgnoreFencing);
        let mut engine = self.lock_engine();
        if self.settings.checks_fencing
            && !ignores_fencing
            && order.fencing < engine.configuration.fencing
        {
            return response::empty(StatusCode::CONFLICT);
        }
        engine.configuration.fencing = engine.configuration.fencing.max(order.fencing);
        order.action.apply(&mut engine.configuration);
        response::json(&engine.configuration)
    }

    fn cancel(&self, id: GenerationId) -> HttpResponse {
        let known = self.lock_engine().cancel(self.now_us(), id);
        response::empty(if known {
            StatusCode::NO_CONTENT
        } else {
            StatusCode::NOT_FOUND
        })
    }

    fn lock_engine(&self) -> MutexGuard<'_, EngineState> {
        self.engine
            .lock()
            .expect("no thread panics with the engine locked")
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn resume_stream(&self, id: GenerationId, query: Option<&str>) -> HttpResponse {
        let first_index = query.and_then(|query| query.strip_prefix("from="));
        let Ok(first_index) = first_index.unwrap_or("0").parse() else {
            return response::empty(StatusCode::BAD_REQUEST);
        };
        let watch = self.lock_engine().watch(id);
        watch.map_or_else(
            || response::empty(StatusCode::NOT_FOUND),
            |watch| self.stream_response(watch, first_index),
        )
    }

    async fn start(
        &self,
        id: GenerationId,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, ConnectionDropped> {
        if self
            .faults
            .consume(|fault| fault == Fault::Refuse)
            .is_some()
        {
            return Ok(response::not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        let Some(start) = response::read_json::<StartRequest>(request).await else {
            return Ok(response::not_run(StatusCode::BAD_REQUEST));
        };
        if start.model != self.lock_engine().configuration.model {
            return Ok(response::not_run(StatusCode::NOT_FOUND));
        }
        let outcome = self.lock_engine().start(self.now_us(), id, start);
        self.submitted.notify_one();
        let applies = |fault| matches!(fault, Fault::LoseAnswer | Fault::FailAfterRun);
        match self.faults.consume(applies) {
            Some(Fault::LoseAnswer) => return Err(ConnectionDropped),
            Some(_) => return Ok(response::empty(StatusCode::INTERNAL_SERVER_ERROR)),
            None => {}
        }
        Ok(match outcome {
            StartOutcome::CancelledBefore => response::not_run(StatusCode::CONFLICT),
            StartOutcome::IdInUse => response::empty(StatusCode::CONFLICT),
            StartOutcome::PromptTooLarge => response::not_run(StatusCode::SERVICE_UNAVAILABLE),
            StartOutcome::Started(watch) => self.stream_response(watch, 0),
        })
    }

    fn stream_response(&self, watch: GenerationWatch, first_index: u32) -> HttpResponse {
        let faults = self.faults.clone();
        response::event_stream(generation_stream::stream_events(watch, first_index, faults))
    }
}

impl FakeEndpoint for EngineServerState {
    fn cache_update(&self) -> Value {
        let update = self.lock_engine().cache_update();
        let drops_update = |fault| fault == Fault::LoseCacheNews && !update.is_null();
        if self.faults.consume(drops_update).is_some() {
            Value::Null
        } else {
            update
        }
    }

    async fn handle_request(
        &self,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, ConnectionDropped> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if let Some(rest) = path.strip_prefix("/generations/") {
            let (id, tail) = rest.split_once('/').unwrap_or((rest, ""));
            let Ok(id) = id.parse::<GenerationId>() else {
                return Ok(response::not_run(StatusCode::BAD_REQUEST));
            };
            return match (method, tail) {
                (Method::POST, "") => self.start(id, request).await,
                (Method::DELETE, "") => Ok(self.cancel(id)),
                (Method::GET, "tokens") => Ok(self.resume_stream(id, request.uri().query())),
                _ => Ok(response::not_run(StatusCode::METHOD_NOT_ALLOWED)),
            };
        }
        Ok(match (method, path.as_str()) {
            (Method::GET, "/ledger") => response::json(&self.lock_engine().ledger()),
            (Method::GET, "/state") => response::json(&self.lock_engine().configuration),
            (Method::POST, "/orders") => self.apply_order_request(request).await,
            _ => response::not_run(StatusCode::NOT_FOUND),
        })
    }

    fn load_report(&self) -> Value {
        self.lock_engine()
            .load_report(self.now_us(), self.settings.report_lag_ms * 1000)
    }

    fn offer(&self) -> Value {
        let configuration = self.lock_engine().configuration.clone();
        let engine = &self.settings.engine;
        json!({"engine": {
            "adapters": configuration.adapters,
            "block_tokens": engine.block_tokens,
            "checks_fencing": self.settings.checks_fencing,
            "memory_tokens": engine.memory_tokens,
            "model": configuration.model,
            "role": configuration.role,
            "sequences_max": engine.sequences_max,
            "version": configuration.version,
        }})
    }
}

/// Change of the engine's configuration that an order requests.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OrderAction {
    ChangeRole { role: String },
    Load(ModelWeights),
    Unload(ModelWeights),
}

/// Model weights that an order loads or unloads.
#[derive(Debug, Deserialize)]
struct ModelWeights {
    adapter: Option<String>,
    model: String,
    version: Option<String>,
}

/// Body of an order to the engine.
#[derive(Debug, Deserialize)]
struct Order {
    action: OrderAction,
    fencing: u64,
}

impl OrderAction {
    fn apply(self, configuration: &mut EngineConfiguration) {
        match self {
            Self::ChangeRole { role } => configuration.role = role,
            Self::Load(ModelWeights {
                adapter: Some(adapter),
                ..
            }) => {
                configuration.adapters.retain(|loaded| *loaded != adapter);
                configuration.adapters.push(adapter);
            }
            Self::Load(ModelWeights { model, version, .. }) => {
                configuration.model = model;
                configuration.version = version.unwrap_or_default();
            }
            Self::Unload(ModelWeights {
                adapter: Some(adapter),
                ..
            }) => {
                configuration.adapters.retain(|loaded| *loaded != adapter);
            }
            Self::Unload(_) => {
                configuration.model.clear();
                configuration.version.clear();
            }
        }
    }
}

/// Advances the engine model in the time of the tokio runtime.
async fn run_engine_steps(server: Arc<EngineServerState>) {
    loop {
        let step_end_us = {
            let mut engine = server.lock_engine();
            engine.advance(server.now_us());
            engine.model.next_step_end_us()
        };
        match step_end_us {
            None => server.submitted.notified().await,
            Some(end_us) => sleep_until(server.started + Duration::from_micros(end_us)).await,
        }
        while server.faults.current() == Some(Fault::Stall) {
            sleep(Duration::from_millis(STALL_POLL_MS)).await;
        }
    }
}
