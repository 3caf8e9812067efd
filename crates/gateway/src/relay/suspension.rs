//! Stops a generation at its endpoint while another endpoint is awaited.
//!
//! An endpoint that is asked to continue a generation works on it before its first event arrives, and a
//! healthy endpoint may be silent for a second. Two endpoints must not work on one generation for long,
//! but closing the connection to the first one would lose the answer if the other one rejects it. So the
//! first one suspends the generation: it stops, keeps its memory, and copies it to a standby endpoint.
//! If the awaited endpoint rejects the generation or stays silent, it continues from that copy, or at the
//! endpoint that stopped it. If the first endpoint goes on, the awaited one is left instead.

use std::future::pending;
use std::net::SocketAddr;

use placement::Demand;
use slog::info;
use tokio::time::{Duration, Instant};

use super::continuation::Continuation;
use super::migration::{CopyTask, MigrationSource};
use super::{Relay, StreamEnd};
use crate::CopyOutcome;
use crate::attempt::OVERLAP_MS_MAX;
use crate::fleet::Slot;

/// Silence of the awaited endpoint after which a suspended generation continues at the standby
/// endpoint. A healthy endpoint is silent for less, and clients wait longer for an event.
pub(super) const AWAITED_SILENCE_MS_MAX: u64 = 1_800;

/// Time in which a generation stops after the request to stop was sent; events that come later show
/// that it goes on.
const STOP_MS_MAX: u64 = 100;

/// Generation that was asked to stop at its endpoint.
pub(super) enum Suspension {
    /// It had ended before; its last events are on their way.
    Ended,
    /// The endpoint has not answered.
    Requested {
        copy: CopyTask,
        /// Whether a stream without framing has ended meanwhile, completely or because it stopped.
        has_stream_ended: bool,
        requested_at: Instant,
        source: MigrationSource,
        standby: Option<Slot>,
    },
    /// It has stopped, and the endpoint keeps its memory.
    Stopped {
        handle: String,
        /// Whether the standby endpoint, or the awaited one if there is none, has a copy.
        is_copied: bool,
        source: MigrationSource,
        standby: Option<Slot>,
    },
    /// It may go on: the endpoint cannot stop it, or has not answered.
    Unknown,
}

impl Suspension {
    /// Asks the endpoint to stop the generation and to copy it to the standby endpoint, or to
    /// `awaited` if there is none.
    fn request(source: MigrationSource, standby: Option<Slot>, awaited: SocketAddr) -> Self {
        let standby_address = standby.as_ref().map(|slot| slot.endpoint.pool.address());
        Self::Requested {
            copy: source.copy_to(standby_address.unwrap_or(awaited), true),
            has_stream_ended: false,
            requested_at: Instant::now(),
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

    /// Whether the generation has stopped, or will stop unless the endpoint refuses.
    pub(super) fn is_in_effect(&self) -> bool {
        matches!(self, Self::Requested { .. } | Self::Stopped { .. })
    }

    /// Whether the generation has stopped and can continue elsewhere than at the awaited endpoint.
    pub(super) fn can_continue(&self) -> bool {
        match self {
            Self::Stopped {
                source, standby, ..
            } => standby.is_some() || source.takes_returns(),
            _ => false,
        }
    }

    /// Frees the memory that the endpoint keeps; that of a copy in progress once it is complete.
    pub(super) fn free(self) {
        match self {
            Self::Ended | Self::Unknown => {}
            Self::Requested { copy, source, .. } => {
                tokio::spawn(async move {
                    if let Some(handle) = copy.await.into_handle() {
                        source.free_copy(&handle);
                    }
                });
            }
            Self::Stopped { handle, source, .. } => source.free_copy(&handle),
        }
    }
}

impl Relay {
    /// Asks the stream's endpoint to stop, as the awaited one may work since its request was sent.
    pub(super) fn suspend(&mut self) {
        let Some(Continuation { attempt, copy, .. }) = &self.continuation else {
            return;
        };
        let (Some(awaited), is_copied) = (attempt.endpoint().cloned(), copy.is_some()) else {
            return;
        };
        let (gateway, request) = (&self.attempts.gateway, &self.attempts.request);
        if self.migration.is_copying() {
            self.leave_awaited("its KV cache is being copied");
            return;
        }
        // What is suspended must be able to continue.
        if !self.supports_migration() || !gateway.try_retry(&request.service) {
            if is_copied {
                self.leave_awaited("the budget for repeats is spent");
            } else {
                self.suspension = Some(Suspension::Unknown);
            }
            return;
        }
        let mut placement = self.migration_placement();
        placement.excluded_ids.push(awaited.id.clone());
        let standby = gateway.fleet.try_place(&placement);
        let endpoint = &self.stream.slot.endpoint;
        info!(gateway.log, "generation suspension requested"; "request" => request.id(),
            "endpoint" => &endpoint.id, "awaited" => &awaited.id,
            "standby" => standby.as_ref().map(|slot| slot.endpoint.id.clone()),
            "last_event" => self.reader.last_event_id());
        let source = MigrationSource::new(gateway, request, endpoint);
        let suspension = Suspension::request(source, standby, awaited.pool.address());
        self.suspension = Some(suspension);
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
        match outcome {
            CopyOutcome::Copied { handle } => {
                if let Some(slot) = &mut standby {
                    slot.complete_copy();
                }
                self.suspension = Some(Suspension::Stopped {
                    handle,
                    is_copied: true,
                    source,
                    standby,
                });
                self.continue_suspended_unless_awaited("no other endpoint continued the generation")
            }
            CopyOutcome::NoRoom {
                handle: Some(handle),
            } => {
                self.suspension = Some(Suspension::Stopped {
                    handle,
                    is_copied: false,
                    source,
                    standby: None,
                });
                self.continue_suspended_unless_awaited("no other endpoint continued the generation")
            }
            CopyOutcome::NoSuchRun if has_stream_ended => self.complete(),
            _ if self.is_broken_off => self.resume_unless_awaited("the endpoint broke off"),
            CopyOutcome::NoSuchRun => {
                self.suspension = Some(Suspension::Ended);
                None
            }
            CopyOutcome::Unanswered => {
                self.suspension = Some(Suspension::Unknown);
                None
            }
            CopyOutcome::Busy | CopyOutcome::Failed | CopyOutcome::NoRoom { handle: None } => {
                self.leave_awaited("the generation was not suspended at its endpoint");
                None
            }
        }
    }

    /// Applies an event of the stream's endpoint, which shows whether it works on.
    pub(super) fn apply_source_event(&mut self) {
        match &self.suspension {
            None => self.cancel_resumption("the endpoint sent the next event"),
            Some(Suspension::Ended | Suspension::Stopped { .. }) => {}
            Some(Suspension::Requested { requested_at, .. }) => {
                if requested_at.elapsed() > Duration::from_millis(STOP_MS_MAX) {
                    self.leave_awaited("the endpoint has not stopped the generation");
                }
            }
            Some(Suspension::Unknown) => {
                self.suspension = None;
                self.leave_awaited("the endpoint sent the next event");
            }
        }
    }

    /// Applies the end of a stream that has neither a length nor chunks, so that its end does not show
    /// whether it is complete.
    pub(super) fn apply_unframed_end(&mut self) -> Option<StreamEnd> {
        match &mut self.suspension {
            Some(Suspension::Ended) | None => return self.complete(),
            Some(Suspension::Requested {
                has_stream_ended, ..
            }) => *has_stream_ended = true,
            Some(Suspension::Stopped { .. } | Suspension::Unknown) => {}
        }
        self.apply_suspended_break("the stream of a suspended generation ended")
    }

    /// Applies the end of a stream that is not complete, after its endpoint was asked to stop.
    pub(super) fn apply_suspended_break(&mut self, reason: &str) -> Option<StreamEnd> {
        self.is_broken_off = true;
        match self.suspension {
            Some(Suspension::Requested { .. }) => None,
            Some(Suspension::Stopped { .. }) => self.continue_suspended_unless_awaited(reason),
            Some(Suspension::Ended | Suspension::Unknown) | None => {
                self.suspension = None;
                self.resume_unless_awaited(reason)
            }
        }
    }

    fn continue_suspended_unless_awaited(&mut self, reason: &str) -> Option<StreamEnd> {
        if self.continuation.is_some() {
            return None;
        }
        self.continue_suspended(None, reason)
    }

    fn resume_unless_awaited(&mut self, reason: &str) -> Option<StreamEnd> {
        if self.continuation.is_some() {
            return None;
        }
        self.resume(reason)
    }

    /// Continues a suspended generation, after the awaited endpoint has not continued it. `awaited`
    /// is a slot there, which is used if there is no standby endpoint.
    pub(super) fn continue_suspended(
        &mut self,
        awaited: Option<Slot>,
        reason: &str,
    ) -> Option<StreamEnd> {
        match self.suspension.take()? {
            Suspension::Requested {
                copy,
                has_stream_ended,
                requested_at,
                source,
                standby,
            } => {
                self.suspension = Some(Suspension::Requested {
                    copy,
                    has_stream_ended,
                    requested_at,
                    source,
                    standby: standby.or(awaited),
                });
                None
            }
            Suspension::Stopped {
                handle,
                is_copied,
                source,
                standby,
            } => {
                self.is_broken_off = true;
                self.reader.discard_partial();
                let slot = standby.or(awaited).filter(|_| is_copied);
                let slot = slot.unwrap_or_else(|| self.source_slot());
                let copy = source.into_complete_copy(slot, handle);
                self.continue_from_copy(copy.of_stopped(), reason.to_owned(), false);
                None
            }
            suspension @ (Suspension::Ended | Suspension::Unknown) if !self.is_broken_off => {
                if matches!(suspension, Suspension::Ended) {
                    self.suspension = Some(suspension);
                }
                self.stall_start_at = Instant::now();
                None
            }
            Suspension::Ended | Suspension::Unknown => self.resume(reason),
        }
    }

    /// Slot at the stream's endpoint for a generation that returns there.
    pub(super) fn source_slot(&self) -> Slot {
        let demand = Demand {
            kv_copy_tokens: 0,
            ..self.migration_placement().demand
        };
        let fleet = &self.attempts.gateway.fleet;
        fleet.occupy_again(&self.stream.slot.endpoint, &demand)
    }

    /// Leaves an awaited endpoint that is silent, for the copy of the suspended generation.
    pub(super) fn leave_silent_awaited(&mut self) -> Option<StreamEnd> {
        let reason = "the awaited endpoint was silent";
        let Continuation { attempt, copy, .. } = self.continuation.take()?;
        attempt.mark_overdue(self.attempts.gateway.fleet.now_ms());
        self.log_left(attempt.endpoint_id(), reason);
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
        self.stall_start_at = Instant::now();
        let is_copied = |pending: &mut Continuation| pending.copy.is_some();
        let Some(Continuation { attempt, copy, .. }) = self.continuation.take_if(is_copied) else {
            self.cancel_resumption(reason);
            return;
        };
        self.log_left(attempt.endpoint_id(), reason);
        if let (Some(copy), Some(awaited_id)) = (copy, attempt.endpoint_id()) {
            self.migration.discard_copy_and_retry(copy, awaited_id);
        }
    }

    fn log_left(&self, awaited_id: Option<&str>, reason: &str) {
        info!(self.attempts.gateway.log, "awaited endpoint left";
            "request" => self.attempts.request.id(), "endpoint" => awaited_id,
            "reason" => reason);
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
