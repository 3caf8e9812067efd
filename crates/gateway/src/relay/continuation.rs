//! Continues a stream at another endpoint, while the stream's own endpoint may go on.

use std::future::pending;

use slog::info;
use tokio::time::{Duration, Instant};

use super::migration::{CompleteCopy, Migration, UsedCopy};
use super::suspension::AwaitedLimit;
use super::{Relay, RelayedStream, STALL_MS_MIN, StreamEnd};
use crate::attempt::{
    AcceptedBody, AcceptedResponse, AttemptEnd, AttemptError, AttemptOutcome, AttemptSender,
    PendingAttempt, ResumePoint,
};
use crate::clock::elapsed_ms;
use crate::fleet::{PlacementRequest, Slot};
use crate::part_evidence::StreamRun;
use crate::response::is_delimited;

/// Time for which a resumed stream waits for capacity.
const RESUME_WAIT_MS: u64 = 300;

/// Attempt to continue a stream elsewhere, if one is pending.
pub(super) struct Continuation {
    pub(super) attempt: PendingAttempt,
    /// KV cache copy that it continues from; `None` if the stream is requested again.
    pub(super) copy: Option<UsedCopy>,
    /// Reason for the log.
    pub(super) reason: String,
}

impl Continuation {
    /// Waits for the end of a pending attempt, or for a limit of the time without an event. The future
    /// may be dropped and requested again.
    pub(super) async fn next_step(
        pending_continuation: &mut Option<Self>,
        limit: Option<AwaitedLimit>,
    ) -> ContinuationStep {
        let Some(continuation) = pending_continuation else {
            return pending().await;
        };
        let limit_time = limit.map_or(Duration::ZERO, AwaitedLimit::time);
        let sent_for_limit = continuation.attempt.sent_for(limit_time);
        tokio::select! {
            biased;
            end = continuation.attempt.end() => ContinuationStep::Ended(end),
            () = sent_for_limit, if limit.is_some() => ContinuationStep::LimitReached,
        }
    }
}

/// Change of a pending continuation that its relay reacts to.
pub(super) enum ContinuationStep {
    Ended(AttemptEnd),
    LimitReached,
}

impl Relay {
    pub(super) fn may_resume(&self) -> bool {
        self.is_resumable()
            && self.attempts.possible_runs < self.attempts.request.route.attempts_max
    }

    /// Closes the connection to the endpoint and continues elsewhere, after the endpoint interrupted
    /// the stream.
    pub(super) fn recover(&mut self, reason: &str) -> Option<StreamEnd> {
        self.reader.discard_partial();
        self.is_broken_off = true;
        self.stream.connection.close();
        if self.suspension.is_some() {
            return self.apply_suspended_break(reason);
        }
        if let Some(copy) = self.migration.take_first_copy() {
            self.cancel_resumption(reason);
            self.continue_from_copy(*copy, reason.to_owned(), true);
            return None;
        }
        let pending = self.continuation.as_ref();
        if pending.is_some_and(|continuation| continuation.copy.is_some()) {
            return None;
        }
        let now_ms = self.attempts.gateway.fleet.now_ms();
        let endpoint = &self.stream.slot.endpoint;
        endpoint.stats().health.record_failure(now_ms);
        if pending.is_some() {
            return None;
        }
        self.resume(reason)
    }

    /// Requests the stream from another endpoint, starting after its last event.
    pub(super) fn resume(&mut self, reason: &str) -> Option<StreamEnd> {
        if !self.may_resume() {
            return self.end_if_broken_off(reason.to_owned());
        }
        let request = &self.attempts.request;
        let mut excluded_ids = self.attempts.excluded_ids.clone();
        excluded_ids.push(self.stream.slot.endpoint.id.clone());
        let placement = PlacementRequest {
            demand: request.demand(),
            excluded_ids,
            priority: request.priority,
            service: request.service.clone(),
            software_version: Some(self.stream.slot.endpoint.software_version.clone()),
            source_data_centre: None,
            wait_ms_max: RESUME_WAIT_MS.min(request.remaining_ms()),
        };
        let sender = AttemptSender::new(&self.attempts.gateway, request);
        self.continuation = Some(Continuation {
            attempt: sender.place_and_send(placement, self.resume_point(), true),
            copy: None,
            reason: reason.to_owned(),
        });
        None
    }

    /// Drops a pending resumption. If it was sent, it may have run.
    pub(super) fn cancel_resumption(&mut self, reason: &str) {
        let is_resumption = |continuation: &mut Continuation| continuation.copy.is_none();
        let Some(resumption) = self.continuation.take_if(is_resumption) else {
            return;
        };
        let overdue_at = resumption.attempt.sent_at();
        let overdue_at = overdue_at.map(|sent_at| sent_at + Duration::from_millis(STALL_MS_MIN));
        if overdue_at.is_some_and(|overdue_at| overdue_at <= Instant::now()) {
            let now_ms = self.attempts.gateway.fleet.now_ms();
            resumption.attempt.mark_overdue(now_ms);
        }
        if let Some(endpoint_id) = resumption.attempt.endpoint_id() {
            info!(self.attempts.gateway.log, "stream not resumed";
                "request" => self.attempts.request.id(), "endpoint" => endpoint_id,
                "reason" => reason);
            self.attempts.possible_runs += 1;
            self.attempts.excluded_ids.push(endpoint_id.to_owned());
        }
    }

    /// Applies the end of the pending continuation.
    pub(super) fn apply_continuation(&mut self, end: AttemptEnd) -> Option<StreamEnd> {
        let Continuation {
            attempt,
            copy,
            reason,
        } = self.continuation.take()?;
        self.stall_start_at = Instant::now();
        let (error, slot) = match end.outcome {
            AttemptOutcome::Accepted(accepted, slot) => {
                let AcceptedResponse {
                    body,
                    connection,
                    head,
                    parts,
                } = *accepted;
                if let AcceptedBody::Stream(first, rest) = body {
                    let stream = RelayedStream {
                        body: rest,
                        connection,
                        head,
                        is_delimited: is_delimited(&parts),
                        run: StreamRun::default(),
                        slot,
                    };
                    let overlap_ms = attempt.sent_at().map_or(0, elapsed_ms);
                    self.switch_endpoint(stream, copy.is_some(), overlap_ms, &reason);
                    return self.forward(first);
                }
                (AttemptError::Answered(parts.status), slot)
            }
            AttemptOutcome::Failed(error, slot) => (error, slot),
            AttemptOutcome::NotPlaced(error) => {
                return self.end_if_broken_off(format!("{reason}, and {}", error.reason));
            }
        };
        match copy {
            Some(copy) => self.apply_copy_failure(&error, copy, slot),
            None => self.apply_resumption_failure(&error, slot),
        }
    }

    fn apply_resumption_failure(&mut self, error: &AttemptError, slot: Slot) -> Option<StreamEnd> {
        let is_not_run = matches!(
            error,
            AttemptError::Rejected(_) | AttemptError::Unreachable(_)
        );
        if !is_not_run {
            self.attempts.possible_runs += 1;
            self.attempts.excluded_ids.push(slot.endpoint.id.clone());
        }
        let reason = format!("the stream did not go on: {error}");
        if self.suspension.is_some() {
            return self.continue_suspended(Some(slot), &reason);
        }
        self.end_if_broken_off(reason)
    }

    /// Keeps the generation at its source if the target certainly does not work on it. It cannot
    /// continue beside work that the target may have started.
    fn apply_copy_failure(
        &mut self,
        error: &AttemptError,
        copy: UsedCopy,
        slot: Slot,
    ) -> Option<StreamEnd> {
        let may_work = matches!(error, AttemptError::Failed(_) | AttemptError::TimedOut);
        let may_continue = !may_work || self.is_resumable();
        if self.suspension.is_some() && may_continue {
            self.migration
                .discard_copy_and_retry(copy, &slot.endpoint.id);
            return self.continue_suspended(Some(slot), &format!("at the copy: {error}"));
        }
        if may_continue && copy.can_return(&slot) {
            let copy = copy.at_source(self.source_slot());
            self.continue_from_copy(copy, format!("at the copy: {error}"), false);
            return None;
        }
        if self.is_broken_off {
            copy.free();
            return self.resume(&format!("the endpoint broke off, and at the copy: {error}"));
        }
        match error {
            AttemptError::Answered(_)
            | AttemptError::Rejected(_)
            | AttemptError::Unreachable(_) => {
                info!(self.attempts.gateway.log, "KV cache copy not used";
                    "request" => self.attempts.request.id(),
                    "endpoint" => &slot.endpoint.id, "reason" => %error);
                self.migration
                    .discard_copy_and_retry(copy, &slot.endpoint.id);
                None
            }
            AttemptError::Failed(_) | AttemptError::TimedOut => Some(StreamEnd::Broken(format!(
                "the stream did not go on: {error}"
            ))),
        }
    }

    /// Ends a stream that its endpoint broke off; any other one stays there.
    fn end_if_broken_off(&mut self, reason: String) -> Option<StreamEnd> {
        if self.is_broken_off {
            return Some(StreamEnd::Broken(reason));
        }
        self.stall_start_at = Instant::now();
        info!(self.attempts.gateway.log, "stream not resumed";
            "request" => self.attempts.request.id(), "endpoint" => &self.stream.slot.endpoint.id,
            "last_event" => self.reader.last_event_id(), "reason" => reason);
        None
    }

    /// Requests the generation at the target of its copy. It continues at the source until the
    /// target answers or is late, and ends there when the connection closes.
    pub(super) fn continue_from_copy(
        &mut self,
        copy: CompleteCopy,
        reason: String,
        needs_budget: bool,
    ) {
        let (slot, copy) = copy.into_parts();
        self.held_from = self.last_event_at;
        info!(self.attempts.gateway.log, "migration target asked";
            "request" => self.attempts.request.id(), "from" => &self.stream.slot.endpoint.id,
            "to" => &slot.endpoint.id, "last_event" => self.reader.last_event_id(),
            "reason" => &reason);
        let sender = AttemptSender::new(&self.attempts.gateway, &self.attempts.request);
        let resume_point = ResumePoint {
            copy: Some(copy.cache_copy.clone()),
            is_return: copy.is_at_source(&slot),
            ..self.resume_point()
        };
        self.continuation = Some(Continuation {
            attempt: sender.retry_at(slot, resume_point, needs_budget),
            copy: Some(copy),
            reason,
        });
    }

    /// Position after the last event.
    pub(super) fn resume_point(&self) -> ResumePoint {
        ResumePoint {
            copy: None,
            is_return: false,
            last_event_id: self.reader.last_event_id(),
        }
    }

    /// Leaves the source for a target whose first event came `overlap_ms` after it was asked.
    fn switch_endpoint(
        &mut self,
        mut stream: RelayedStream,
        is_copied: bool,
        overlap_ms: u64,
        reason: &str,
    ) {
        let request = &self.attempts.request;
        let source_id = &self.stream.slot.endpoint.id;
        info!(self.attempts.gateway.log, "stream switched endpoint"; "request" => request.id(),
            "from" => source_id, "to" => &stream.slot.endpoint.id,
            "from_version" => &self.stream.slot.endpoint.software_version,
            "to_version" => &stream.slot.endpoint.software_version,
            "is_copied" => is_copied, "is_broken_off" => self.is_broken_off,
            "last_event" => self.reader.last_event_id(), "overlap_ms" => overlap_ms,
            "reason" => reason);
        if !self.is_broken_off {
            let metrics = &self.attempts.gateway.metrics;
            metrics.record_endpoint_switch(is_copied, overlap_ms);
        }
        if !is_copied {
            self.attempts.possible_runs += 1;
            self.attempts.excluded_ids.push(source_id.clone());
        }
        self.reader.discard_partial();
        self.reader.skip_forwarded_events();
        self.endpoint_switches += 1;
        self.is_broken_off = false;
        let migration = Migration::watch(&stream.slot.endpoint);
        std::mem::replace(&mut self.migration, migration).free_copy();
        if let Some(suspension) = self.suspension.take() {
            suspension.free();
        }
        self.stall_start_at = Instant::now();
        // What is resumed may be cached in part, so a change is not logged by this request.
        let _ = stream.slot.complete_prefill();
        self.stream = stream;
    }
}
