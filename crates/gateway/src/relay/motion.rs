use std::future::pending;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use catalog::Engine;
use http_body_util::BodyExt;
use slog::{Logger, debug, info};
use telemetry::ServingMetrics;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use crate::connection::Pool;
use crate::endpoint::Endpoint;
use crate::fleet::{Slot, Want};
use crate::handler::Call;
use crate::shared::Shared;
use crate::{CopyOutcome, CopyPlan, Dialect, RunCopy, copy_plan};

/// Longest time for one copy; endpoints are gone by then.
const COPY_TIMEOUT_MS: u64 = 2_500;

/// Pause before a move that found no room is tried again.
const RETRY_MS: u64 = 120;

/// Tokens that a run makes in a second beside some others; engines take 7 ms and more a token.
const TOKENS_PER_S: u64 = 110;

type CopyTask = Pin<Box<dyn Future<Output = CopyOutcome> + Send>>;

/// How far a run is on its way off its endpoint.
pub(super) enum Motion {
    /// The first copy is made.
    Copied { copied: Copied, stop_at: Instant },
    /// The first copy is on its way.
    Copying {
        copy: CopyTask,
        departure: Departure,
        stop_at: Instant,
        target: Slot,
    },
    /// The run stays.
    Fixed,
    /// The run is stopped, and what is new is copied.
    Stopping { copied: Copied, last_copy: CopyTask },
    /// A move is to be tried at a time.
    Waiting { at: Instant, full: Vec<String> },
    /// The endpoint has not said that it leaves.
    Watching(watch::Receiver<bool>),
}

/// A copy at another endpoint.
pub(super) struct Copied {
    departure: Departure,
    handle: String,
    target: Slot,
}

/// Where a run moves from.
pub(super) struct Departure {
    dialect: Arc<dyn Dialect>,
    /// Endpoints without room, by id.
    full: Vec<String>,
    log: Logger,
    metrics: Arc<ServingMetrics>,
    run: String,
    source: Arc<Pool>,
}

/// Progress of a move.
pub(super) enum Moved {
    /// A move is to begin.
    Due,
    /// Nothing that the stream has to know.
    Nothing,
    /// The run is stopped and can go on elsewhere.
    Stopped { copy: RunCopy, slot: Slot },
}

impl Motion {
    pub(super) fn watch(endpoint: &Endpoint) -> Self {
        Self::Watching(endpoint.leaving())
    }

    /// Endpoints that had no room for the run.
    pub(super) fn full(&self) -> &[String] {
        match self {
            Self::Waiting { full, .. } => full,
            _ => &[],
        }
    }

    /// Waits for the next step; may be dropped and called again.
    pub(super) async fn next(&mut self) -> Moved {
        match self {
            Self::Copied { stop_at, .. } => {
                sleep_until(*stop_at).await;
                self.stop();
                Moved::Nothing
            }
            Self::Copying { copy, .. } => {
                let outcome = copy.await;
                self.on_copied(outcome);
                Moved::Nothing
            }
            Self::Fixed => pending().await,
            Self::Stopping { last_copy, .. } => {
                let outcome = last_copy.await;
                self.on_stopped(outcome)
            }
            Self::Waiting { at, .. } => {
                sleep_until(*at).await;
                Moved::Due
            }
            Self::Watching(leaving) => {
                if leaving.wait_for(|is_leaving| *is_leaving).await.is_ok() {
                    return Moved::Due;
                }
                pending().await
            }
        }
    }

    /// Begins to copy a run, if there is room for it elsewhere and it does not end soon.
    #[expect(
        clippy::too_many_arguments,
        reason = "the run, its engine and what is wanted of others come from three owners"
    )]
    pub(super) async fn begin(
        &mut self,
        shared: &Arc<Shared>,
        call: &Arc<Call>,
        engine: &Engine,
        slot: &Slot,
        tokens_left: u64,
        tokens_on_engine: u64,
        want: &Want,
    ) {
        let now = Instant::now();
        let full = self.full().to_vec();
        let plan = CopyPlan {
            link_mbps: engine.link_mbps,
            tokens_left,
            tokens_on_engine,
            token_bytes: engine.token_bytes,
            tokens_per_s: TOKENS_PER_S,
        };
        let Some(stop_after_ms) = copy_plan(&plan) else {
            let at = now + Duration::from_millis(RETRY_MS);
            *self = Self::Waiting { at, full };
            return;
        };
        let Some(target) = shared.admit_move(want).await else {
            let at = now + Duration::from_millis(RETRY_MS);
            let full = Vec::new();
            *self = Self::Waiting { at, full };
            return;
        };
        let departure = Departure {
            dialect: Arc::clone(&shared.dialect),
            full,
            log: shared.log.clone(),
            metrics: Arc::clone(&shared.metrics),
            run: call.id().to_owned(),
            source: Arc::clone(&slot.endpoint.pool),
        };
        info!(shared.log, "move begins"; "request" => call.id(), "from" => &slot.endpoint.id,
            "to" => &target.endpoint.id,
            "from_data_centre" => &slot.endpoint.data_centre,
            "to_data_centre" => &target.endpoint.data_centre, "tokens" => want.demand.tokens,
            "tokens_on_engine" => tokens_on_engine,
            "tokens_left" => tokens_left, "stop_after_ms" => stop_after_ms);
        *self = Self::Copying {
            copy: departure.copy(&target, false),
            departure,
            stop_at: now + Duration::from_millis(stop_after_ms),
            target,
        };
    }

    /// Copy that a broken stream can go on from.
    pub(super) async fn take_copy(&mut self) -> Option<(Slot, RunCopy)> {
        let (copied, handle) = match std::mem::replace(self, Self::Fixed) {
            Self::Copied { copied, .. } => {
                let handle = copied.handle.clone();
                (copied, handle)
            }
            Self::Stopping {
                copied, last_copy, ..
            } => match last_copy.await {
                CopyOutcome::Copied { handle } => (copied, handle),
                CopyOutcome::NoSuchRun => return None,
                _ => {
                    let handle = copied.handle.clone();
                    (copied, handle)
                }
            },
            _ => return None,
        };
        let source = copied.departure.source.address();
        Some((copied.target, RunCopy { handle, source }))
    }

    /// Frees a copy that is not needed, at both ends.
    pub(super) fn free(self) {
        let Self::Copied { copied, .. } = self else {
            return;
        };
        let request = copied.departure.dialect.free_request(&copied.handle);
        let (source, log) = (copied.departure.source, copied.departure.log);
        tokio::spawn(async move {
            if let Err(error) = source.send(request, false).await {
                // The engines free it themselves after a time.
                debug!(log, "copy not freed"; "error" => %error);
            }
        });
    }

    fn stop(&mut self) {
        if let Self::Copied { copied, .. } = std::mem::replace(self, Self::Fixed) {
            *self = Self::Stopping {
                last_copy: copied.departure.copy(&copied.target, true),
                copied,
            };
        }
    }

    fn on_copied(&mut self, outcome: CopyOutcome) {
        let Self::Copying {
            mut departure,
            stop_at,
            mut target,
            ..
        } = std::mem::replace(self, Self::Fixed)
        else {
            return;
        };
        departure.note("run copied", &target, &outcome);
        *self = match outcome {
            CopyOutcome::Copied { handle } => {
                target.note_copied();
                let pool = Arc::clone(&target.endpoint.pool);
                tokio::spawn(async move { pool.warm().await });
                Self::Copied {
                    copied: Copied {
                        departure,
                        handle,
                        target,
                    },
                    stop_at,
                }
            }
            CopyOutcome::NoSuchRun => Self::Fixed,
            CopyOutcome::NoRoom { .. } => {
                departure.full.push(target.endpoint.id.clone());
                Self::retry(departure.full)
            }
            CopyOutcome::Busy | CopyOutcome::Failed => Self::retry(departure.full),
        };
    }

    fn on_stopped(&mut self, outcome: CopyOutcome) -> Moved {
        let Self::Stopping { mut copied, .. } = std::mem::replace(self, Self::Fixed) else {
            return Moved::Nothing;
        };
        copied
            .departure
            .note("run stopped", &copied.target, &outcome);
        match outcome {
            CopyOutcome::Copied { handle } => {
                let source = copied.departure.source.address();
                return Moved::Stopped {
                    copy: RunCopy { handle, source },
                    slot: copied.target,
                };
            }
            CopyOutcome::NoSuchRun => {}
            CopyOutcome::Busy | CopyOutcome::Failed | CopyOutcome::NoRoom { .. } => {
                let full = &mut copied.departure.full;
                full.push(copied.target.endpoint.id.clone());
                *self = Self::retry(std::mem::take(full));
            }
        }
        Moved::Nothing
    }

    fn retry(full: Vec<String>) -> Self {
        let at = Instant::now() + Duration::from_millis(RETRY_MS);
        Self::Waiting { at, full }
    }
}

impl Departure {
    fn copy(&self, target: &Slot, is_last: bool) -> CopyTask {
        let to = target.endpoint.pool.address();
        let request = self.dialect.copy_request(&self.run, to, is_last);
        let source = Arc::clone(&self.source);
        let dialect = Arc::clone(&self.dialect);
        Box::pin(async move {
            let asked = async {
                let answer = source.send(request, false).await.ok()?;
                let status = answer.head.status;
                let body = answer.body.collect().await.ok()?.to_bytes();
                Some(dialect.read_copy(status, &body))
            };
            let time = Duration::from_millis(COPY_TIMEOUT_MS);
            let answered = timeout(time, asked).await.ok().flatten();
            answered.unwrap_or(CopyOutcome::Failed)
        })
    }

    fn note(&self, event: &'static str, target: &Slot, outcome: &CopyOutcome) {
        self.metrics.moved(outcome.name());
        info!(self.log, "{}", event; "request" => &self.run, "to" => &target.endpoint.id,
            "outcome" => ?outcome);
    }
}
