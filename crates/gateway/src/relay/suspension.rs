//! Stops a generation at its endpoint while another endpoint is awaited.
//!
//! An endpoint that is asked to continue a generation works on it before its first event arrives, and a
//! healthy endpoint may be silent for a second. Two endpoints must not work on one generation for long,
//! but closing the connection to the first one would lose the answer if the other one rejects it. So the
//! first one suspends the generation: it stops, keeps its memory, and copies it to a standby endpoint.
//! If the awaited endpoint rejects the generation or stays silent, it continues from that copy. If the
//! first endpoint does not suspend it, the awaited one is left instead.

use std::future::pending;
use std::net::SocketAddr;

use slog::info;
use tokio::time::{Duration, Instant};

use super::continuation::Continuation;
use super::migration::{CopyTask, Migration, MigrationSource};
use super::{Relay, StreamEnd};
use crate::CopyOutcome;
use crate::attempt::OVERLAP_MS_MAX;
use crate::fleet::Slot;

/// Silence of the awaited endpoint after which a suspended generation continues at the standby
/// endpoint. A healthy endpoint is silent for less, and clients wait longer for an event.
pub(super) const AWAITED_SILENCE_MS_MAX: u64 = 1_800;

/// Generation that was asked to stop at its endpoint.
pub(super) enum Suspension {
    /// It had ended before; its last events are on their way.
    Ended,
    /// The endpoint has not answered.
    Requested {
        copy: CopyTask,
        /// Whether a stream without framing has ended meanwhile, completely or because it stopped.
        has_stream_ended: bool,
        source: MigrationSource,
        standby: Option<Slot>,
    },
    /// It has stopped.
    Stopped {
        /// Handle of the copy; `None` if the standby endpoint had no memory for it.
        handle: Option<String>,
        source: MigrationSource,
        standby: Option<Slot>,
    },
}

impl Suspension {
    /// Asks the endpoint to stop the generation and to copy it to the standby endpoint, or to
    /// `awaited` if there is none.
    fn request(source: MigrationSource, standby: Option<Slot>, awaited: SocketAddr) -> Self {
        let standby_address = standby.as_ref().map(|slot| slot.endpoint.pool.address());
        Self::Requested {
            copy: source.copy_to(standby_address.unwrap_or(awaited), true),
            has_stream_ended: false,
            source,
            standby,
        }
    }

    /// Waits for the answer to a pending request. The future may be dropped and requested again.
    pub(super) async fn outcome(suspension: &mut Option<Self>) -> CopyOutcome {
        match suspension {
            Some(Self::Requested { copy, .. }) => copy.await,
            _ => pending().await,
        }
    }

    /// Whether the generation can continue at a standby endpoint.
    pub(super) fn has_standby_copy(&self) -> bool {
        matches!(
            self,
            Self::Stopped {
                handle: Some(_),
                standby: Some(_),
                ..
            }
        )
    }

    /// Frees the memory that the endpoint keeps; that of a copy in progress once it is complete.
    pub(super) fn free(self) {
        match self {
            Self::Ended | Self::Stopped { handle: None, .. } => {}
            Self::Requested { copy, source, .. } => {
                tokio::spawn(async move {
                    if let CopyOutcome::Copied { handle } = copy.await {
                        source.free_copy(&handle);
                    }
                });
            }
            Self::Stopped {
                handle: Some(handle),
                source,
                ..
            } => source.free_copy(&handle),
        }
    }
}

impl Relay {
    /// Asks the stream's endpoint to stop, as the awaited one may work since its request was sent.
    pub(super) fn suspend(&mut self) {
        let attempt = self.continuation.as_ref().map(|pending| &pending.attempt);
        let Some(awaited) = attempt.and_then(|attempt| attempt.endpoint()).cloned() else {
            return;
        };
        if !self.supports_migration() {
            self.leave_awaited("the generation cannot be suspended at its endpoint");
            return;
        }
        if !self
            .attempts
            .gateway
            .try_retry(&self.attempts.request.service)
        {
            // What is suspended must be able to continue.
            self.leave_awaited("the budget for repeats is spent");
            return;
        }
        let mut placement = self.migration_placement();
        placement.excluded_ids.push(awaited.id.clone());
        let (gateway, request) = (&self.attempts.gateway, &self.attempts.request);
        let standby = gateway.fleet.try_place(&placement);
        let endpoint = &self.stream.slot.endpoint;
        info!(gateway.log, "generation suspension requested"; "request" => request.id(),
            "endpoint" => &endpoint.id, "awaited" => &awaited.id,
            "standby" => standby.as_ref().map(|slot| slot.endpoint.id.clone()),
            "last_event" => self.reader.last_event_id());
        let source = MigrationSource::new(gateway, request, endpoint);
        let suspension = Suspension::request(source, standby, awaited.pool.address());
        self.suspension = Some(suspension);
        std::mem::replace(&mut self.migration, Migration::Disabled).free_copy();
    }

    /// Applies the endpoint's answer to the request to stop.
    pub(super) fn apply_suspension_outcome(&mut self, outcome: CopyOutcome) -> Option<StreamEnd> {
        info!(self.attempts.gateway.log, "generation suspension answered";
            "request" => self.attempts.request.id(),
            "endpoint" => &self.stream.slot.endpoint.id, "outcome" => ?outcome);
        let Some(Suspension::Requested {
            has_stream_ended,
            source,
            mut standby,
            ..
        }) = self.suspension.take()
        else {
            return None;
        };
        let handle = match outcome {
            CopyOutcome::Copied { handle } => Some(handle),
            CopyOutcome::NoRoom => None,
            CopyOutcome::NoSuchRun if has_stream_ended => return self.complete(),
            CopyOutcome::NoSuchRun if !self.is_broken_off => {
                self.suspension = Some(Suspension::Ended);
                return None;
            }
            CopyOutcome::Busy | CopyOutcome::Failed if !self.is_broken_off => {
                self.leave_awaited("the generation was not suspended at its endpoint");
                return None;
            }
            CopyOutcome::Busy | CopyOutcome::Failed | CopyOutcome::NoSuchRun => {
                let reason = "the endpoint broke off and was not suspended";
                if self.continuation.is_some() {
                    return None;
                }
                return self.resume(reason);
            }
        };
        if let Some(slot) = &mut standby {
            slot.complete_copy();
        }
        self.suspension = Some(Suspension::Stopped {
            handle,
            source,
            standby,
        });
        self.continue_suspended_unless_awaited("no other endpoint continued the generation")
    }

    /// Applies the end of the stream of a generation that was asked to stop.
    pub(super) fn apply_suspended_end(&mut self) -> Option<StreamEnd> {
        match &mut self.suspension {
            Some(Suspension::Requested {
                has_stream_ended, ..
            }) => *has_stream_ended = true,
            Some(Suspension::Stopped { .. }) => {}
            Some(Suspension::Ended) | None => return self.complete(),
        }
        self.is_broken_off = true;
        None
    }

    /// Continues a suspended generation whose stream was closed, unless another endpoint is awaited.
    pub(super) fn continue_suspended_unless_awaited(&mut self, reason: &str) -> Option<StreamEnd> {
        if self.continuation.is_some() {
            return None;
        }
        self.continue_suspended(None, reason)
    }

    /// Continues a suspended generation from its copy, after the awaited endpoint has not continued
    /// it. `slot` is at that endpoint, which may have been full for a moment; it is used if there is no
    /// standby endpoint.
    pub(super) fn continue_suspended(
        &mut self,
        slot: Option<Slot>,
        reason: &str,
    ) -> Option<StreamEnd> {
        let is_stopped =
            |suspension: &mut Suspension| matches!(suspension, Suspension::Stopped { .. });
        let Some(Suspension::Stopped {
            handle,
            source,
            standby,
        }) = self.suspension.take_if(is_stopped)
        else {
            // The answer of the stream's endpoint, or the stream's end, is awaited.
            return None;
        };
        self.is_broken_off = true;
        self.reader.discard_partial();
        let (Some(handle), Some(slot)) = (handle, standby.or(slot)) else {
            return self.resume(reason);
        };
        let copy = source.into_complete_copy(slot, handle);
        self.continue_from_copy(*copy, reason.to_owned(), false);
        None
    }

    /// Leaves an awaited endpoint that is silent, for the standby endpoint's copy.
    pub(super) fn continue_at_standby(&mut self) -> Option<StreamEnd> {
        let reason = "the awaited endpoint was silent";
        let Continuation { attempt, copy, .. } = self.continuation.take()?;
        attempt.mark_overdue(self.attempts.gateway.fleet.now_ms());
        info!(self.attempts.gateway.log, "awaited endpoint left";
            "request" => self.attempts.request.id(), "endpoint" => attempt.endpoint_id(),
            "reason" => reason);
        self.attempts.possible_runs += 1;
        let awaited_id = attempt.endpoint_id().map(str::to_owned);
        self.attempts.excluded_ids.extend(awaited_id);
        if let Some(copy) = copy {
            copy.free();
        }
        self.continue_suspended(None, reason)
    }

    /// Leaves an awaited endpoint, so that the stream's endpoint works alone.
    fn leave_awaited(&mut self, reason: &str) {
        let is_copied = |pending: &mut Continuation| pending.copy.is_some();
        let Some(Continuation { attempt, copy, .. }) = self.continuation.take_if(is_copied) else {
            self.cancel_resumption(reason);
            return;
        };
        info!(self.attempts.gateway.log, "awaited endpoint left";
            "request" => self.attempts.request.id(), "endpoint" => attempt.endpoint_id(),
            "reason" => reason);
        if let (Some(copy), Some(awaited_id)) = (copy, attempt.endpoint_id()) {
            self.migration.discard_copy_and_retry(copy, awaited_id);
        }
        self.stall_start_at = Instant::now();
    }
}

/// Time after the request to an awaited endpoint at which a relay acts, if it has sent no event.
#[derive(Debug, Clone, Copy)]
pub(super) enum AwaitedLimit {
    /// The stream's endpoint is suspended.
    Overlap,
    /// The generation continues at the standby endpoint.
    Silence,
}

impl AwaitedLimit {
    pub(super) fn time(self) -> Duration {
        Duration::from_millis(match self {
            Self::Overlap => OVERLAP_MS_MAX,
            Self::Silence => AWAITED_SILENCE_MS_MAX,
        })
    }
}
