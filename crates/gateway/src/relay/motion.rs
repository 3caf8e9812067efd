//! Takes a run off an endpoint that leaves, step by step, while its stream goes on.

use std::future::pending;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use slog::{Logger, debug, info};
use telemetry::ServingMetrics;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use crate::clock::elapsed_ms;
use crate::connection::Pool;
use crate::endpoint::Endpoint;
use crate::fleet::{Slot, Want};
use crate::handler::Call;
use crate::shared::Shared;
use crate::{CacheCopy, CopyOutcome, Dialect, is_nearly_complete, needs_second_copy};

/// Longest time for one copy; endpoints are gone by then.
const COPY_TIMEOUT_MS: u64 = 2_500;

/// Pause before a move that found no room is tried again.
const RETRY_MS: u64 = 120;

type CopyTask = Pin<Box<dyn Future<Output = CopyOutcome> + Send>>;

/// How far a run is on its way off its endpoint.
pub(super) enum Motion {
    /// Its memory is being copied.
    Copying {
        began: Instant,
        copy: CopyTask,
        departure: Departure,
        /// Handle of an earlier copy at the same target.
        earlier: Option<String>,
        target: Slot,
    },
    /// The run stays.
    Fixed,
    /// A move is to be tried at a time.
    Waiting { at: Instant, full: Vec<String> },
    /// The endpoint has not said that it leaves.
    Watching(watch::Receiver<bool>),
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
    /// The run can go on elsewhere.
    Copied(Box<Arrival>),
    /// A move is to begin.
    Due,
    /// Nothing that the stream has to know.
    Nothing,
}

/// A copy of a run at another endpoint.
pub(super) struct Arrival {
    pub(super) copy: CacheCopy,
    pub(super) slot: Slot,
    departure: Departure,
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
            Self::Copying { copy, .. } => {
                let outcome = copy.await;
                self.on_copied(outcome)
            }
            Self::Fixed => pending().await,
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
    pub(super) async fn begin(
        &mut self,
        shared: &Arc<Shared>,
        call: &Arc<Call>,
        slot: &Slot,
        tokens_left: u64,
        want: &Want,
    ) {
        let full = self.full().to_vec();
        if is_nearly_complete(tokens_left) {
            *self = Self::retry(full);
            return;
        }
        let Some(target) = shared.admit_move(want).await else {
            if matches!(self, Self::Watching(_)) {
                info!(shared.log, "move not begun"; "request" => call.id(),
                    "from" => &slot.endpoint.id, "data_centre" => &slot.endpoint.data_centre,
                    "reason" => "no endpoint in reach has room",
                    "excluded" => want.excluded.len());
            }
            *self = Self::retry(Vec::new());
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
            "to_data_centre" => &target.endpoint.data_centre, "tokens" => want.demand.predicted_tokens,
            "tokens_on_engine" => slot.endpoint.load().predicted_tokens, "tokens_left" => tokens_left);
        let pool = Arc::clone(&target.endpoint.pool);
        tokio::spawn(async move { pool.warm().await });
        *self = Self::Copying {
            began: Instant::now(),
            copy: departure.copy(&target),
            departure,
            earlier: None,
            target,
        };
    }

    /// Tries again after an arrival that the endpoint did not take.
    pub(super) fn try_again(&mut self, arrival: Arrival) {
        let Arrival {
            copy,
            slot,
            mut departure,
        } = arrival;
        departure.full.push(slot.endpoint.id.clone());
        departure.free(&copy.handle);
        *self = Self::retry(departure.full);
    }

    /// Earlier copy of a run whose endpoint is gone before a later one was made.
    pub(super) fn take_earlier(&mut self) -> Option<Box<Arrival>> {
        match std::mem::replace(self, Self::Fixed) {
            Self::Copying {
                departure,
                earlier: Some(handle),
                target,
                ..
            } => Some(departure.arrive(target, handle)),
            _ => None,
        }
    }

    /// Frees a copy that is not needed, also one that is still being made.
    pub(super) fn free(self) {
        let Self::Copying {
            copy,
            departure,
            earlier,
            ..
        } = self
        else {
            return;
        };
        tokio::spawn(async move {
            let handle = match copy.await {
                CopyOutcome::Copied { handle } => Some(handle),
                _ => earlier,
            };
            if let Some(handle) = handle {
                departure.free(&handle);
            }
        });
    }

    fn on_copied(&mut self, outcome: CopyOutcome) -> Moved {
        let Self::Copying {
            began,
            mut departure,
            earlier,
            mut target,
            ..
        } = std::mem::replace(self, Self::Fixed)
        else {
            return Moved::Nothing;
        };
        departure.note("run copied", &target, &outcome);
        let outcome = match (outcome, earlier) {
            (CopyOutcome::Copied { handle }, None) if needs_second_copy(elapsed_ms(began)) => {
                target.note_copied();
                *self = Self::Copying {
                    began,
                    copy: departure.copy(&target),
                    departure,
                    earlier: Some(handle),
                    target,
                };
                return Moved::Nothing;
            }
            (CopyOutcome::Copied { handle }, _) | (_, Some(handle)) => {
                CopyOutcome::Copied { handle }
            }
            (outcome, None) => outcome,
        };
        match outcome {
            CopyOutcome::Copied { handle } => {
                target.note_copied();
                return Moved::Copied(departure.arrive(target, handle));
            }
            CopyOutcome::NoSuchRun => {}
            CopyOutcome::NoRoom => {
                departure.full.push(target.endpoint.id.clone());
                *self = Self::retry(departure.full);
            }
            CopyOutcome::Busy | CopyOutcome::Failed => *self = Self::retry(departure.full),
        }
        Moved::Nothing
    }

    fn retry(full: Vec<String>) -> Self {
        let at = Instant::now() + Duration::from_millis(RETRY_MS);
        Self::Waiting { at, full }
    }
}

impl Departure {
    fn copy(&self, target: &Slot) -> CopyTask {
        let to = target.endpoint.pool.address();
        let request = self.dialect.copy_request(&self.run, to);
        let source = Arc::clone(&self.source);
        let dialect = Arc::clone(&self.dialect);
        Box::pin(async move {
            let asked = async {
                let answer = source.send(request, false).await.ok()?;
                let status = answer.head.status;
                let body = answer.body.collect().await.ok()?.to_bytes();
                Some(dialect.parse_copy_response(status, &body))
            };
            let time = Duration::from_millis(COPY_TIMEOUT_MS);
            let answered = timeout(time, asked).await.ok().flatten();
            answered.unwrap_or(CopyOutcome::Failed)
        })
    }

    fn arrive(self, target: Slot, handle: String) -> Box<Arrival> {
        let source = self.source.address();
        Box::new(Arrival {
            copy: CacheCopy { handle, source },
            slot: target,
            departure: self,
        })
    }

    /// Frees a copy at both ends.
    fn free(&self, handle: &str) {
        let request = self.dialect.free_copy_request(handle);
        let (source, log) = (Arc::clone(&self.source), self.log.clone());
        tokio::spawn(async move {
            if let Err(error) = source.send(request, false).await {
                // The engines free it themselves after a time.
                debug!(log, "copy not freed"; "error" => %error);
            }
        });
    }

    fn note(&self, event: &'static str, target: &Slot, outcome: &CopyOutcome) {
        self.metrics.moved(outcome.name());
        info!(self.log, "{}", event; "request" => &self.run, "to" => &target.endpoint.id,
            "outcome" => ?outcome);
    }
}
