//! Forwards the events of a stream to its client, also when the endpoint changes.
//!
//! A stream can continue on another endpoint in three ways. A generation on a leaving endpoint is
//! migrated with its KV cache. If the endpoint is gone too early, the generation continues from a
//! complete KV cache copy, if any. A resumable stream is requested again after its last event.
//! Any other interrupted stream is aborted, so that the client does not take it for complete.
//!
//! A stream leaves its endpoint only once another one has sent an event. Until then its events are
//! forwarded, and if no other endpoint answers, it stays. Silence alone never ends a stream. But two
//! endpoints work on it only briefly: if the other one takes long, the first one suspends it.

mod continuation;
mod migration;
mod suspension;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response;
use placement::Demand;
use slog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::attempt::OVERLAP_MS_MAX;
use crate::attempts::{Attempts, client_parts, keep_connection};
use crate::clock::milliseconds;
use crate::connection::Connection;
use crate::fleet::{PlacementRequest, Slot};
use crate::outcome::Outcome;
use crate::part_evidence::StreamRun;
use crate::response::{IncompleteBody, ResponseBody, channel_body};
use crate::{CopyOutcome, EventReader, ResponseHead};
use continuation::{Continuation, ContinuationStep};
use migration::{Migration, MigrationStep};
use suspension::{AwaitedLimit, Suspension};

/// Chunks that are buffered for a slow client.
const BUFFERED_CHUNKS_MAX: usize = 16;

/// Event gap targets without an event after which a resumable stream is requested from another
/// endpoint; clients leave after eight.
const STALL_GAP_TARGETS: u64 = 4;

/// Shortest time without an event after which a stream is requested from another endpoint.
const STALL_MS_MIN: u64 = 700;

/// Percentage of the event gap target for which the source of a migration is not read while its
/// target is awaited; the rest is for the way of the source's events to the client.
const HELD_GAP_PERCENT: u64 = 75;

/// Divisor of the output so far that gives the least expected remaining output. Output lengths
/// spread widely, so a generation that exceeds its prediction continues for long.
const REMAINING_OUTPUT_DIVISOR: u64 = 3;

/// New prediction of an output that exceeds its prediction, in percent of the output so far.
const EXCEEDED_PREDICTION_PERCENT: u64 = 125;

/// Stream from one endpoint, behind its first event.
pub(crate) struct RelayedStream {
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) head: ResponseHead,
    /// Whether its end can be told from that of its connection.
    pub(crate) is_delimited: bool,
    pub(crate) run: StreamRun,
    pub(crate) slot: Slot,
}

/// Task that forwards one stream to its client.
pub(crate) struct Relay {
    attempts: Attempts,
    body_sender: mpsc::Sender<Result<Bytes, IncompleteBody>>,
    continuation: Option<Continuation>,
    endpoint_switches: u32,
    first_event_ms: Option<u64>,
    gap_ms_max: u64,
    /// Last event before the target of a migration was asked to continue.
    held_from: Instant,
    /// Whether the endpoint broke off the stream, so that only a continuation can complete it.
    is_broken_off: bool,
    /// Whether the stream has ended completely, and only has to be forwarded.
    is_complete: bool,
    last_event_at: Instant,
    migration: Migration,
    /// Predicted tokens in memory at the end of the generation.
    predicted_tokens: u64,
    reader: EventReader,
    stream: RelayedStream,
    /// Time from which a pause of the stream counts, if there was no later event.
    stall_start_at: Instant,
    /// State of the generation at the stream's endpoint, if that was asked to stop it.
    suspension: Option<Suspension>,
    /// Whole events that the client has not taken; the endpoint is not read meanwhile.
    unsent: VecDeque<Bytes>,
}

/// Event that a relay reacts to.
enum RelayEvent {
    BodyEnded,
    /// Data of the body; `None` after an error.
    BodyFrame(Option<Bytes>),
    ClientLeft,
    Continuation(ContinuationStep),
    /// The client has taken events.
    Forwarded,
    Migration(MigrationStep),
    /// The source is read again.
    SourceReleased,
    Stalled,
    /// This instance stops.
    StopsSoon,
    SuspensionAnswered(CopyOutcome),
    TimedOut,
    /// Trailers of the body, which are not forwarded.
    Trailers,
}

/// Reason why a stream ended.
#[derive(Debug)]
enum StreamEnd {
    Broken(String),
    ClientLeft,
    Complete,
    TimedOut,
}

impl Relay {
    /// Starts to forward a stream from its `first` bytes on, and returns the response for the
    /// client.
    pub(crate) fn spawn(
        attempts: &mut Attempts,
        stream: RelayedStream,
        parts: response::Parts,
        first: Bytes,
    ) -> Response<ResponseBody> {
        let (body_sender, body_receiver) = mpsc::channel(BUFFERED_CHUNKS_MAX);
        let parts = client_parts(parts);
        let request = Arc::clone(&attempts.request);
        let mut relay_attempts = Attempts::new(Arc::clone(&attempts.gateway), request);
        relay_attempts
            .excluded_ids
            .append(&mut attempts.excluded_ids);
        relay_attempts.possible_runs = attempts.possible_runs;
        relay_attempts.waited_ms = attempts.waited_ms;
        let predicted_tokens = relay_attempts.request.demand().predicted_tokens;
        let relay = Self {
            attempts: relay_attempts,
            body_sender,
            continuation: None,
            endpoint_switches: 0,
            first_event_ms: None,
            gap_ms_max: 0,
            held_from: Instant::now(),
            is_broken_off: false,
            is_complete: false,
            last_event_at: Instant::now(),
            migration: Migration::watch(&stream.slot.endpoint),
            predicted_tokens,
            reader: EventReader::default(),
            stream,
            stall_start_at: Instant::now(),
            suspension: None,
            unsent: VecDeque::new(),
        };
        tokio::spawn(relay.run(first));
        Response::from_parts(parts, channel_body(body_receiver))
    }

    async fn run(mut self, first: Bytes) {
        let mut end = self.forward(first);
        while end.is_none() {
            let event = self.next_event().await;
            end = self.react(event).await;
        }
        if let Some(end) = end {
            self.finish(end).await;
        }
    }

    async fn next_event(&mut self) -> RelayEvent {
        let stall_at = self.stall_at();
        let held_until = self.held_until();
        let is_held = held_until > Instant::now();
        let limit = self.awaited_limit();
        let is_unsuspended = self.suspension.is_none();
        let is_read = !self.is_broken_off && !self.is_complete && !is_held;
        let is_read = is_read && self.unsent.is_empty();
        tokio::select! {
            biased;
            () = self.body_sender.closed() => RelayEvent::ClientLeft,
            () = self.attempts.gateway.stops_soon() => RelayEvent::StopsSoon,
            () = sleep_until(self.attempts.request.deadline) => RelayEvent::TimedOut,
            step = Continuation::next_step(&mut self.continuation, limit) => {
                RelayEvent::Continuation(step)
            }
            outcome = Suspension::outcome(&mut self.suspension) => {
                RelayEvent::SuspensionAnswered(outcome)
            }
            () = sleep_until(held_until), if is_held => RelayEvent::SourceReleased,
            permit = self.body_sender.reserve(), if !self.unsent.is_empty() => match permit {
                Ok(permit) => {
                    if let Some(events) = self.unsent.pop_front() {
                        permit.send(Ok(events));
                    }
                    RelayEvent::Forwarded
                }
                Err(_) => RelayEvent::ClientLeft,
            },
            frame = self.stream.body.frame(), if is_read => match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => RelayEvent::BodyFrame(Some(bytes)),
                    Err(_) => RelayEvent::Trailers,
                },
                Some(Err(_)) => RelayEvent::BodyFrame(None),
                None => RelayEvent::BodyEnded,
            },
            step = self.migration.next_step(), if is_unsuspended => RelayEvent::Migration(step),
            () = sleep_until(stall_at) => RelayEvent::Stalled,
        }
    }

    /// Returns the end of the stream, or `None` while it continues.
    async fn react(&mut self, event: RelayEvent) -> Option<StreamEnd> {
        match event {
            RelayEvent::BodyEnded if self.reader.has_partial_event() => {
                self.recover_from_crash("the endpoint broke off within an event")
            }
            RelayEvent::BodyEnded if self.stream.is_delimited => self.complete(),
            RelayEvent::BodyEnded => self.apply_unframed_end(),
            RelayEvent::BodyFrame(Some(bytes)) => self.forward(bytes),
            RelayEvent::BodyFrame(None) => {
                self.recover_from_crash("the endpoint broke off without its end")
            }
            RelayEvent::ClientLeft => Some(StreamEnd::ClientLeft),
            RelayEvent::Continuation(ContinuationStep::Ended(end)) => self.apply_continuation(end),
            RelayEvent::Continuation(ContinuationStep::LimitReached) => self.limit_awaited(),
            RelayEvent::Forwarded => self.end_if_forwarded(),
            RelayEvent::Migration(step) => self.continue_migration(step).await,
            RelayEvent::SourceReleased | RelayEvent::Trailers => None,
            RelayEvent::Stalled => self.resume("no event came in time"),
            RelayEvent::SuspensionAnswered(outcome) => self.apply_suspension_outcome(outcome),
            RelayEvent::StopsSoon => Some(StreamEnd::Broken("this instance stops".to_owned())),
            RelayEvent::TimedOut => Some(StreamEnd::TimedOut),
        }
    }

    fn forward(&mut self, bytes: Bytes) -> Option<StreamEnd> {
        let previous_count = self.reader.event_count();
        let whole_events = self.reader.push_until_event(bytes);
        if whole_events.is_empty() {
            return self.check_event_length();
        }
        let new_events = self.reader.event_count() - previous_count;
        if self.stream.run.record_events(new_events) {
            self.attempts.gateway.report_sound(&self.attempts.request);
        }
        self.apply_source_event();
        let gap = self.last_event_at.elapsed();
        let gap_ms = milliseconds(gap);
        self.last_event_at = Instant::now();
        if self.first_event_ms.is_some() {
            let events = new_events.max(1);
            let interval_us = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX) / events;
            let now_ms = self.attempts.gateway.fleet.now_ms();
            self.stream
                .slot
                .endpoint
                .stats()
                .intervals
                .record(now_ms, interval_us);
            self.gap_ms_max = self.gap_ms_max.max(gap_ms);
        } else {
            let request = &self.attempts.request;
            self.first_event_ms = Some(request.elapsed_ms());
            let changed = self.stream.slot.complete_prefill();
            if let Some((percent, observations)) = changed {
                info!(self.attempts.gateway.log, "prefill slowness changed";
                    "service" => &self.stream.slot.endpoint.service, "percent" => percent,
                    "observations" => observations, "request" => request.id());
            }
            let endpoint = &self.stream.slot.endpoint;
            self.attempts.gateway.report_stream(request, endpoint);
        }
        self.update_prediction();
        self.unsent.push_back(whole_events);
        self.check_event_length()
    }

    /// Accuses the parts of the prompt, and continues elsewhere.
    fn recover_from_crash(&mut self, reason: &str) -> Option<StreamEnd> {
        let RelayedStream { run, slot, .. } = &self.stream;
        let Attempts {
            gateway, request, ..
        } = &self.attempts;
        // An endpoint that was asked to suspend the generation may end its stream.
        if self.suspension.is_none() {
            gateway.report_stream_crash(request, &slot.endpoint, run, reason);
        }
        self.recover(reason)
    }

    /// Leaves an endpoint that sends bytes without completing an event.
    fn check_event_length(&mut self) -> Option<StreamEnd> {
        if !self.reader.is_partial_too_long() {
            return None;
        }
        self.recover("an event is too long")
    }

    /// Leaves an awaited endpoint, and forwards what follows the last event.
    fn complete(&mut self) -> Option<StreamEnd> {
        if let Some(copy) = self.continuation.take().and_then(|pending| pending.copy) {
            copy.free();
        }
        std::mem::replace(&mut self.migration, Migration::Disabled).free_copy();
        self.is_complete = true;
        let rest = self.reader.take_held();
        if !rest.is_empty() {
            self.unsent.push_back(rest);
        }
        self.end_if_forwarded()
    }

    /// Ends a complete stream once the client has taken all of it.
    fn end_if_forwarded(&self) -> Option<StreamEnd> {
        (self.is_complete && self.unsent.is_empty()).then_some(StreamEnd::Complete)
    }

    fn update_prediction(&mut self) {
        let Some(generation) = &self.attempts.request.head.generation else {
            return;
        };
        let tokens = generation.prompt_tokens + self.output_tokens();
        if tokens > self.predicted_tokens {
            let output_tokens = self.output_tokens() * EXCEEDED_PREDICTION_PERCENT / 100;
            let output_tokens =
                output_tokens.min(generation.output_tokens_max.max(self.output_tokens()));
            self.predicted_tokens = generation.prompt_tokens + output_tokens;
            self.stream.slot.set_predicted_tokens(self.predicted_tokens);
        }
    }

    fn output_tokens(&self) -> u64 {
        let request = &self.attempts.request;
        let service = request.catalog.service(&request.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event);
        self.reader.event_count() * tokens_per_event
    }

    fn is_resumable(&self) -> bool {
        self.attempts.request.route.retry_class.is_idempotent()
    }

    /// Time until which the source is not read while a target continues from a copy.
    ///
    /// The target sends again what the source sends meanwhile, often more slowly. The client sees the
    /// shortest pause if it gets those events from the target alone, unless that is silent.
    fn held_until(&self) -> Instant {
        let is_copied = |continuation: &Continuation| continuation.copy.is_some();
        if !self.continuation.as_ref().is_some_and(is_copied) {
            return self.last_event_at;
        }
        let gap_target_ms = self.attempts.request.route.event_gap_target_ms;
        let held_ms = (gap_target_ms * HELD_GAP_PERCENT / 100).min(OVERLAP_MS_MAX);
        let held = Duration::from_millis(held_ms);
        self.held_from + held
    }

    /// Limit of the time for which an endpoint is awaited without an event.
    fn awaited_limit(&self) -> Option<AwaitedLimit> {
        match &self.suspension {
            None => (!self.is_broken_off).then_some(AwaitedLimit::Overlap),
            Some(suspension) => suspension.can_continue().then_some(AwaitedLimit::Silence),
        }
    }

    fn limit_awaited(&mut self) -> Option<StreamEnd> {
        match self.awaited_limit()? {
            AwaitedLimit::Overlap => {
                self.suspend();
                None
            }
            AwaitedLimit::Silence => self.leave_silent_awaited(),
        }
    }

    fn supports_migration(&self) -> bool {
        let request = &self.attempts.request;
        let service = request.catalog.service(&request.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.is_some_and(|engine| engine.supports_migration)
    }

    fn stall_at(&self) -> Instant {
        let request = &self.attempts.request;
        let suspension = self.suspension.as_ref();
        let is_suspended = suspension.is_some_and(Suspension::is_in_effect);
        let is_awaiting = self.continuation.is_some() || is_suspended;
        if self.is_broken_off || self.is_complete || is_awaiting || !self.may_resume() {
            return request.deadline;
        }
        let stall_ms = request.route.event_gap_target_ms * STALL_GAP_TARGETS;
        let stall_ms = stall_ms.max(STALL_MS_MIN);
        self.last_event_at.max(self.stall_start_at) + Duration::from_millis(stall_ms)
    }

    async fn continue_migration(&mut self, step: MigrationStep) -> Option<StreamEnd> {
        match step {
            MigrationStep::CopyComplete(copy) => {
                self.cancel_resumption("its KV cache copy is complete");
                self.continue_from_copy(*copy, "the endpoint leaves".to_owned(), true);
            }
            MigrationStep::StartDue => self.start_migration().await,
            MigrationStep::Unchanged => {}
        }
        None
    }

    async fn start_migration(&mut self) {
        let request = Arc::clone(&self.attempts.request);
        let gateway = Arc::clone(&self.attempts.gateway);
        if !self.supports_migration() || self.is_resumable() && self.reader.event_count() == 0 {
            self.migration = Migration::Disabled;
            return;
        }
        let output_tokens = self.output_tokens();
        let generation = request.head.generation.as_ref();
        let prompt_tokens = generation.map_or(0, |generation| generation.prompt_tokens);
        let predicted_output_tokens = self.predicted_tokens.saturating_sub(prompt_tokens);
        let remaining_tokens = predicted_output_tokens
            .saturating_sub(output_tokens)
            .max(output_tokens / REMAINING_OUTPUT_DIVISOR);
        let placement = self.migration_placement();
        self.migration
            .start(
                &gateway,
                &request,
                &self.stream.slot,
                remaining_tokens,
                &placement,
            )
            .await;
    }

    /// Placement of the generation at a target that its KV cache can be copied to.
    fn migration_placement(&self) -> PlacementRequest {
        let request = &self.attempts.request;
        let generation = request.head.generation.as_ref();
        let prompt_tokens = generation.map_or(0, |generation| generation.prompt_tokens);
        let endpoint = &self.stream.slot.endpoint;
        let mut excluded_ids = self.migration.failed_target_ids().to_vec();
        excluded_ids.push(endpoint.id.clone());
        PlacementRequest {
            demand: Demand {
                kv_copy_tokens: prompt_tokens + self.output_tokens(),
                is_migration: true,
                prefill_tokens: 0,
                prefill_ms_max: u64::MAX,
                predicted_tokens: self.predicted_tokens,
            },
            excluded_ids,
            priority: request.priority,
            service: request.service.clone(),
            software_version: Some(endpoint.software_version.clone()),
            source_data_centre: Some(endpoint.data_centre.clone()),
            wait_ms_max: 0,
        }
    }

    async fn finish(self, end: StreamEnd) {
        let Self {
            attempts,
            body_sender,
            continuation,
            endpoint_switches,
            first_event_ms,
            gap_ms_max,
            migration,
            reader,
            stream,
            suspension,
            ..
        } = self;
        // The endpoints stop now, although a slow client may take long to see the end.
        migration.free_copy();
        if let Some(suspension) = suspension {
            suspension.free();
        }
        if let Some(copy) = continuation.and_then(|continuation| continuation.copy) {
            copy.free();
        }
        let RelayedStream {
            connection,
            head,
            is_delimited,
            slot,
            ..
        } = stream;
        let endpoint = Arc::clone(&slot.endpoint);
        let (gateway, request) = (&attempts.gateway, &attempts.request);
        let now_ms = gateway.fleet.now_ms();
        let outcome = match &end {
            StreamEnd::Broken(_) => Outcome::Failed,
            StreamEnd::ClientLeft => Outcome::ClientLeft,
            StreamEnd::Complete => Outcome::Answered,
            StreamEnd::TimedOut => Outcome::TimedOut,
        };
        match &end {
            StreamEnd::Complete => {
                endpoint.stats().health.record_success(now_ms);
                if is_delimited {
                    gateway.report_sound(request);
                } else {
                    gateway.report_unframed_end(request, &endpoint);
                }
                keep_connection(connection, &head, &slot);
            }
            StreamEnd::Broken(_) | StreamEnd::ClientLeft | StreamEnd::TimedOut => {
                drop(connection);
            }
        }
        drop(slot);
        let reason = match &end {
            StreamEnd::Broken(reason) => Some(reason.as_str()),
            StreamEnd::ClientLeft => Some("the client left within the answer"),
            StreamEnd::Complete => None,
            StreamEnd::TimedOut => Some("the answer did not end in time"),
        };
        if let StreamEnd::Broken(reason) = &end {
            warn!(gateway.log, "stream broken off"; "request" => request.id(),
                "reason" => reason);
        }
        gateway.record_end(Some(request), outcome, request.elapsed_ms());
        if let Some(first_event_ms) = first_event_ms {
            let customer = request.customer.as_deref().unwrap_or_default();
            let kind = request.route.retry_class.name();
            gateway
                .metrics
                .record_stream(customer, kind, first_event_ms, gap_ms_max);
        }
        info!(gateway.log, "request ended"; "request" => request.id(), "outcome" => ?outcome,
            "status" => 200, "reason" => reason, "waited_ms" => attempts.waited_ms,
            "route" => &request.route.name, "customer" => request.customer.as_deref(),
            "endpoint" => &endpoint.id,
            "software_version" => &endpoint.software_version, "events" => reader.event_count(),
            "moves" => endpoint_switches, "first_ms" => first_event_ms, "gap_max_ms" => gap_ms_max,
            "document_version" => request.catalog.version(),
            "duration_ms" => request.elapsed_ms());
        if matches!(end, StreamEnd::Broken(_) | StreamEnd::TimedOut) {
            // Fails if the client has left too.
            let _ = body_sender.send(Err(IncompleteBody)).await;
        }
    }
}
