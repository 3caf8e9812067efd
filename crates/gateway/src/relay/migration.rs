//! Migrates a generation off a leaving endpoint while its stream continues.

use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use crate::clock::elapsed_ms;
use crate::connection::collect_body;
use crate::endpoint::Endpoint;
use crate::fleet::{PlacementRequest, Slot};
use crate::gateway_state::GatewayState;
use crate::handler::RoutedRequest;
use crate::{CacheCopy, CopyOutcome, is_nearly_complete, needs_second_copy};

/// Time limit of one copy; leaving endpoints are gone by then.
const COPY_TIMEOUT_MS: u64 = 2_500;

/// Time limit of the copy of a stopped generation. Sources keep its memory for about as long.
const SUSPENSION_TIMEOUT_MS: u64 = 5_000;

/// Longest response to a copy request: a handle and a count.
const COPY_RESPONSE_BYTES_MAX: usize = 16 * 1024;

/// Time limit of the request that frees a copy.
const FREE_TIMEOUT_MS: u64 = 2_500;

const RETRY_PAUSE_MS: u64 = 120;

pub(super) type CopyTask = Pin<Box<dyn Future<Output = CopyOutcome> + Send>>;

/// State of a generation's migration off its endpoint.
pub(super) enum Migration {
    Copying {
        copy: CopyTask,
        /// Handle of a complete first copy at the same target.
        first_handle: Option<String>,
        source: MigrationSource,
        started_at: Instant,
        target: Slot,
    },
    /// The generation stays on its endpoint.
    Disabled,
    /// The endpoint is not leaving; the receiver reports when it does.
    NotStarted(watch::Receiver<bool>),
    RetryScheduled {
        at: Instant,
        failed_target_ids: Vec<String>,
    },
}

/// Source endpoint of a migration, with what is needed to copy from it.
pub(super) struct MigrationSource {
    endpoint: Arc<Endpoint>,
    failed_target_ids: Vec<String>,
    gateway: Arc<GatewayState>,
    request_id: String,
}

/// Change of a migration that its relay reacts to.
pub(super) enum MigrationStep {
    CopyComplete(Box<CompleteCopy>),
    StartDue,
    /// The relay has nothing to do.
    Unchanged,
}

/// Complete KV cache copy, with the slot that it occupies on the target.
pub(super) struct CompleteCopy {
    copy: UsedCopy,
    slot: Slot,
}

/// KV cache copy from which a target is asked to continue.
pub(super) struct UsedCopy {
    pub(super) cache_copy: CacheCopy,
    /// Whether the source has stopped the generation, and keeps its memory.
    is_of_stopped: bool,
    source: MigrationSource,
}

impl Migration {
    /// Creates a migration that is due once the endpoint leaves.
    pub(super) fn watch(endpoint: &Endpoint) -> Self {
        Self::NotStarted(endpoint.subscribe_leaving())
    }

    pub(super) fn is_copying(&self) -> bool {
        matches!(self, Self::Copying { .. })
    }

    /// Ids of endpoints that had no memory for the copy or did not continue from it.
    pub(super) fn failed_target_ids(&self) -> &[String] {
        match self {
            Self::RetryScheduled {
                failed_target_ids, ..
            } => failed_target_ids,
            _ => &[],
        }
    }

    /// Waits for the next step. The future may be dropped and requested again.
    pub(super) async fn next_step(&mut self) -> MigrationStep {
        match self {
            Self::Copying { copy, .. } => {
                let outcome = copy.await;
                self.apply_copy_outcome(outcome)
            }
            Self::Disabled => pending().await,
            Self::NotStarted(leaving) => {
                if leaving.wait_for(|is_leaving| *is_leaving).await.is_ok() {
                    return MigrationStep::StartDue;
                }
                pending().await
            }
            Self::RetryScheduled { at, .. } => {
                sleep_until(*at).await;
                MigrationStep::StartDue
            }
        }
    }

    /// Starts a copy, or schedules a retry if the generation is nearly complete or no slot is free.
    pub(super) async fn start(
        &mut self,
        gateway: &Arc<GatewayState>,
        request: &Arc<RoutedRequest>,
        slot: &Slot,
        remaining_tokens: u64,
        placement: &PlacementRequest,
    ) {
        let failed_target_ids = self.failed_target_ids().to_vec();
        if is_nearly_complete(remaining_tokens) {
            *self = Self::schedule_retry(failed_target_ids);
            return;
        }
        let Some(target) = gateway.admit_migration(placement).await else {
            if matches!(self, Self::NotStarted(_)) {
                info!(gateway.log, "migration not started"; "request" => request.id(),
                    "from" => &slot.endpoint.id, "data_centre" => &slot.endpoint.data_centre,
                    "reason" => "no endpoint in reach has room",
                    "excluded" => placement.excluded_ids.len());
            }
            *self = Self::schedule_retry(Vec::new());
            return;
        };
        let source = MigrationSource {
            failed_target_ids,
            ..MigrationSource::new(gateway, request, &slot.endpoint)
        };
        info!(gateway.log, "migration started"; "request" => request.id(),
            "from" => &slot.endpoint.id, "to" => &target.endpoint.id,
            "from_data_centre" => &slot.endpoint.data_centre,
            "to_data_centre" => &target.endpoint.data_centre,
            "tokens" => placement.demand.predicted_tokens,
            "tokens_on_engine" => slot.endpoint.load().predicted_tokens,
            "tokens_left" => remaining_tokens);
        for endpoint in [&slot.endpoint, &target.endpoint] {
            // The source may have to be stopped without the delay of a new connection.
            let pool = Arc::clone(&endpoint.pool);
            tokio::spawn(async move { pool.prewarm().await });
        }
        *self = Self::Copying {
            started_at: Instant::now(),
            copy: source.copy_to(target.endpoint.pool.address(), false),
            source,
            first_handle: None,
            target,
        };
    }

    /// Frees a copy that the target did not continue from, and tries another target after a pause.
    pub(super) fn discard_copy_and_retry(&mut self, copy: UsedCopy, target_id: &str) {
        copy.free();
        let mut source = copy.source;
        source.failed_target_ids.push(target_id.to_owned());
        *self = Self::schedule_retry(source.failed_target_ids);
    }

    /// Takes the first copy of a generation whose endpoint is gone before the second is complete.
    pub(super) fn take_first_copy(&mut self) -> Option<Box<CompleteCopy>> {
        match std::mem::replace(self, Self::Disabled) {
            Self::Copying {
                first_handle: Some(handle),
                source,
                target,
                ..
            } => Some(source.into_complete_copy(target, handle)),
            _ => None,
        }
    }

    /// Frees an unused copy; one in progress is freed once it is complete.
    pub(super) fn free_copy(self) {
        let Self::Copying {
            copy,
            first_handle,
            source,
            ..
        } = self
        else {
            return;
        };
        tokio::spawn(async move {
            let handle = match copy.await {
                CopyOutcome::Copied { handle } => Some(handle),
                _ => first_handle,
            };
            if let Some(handle) = handle {
                source.free_copy(&handle);
            }
        });
    }

    fn apply_copy_outcome(&mut self, outcome: CopyOutcome) -> MigrationStep {
        let Self::Copying {
            first_handle,
            mut source,
            started_at,
            mut target,
            ..
        } = std::mem::replace(self, Self::Disabled)
        else {
            return MigrationStep::Unchanged;
        };
        source.record_outcome(&target, &outcome);
        let outcome = match (outcome, first_handle) {
            (CopyOutcome::Copied { handle }, None)
                if target
                    .endpoint
                    .takes_requests(source.gateway.fleet.now_ms())
                    && needs_second_copy(elapsed_ms(started_at)) =>
            {
                target.complete_copy();
                *self = Self::Copying {
                    started_at,
                    copy: source.copy_to(target.endpoint.pool.address(), false),
                    source,
                    first_handle: Some(handle),
                    target,
                };
                return MigrationStep::Unchanged;
            }
            (CopyOutcome::Copied { handle }, _) | (_, Some(handle)) => {
                CopyOutcome::Copied { handle }
            }
            (outcome, None) => outcome,
        };
        match outcome {
            CopyOutcome::Copied { handle } => {
                target.complete_copy();
                return MigrationStep::CopyComplete(source.into_complete_copy(target, handle));
            }
            CopyOutcome::NoSuchRun => {}
            CopyOutcome::NoRoom { .. } => {
                source.failed_target_ids.push(target.endpoint.id.clone());
                *self = Self::schedule_retry(source.failed_target_ids);
            }
            CopyOutcome::Busy | CopyOutcome::Failed | CopyOutcome::Unanswered => {
                *self = Self::schedule_retry(source.failed_target_ids);
            }
        }
        MigrationStep::Unchanged
    }

    fn schedule_retry(failed_target_ids: Vec<String>) -> Self {
        let at = Instant::now() + Duration::from_millis(RETRY_PAUSE_MS);
        Self::RetryScheduled {
            at,
            failed_target_ids,
        }
    }
}

impl CompleteCopy {
    pub(super) fn into_parts(self) -> (Slot, UsedCopy) {
        (self.slot, self.copy)
    }

    /// The same copy, of a generation that its source has stopped.
    pub(super) fn of_stopped(mut self) -> Self {
        self.copy.is_of_stopped = true;
        self
    }
}

impl UsedCopy {
    /// Whether a slot is at the endpoint that was copied from.
    pub(super) fn is_at_source(&self, slot: &Slot) -> bool {
        self.source.endpoint.id == slot.endpoint.id
    }

    /// Whether the generation can return to its source, after the endpoint of `failed_slot` has not
    /// continued it.
    pub(super) fn can_return(&self, failed_slot: &Slot) -> bool {
        self.is_of_stopped && self.source.takes_returns() && !self.is_at_source(failed_slot)
    }

    /// The memory that the source keeps of a stopped generation, with a slot there.
    pub(super) fn at_source(self, slot: Slot) -> CompleteCopy {
        CompleteCopy { copy: self, slot }
    }

    /// Frees the copy at the source and the target.
    pub(super) fn free(&self) {
        self.source.free_copy(&self.cache_copy.handle);
    }
}

impl MigrationSource {
    pub(super) fn new(
        gateway: &Arc<GatewayState>,
        request: &RoutedRequest,
        endpoint: &Arc<Endpoint>,
    ) -> Self {
        Self {
            endpoint: Arc::clone(endpoint),
            failed_target_ids: Vec::new(),
            gateway: Arc::clone(gateway),
            request_id: request.id().to_owned(),
        }
    }

    /// Whether a generation that the source has stopped may continue there.
    pub(super) fn takes_returns(&self) -> bool {
        self.endpoint.takes_returns()
    }

    /// Starts a copy; if `is_last`, the source stops the generation first.
    pub(super) fn copy_to(&self, target: SocketAddr, is_last: bool) -> CopyTask {
        let gateway = Arc::clone(&self.gateway);
        let request = gateway
            .dialect
            .copy_request(&self.request_id, target, is_last);
        let endpoint = Arc::clone(&self.endpoint);
        Box::pin(async move {
            let copied = async {
                // The generation stops sooner if no connection has to be opened.
                let (response, _) = gateway.send(&endpoint, request, is_last).await.ok()?;
                let status = response.parts.status;
                let collected = collect_body(response.body, COPY_RESPONSE_BYTES_MAX).await;
                let body = collected.ok()?;
                Some(gateway.dialect.parse_copy_response(status, &body))
            };
            let limit_ms = if is_last {
                SUSPENSION_TIMEOUT_MS
            } else {
                COPY_TIMEOUT_MS
            };
            let limit = Duration::from_millis(limit_ms);
            let outcome = timeout(limit, copied).await.ok().flatten();
            outcome.unwrap_or(CopyOutcome::Unanswered)
        })
    }

    pub(super) fn into_complete_copy(self, target: Slot, handle: String) -> Box<CompleteCopy> {
        let source = self.endpoint.pool.address();
        let copy = UsedCopy {
            cache_copy: CacheCopy { handle, source },
            is_of_stopped: false,
            source: self,
        };
        Box::new(CompleteCopy { copy, slot: target })
    }

    /// Frees a copy at the source and the target.
    pub(super) fn free_copy(&self, handle: &str) {
        let request = self.gateway.dialect.free_copy_request(handle);
        let (gateway, endpoint) = (Arc::clone(&self.gateway), Arc::clone(&self.endpoint));
        tokio::spawn(async move {
            let limit = Duration::from_millis(FREE_TIMEOUT_MS);
            let error = match timeout(limit, gateway.send(&endpoint, request, false)).await {
                Ok(Ok(_)) => return,
                Ok(Err(error)) => error.to_string(),
                Err(elapsed) => elapsed.to_string(),
            };
            // The engines free the copy themselves after a while.
            debug!(gateway.log, "KV cache copy not freed"; "error" => error);
        });
    }

    fn record_outcome(&self, target: &Slot, outcome: &CopyOutcome) {
        let gateway = &self.gateway;
        gateway.metrics.record_migration_step(outcome.name());
        info!(gateway.log, "KV cache copy ended"; "request" => &self.request_id,
            "to" => &target.endpoint.id, "outcome" => ?outcome);
    }
}
