//! Passes the events of a stream on to its client, whatever happens to the endpoint behind it.
//!
//! The stream goes on elsewhere in three ways. A run on an endpoint that leaves is moved with its
//! memory before the endpoint is gone. A run whose endpoint is gone goes on from a copy, if one was
//! made. A stream that may be resumed is asked for again after its last event. Whatever is left is
//! broken off, so that it never looks complete.

mod motion;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use placement::Demand;
use slog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::attempts::{Accepted, Attempts, Miss, Resumption, STREAM_TARGETS, client_head, release};
use crate::clock::milliseconds;
use crate::connection::Connection;
use crate::fleet::{Slot, Want};
use crate::outcome::Outcome;
use crate::reply::{BrokenOff, ReplyBody, relayed_body};
use crate::{CacheCopy, EventReader, ResponseHead};
use motion::{Arrival, Motion, Moved};

/// Pieces that wait for a slow client.
const PIECES_WAITING_MAX: usize = 16;

/// Time without an event after which a stream that may be resumed is asked for elsewhere, as a
/// multiple of the pause that is undisturbed; clients leave after eight.
const STALL_PAUSES: u64 = 4;

/// Shortest such time.
const STALL_MS_MIN: u64 = 700;

/// Longest time for the head of a stream that goes on elsewhere; clients leave after two seconds.
const RESUME_TIMEOUT_MS: u64 = 1_200;

/// Time for which a resumed stream waits for room.
const RESUME_WAIT_MS: u64 = 300;

/// Part of what a run has made that it is expected to make still, at least: lengths spread widely,
/// so that a run which has outlived its prediction goes on for long.
const TAIL_SHARE: u64 = 3;

/// Margin by which an output that is longer than predicted is predicted anew, in percent.
const GROWTH_PERCENT: u64 = 125;

/// One stream on its way to a client.
pub(crate) struct Relay {
    attempts: Attempts,
    body: Incoming,
    connection: Connection,
    first_ms: Option<u64>,
    gap_max_ms: u64,
    last_event_at: Instant,
    motion: Motion,
    moves: u32,
    pieces: mpsc::Sender<Result<Bytes, BrokenOff>>,
    predicted_tokens: u64,
    reader: EventReader,
    resumed_at: Instant,
    said: ResponseHead,
    slot: Slot,
}

/// What a stream waits for.
enum Step {
    ClientLeft,
    Frame(Option<Bytes>),
    Ended,
    Moved(Moved),
    Stalled,
    TimedOut,
}

/// How a stream ended.
#[derive(Debug)]
enum End {
    Broken(String),
    ClientLeft,
    Complete,
    TimedOut,
}

impl Relay {
    /// Begins to pass a stream on, and gives the head of its answer.
    pub(crate) fn spawn(
        attempts: &mut Attempts,
        accepted: Accepted,
        slot: Slot,
    ) -> Response<ReplyBody> {
        let Accepted { answer, said } = accepted;
        let (pieces, waiting) = mpsc::channel(PIECES_WAITING_MAX);
        let head = client_head(answer.head);
        let call = Arc::clone(&attempts.call);
        let mut own = Attempts::new(Arc::clone(&attempts.shared), call);
        own.excluded.append(&mut attempts.excluded);
        own.runs = attempts.runs;
        own.waited_ms = attempts.waited_ms;
        let predicted_tokens = own.call.demand().predicted_tokens;
        let relay = Self {
            attempts: own,
            body: answer.body,
            connection: answer.connection,
            first_ms: None,
            gap_max_ms: 0,
            last_event_at: Instant::now(),
            motion: Motion::watch(&slot.endpoint),
            moves: 0,
            pieces,
            predicted_tokens,
            reader: EventReader::default(),
            resumed_at: Instant::now(),
            said,
            slot,
        };
        tokio::spawn(relay.run());
        Response::from_parts(head, relayed_body(waiting))
    }

    async fn run(mut self) {
        let end = loop {
            let step = self.step().await;
            if let Some(end) = self.react(step).await {
                break end;
            }
        };
        self.finish(end).await;
    }

    async fn step(&mut self) -> Step {
        let stall_at = self.stall_at();
        tokio::select! {
            biased;
            () = self.pieces.closed() => Step::ClientLeft,
            () = sleep_until(self.attempts.call.deadline) => Step::TimedOut,
            frame = self.body.frame() => match frame {
                Some(Ok(frame)) => Step::Frame(frame.into_data().ok()),
                Some(Err(_)) => Step::Frame(None),
                None => Step::Ended,
            },
            moved = self.motion.next() => Step::Moved(moved),
            () = sleep_until(stall_at) => Step::Stalled,
        }
    }

    async fn react(&mut self, step: Step) -> Option<End> {
        match step {
            Step::ClientLeft => Some(End::ClientLeft),
            Step::Ended if self.reader.has_partial_event() => self.recover("within an event").await,
            Step::Ended => Some(End::Complete),
            Step::Frame(Some(bytes)) => self.pass_on(bytes).await,
            Step::Frame(None) => self.recover("without its end").await,
            Step::Moved(moved) => self.advance(moved).await,
            Step::Stalled => self.resume("no event came in time").await,
            Step::TimedOut => Some(End::TimedOut),
        }
    }

    async fn pass_on(&mut self, bytes: Bytes) -> Option<End> {
        let known = self.reader.event_count();
        let whole = self.reader.push(bytes);
        if self.reader.is_partial_too_long() {
            return Some(End::Broken("an event is too long".to_owned()));
        }
        if whole.is_empty() {
            return None;
        }
        let gap = self.last_event_at.elapsed();
        let gap_ms = milliseconds(gap);
        self.last_event_at = Instant::now();
        if self.first_ms.is_some() {
            let events = (self.reader.event_count() - known).max(1);
            let event_us = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX) / events;
            let now_ms = self.attempts.shared.fleet.now_ms();
            self.slot.endpoint.own().intervals.record(now_ms, event_us);
            self.gap_max_ms = self.gap_max_ms.max(gap_ms);
        } else {
            self.first_ms = Some(self.attempts.call.elapsed_ms());
            self.slot.note_first_event();
        }
        self.predict();
        if self.pieces.send(Ok(whole)).await.is_err() {
            return Some(End::ClientLeft);
        }
        None
    }

    /// Corrects the prediction where the output is longer.
    fn predict(&mut self) {
        let Some(generation) = &self.attempts.call.head.generation else {
            return;
        };
        let held = generation.prompt_tokens + self.made_tokens();
        if held > self.predicted_tokens {
            let output = self.made_tokens() * GROWTH_PERCENT / 100;
            let output = output.min(generation.output_tokens_max.max(self.made_tokens()));
            self.predicted_tokens = generation.prompt_tokens + output;
            self.slot.predict(self.predicted_tokens);
        }
    }

    fn made_tokens(&self) -> u64 {
        let call = &self.attempts.call;
        let service = call.catalog.service(&call.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let per_event = engine.map_or(1, |engine| engine.tokens_per_event);
        self.reader.event_count() * per_event
    }

    fn is_resumable(&self) -> bool {
        self.attempts.call.route.retry_class.is_idempotent()
    }

    fn stall_at(&self) -> Instant {
        let call = &self.attempts.call;
        if !self.is_resumable() || self.attempts.runs >= call.route.attempts_max {
            return call.deadline;
        }
        let stall_ms = match self.first_ms {
            Some(_) => (call.route.event_gap_target_ms * STALL_PAUSES).max(STALL_MS_MIN),
            None => (call.route.target_latency_ms * STREAM_TARGETS).max(STALL_MS_MIN),
        };
        self.last_event_at.max(self.resumed_at) + Duration::from_millis(stall_ms)
    }

    /// Goes on after the endpoint broke the stream off.
    async fn recover(&mut self, how: &str) -> Option<End> {
        self.reader.discard_partial();
        if let Some(arrival) = self.motion.take_earlier() {
            return match self.go_on_at(*arrival).await {
                Ok(()) => None,
                Err((miss, _)) => {
                    let reason = format!("the endpoint broke off {how}, and at the copy: {miss}");
                    self.resume(&reason).await
                }
            };
        }
        let now_ms = self.attempts.shared.fleet.now_ms();
        self.slot.endpoint.own().health.record_failure(now_ms);
        self.resume(&format!("the endpoint broke off {how}")).await
    }

    /// Asks another endpoint for the events after the last one.
    async fn resume(&mut self, reason: &str) -> Option<End> {
        let call = Arc::clone(&self.attempts.call);
        let shared = Arc::clone(&self.attempts.shared);
        if !self.is_resumable() || self.attempts.runs >= call.route.attempts_max {
            return Some(End::Broken(reason.to_owned()));
        }
        self.attempts.excluded.push(self.slot.endpoint.id.clone());
        let want = Want {
            demand: call.demand(),
            excluded: self.attempts.excluded.clone(),
            leaves: None,
            priority: call.priority,
            service: call.service.clone(),
            wait_ms: RESUME_WAIT_MS.min(call.left_ms()),
        };
        let Ok(slot) = shared.admit(&want).await else {
            return Some(End::Broken(format!(
                "{reason}, and there is no room elsewhere"
            )));
        };
        if !shared.take_repeat(&call.service) {
            return Some(End::Broken(format!("{reason}, and the budget is spent")));
        }
        info!(shared.log, "stream resumed"; "request" => call.id(),
            "endpoint" => &slot.endpoint.id, "last_event" => self.reader.last_event_id(),
            "reason" => reason);
        self.attempts.runs += 1;
        match self.continue_at(&slot, None).await {
            Ok(accepted) => {
                self.adopt(accepted, slot, false);
                None
            }
            Err(miss) => Some(End::Broken(format!("the stream did not go on: {miss}"))),
        }
    }

    /// Takes the next step of a move.
    async fn advance(&mut self, moved: Moved) -> Option<End> {
        match moved {
            Moved::Due => {
                self.begin_move().await;
                None
            }
            Moved::Nothing => None,
            Moved::Copied(arrival) => self.switch(*arrival).await,
        }
    }

    /// Goes on at the copy of a run that still runs, or leaves it where it is.
    async fn switch(&mut self, arrival: Arrival) -> Option<End> {
        match self.go_on_at(arrival).await {
            Ok(()) => None,
            Err((miss @ (Miss::Rejected(_) | Miss::Unreachable(_)), arrival)) => {
                info!(self.attempts.shared.log, "copy not taken";
                    "request" => self.attempts.call.id(),
                    "endpoint" => &arrival.slot.endpoint.id, "reason" => %miss);
                self.motion.try_again(arrival);
                None
            }
            Err((miss, _)) => Some(End::Broken(format!("the stream did not go on: {miss}"))),
        }
    }

    /// Goes on at the copy of a run; the run itself ends with its connection.
    async fn go_on_at(&mut self, arrival: Arrival) -> Result<(), (Miss, Arrival)> {
        if !self
            .attempts
            .shared
            .take_repeat(&self.attempts.call.service)
        {
            let miss = Miss::Rejected("the budget for repeats is spent".to_owned());
            return Err((miss, arrival));
        }
        match self.continue_at(&arrival.slot, Some(&arrival.copy)).await {
            Ok(accepted) => {
                self.adopt(accepted, arrival.slot, true);
                Ok(())
            }
            Err(miss) => Err((miss, arrival)),
        }
    }

    /// Chooses where the run goes, and begins to copy it.
    async fn begin_move(&mut self) {
        let call = Arc::clone(&self.attempts.call);
        let shared = Arc::clone(&self.attempts.shared);
        let service = call.catalog.service(&call.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            self.motion = Motion::Fixed;
            return;
        };
        if !engine.supports_migration || self.is_resumable() && self.reader.event_count() == 0 {
            self.motion = Motion::Fixed;
            return;
        }
        let held = self.made_tokens();
        let generation = call.head.generation.as_ref();
        let prompt_tokens = generation.map_or(0, |generation| generation.prompt_tokens);
        let output = self.predicted_tokens.saturating_sub(prompt_tokens);
        let tokens_left = output.saturating_sub(held).max(held / TAIL_SHARE);
        let mut excluded = self.motion.full().to_vec();
        excluded.push(self.slot.endpoint.id.clone());
        let want = Want {
            demand: Demand {
                kv_copy_tokens: prompt_tokens + held,
                is_migration: true,
                prefill_tokens: 0,
                prefill_ms_max: u64::MAX,
                predicted_tokens: self.predicted_tokens,
            },
            excluded,
            leaves: Some(self.slot.endpoint.data_centre.clone()),
            priority: call.priority,
            service: call.service.clone(),
            wait_ms: 0,
        };
        self.motion
            .begin(&shared, &call, &self.slot, tokens_left, &want)
            .await;
    }

    /// Asks an endpoint for what follows the last event, from a copy if there is one.
    async fn continue_at(
        &mut self,
        slot: &Slot,
        copy: Option<&CacheCopy>,
    ) -> Result<Accepted, Miss> {
        let resumption = Resumption {
            copy,
            last_event_id: self.reader.last_event_id(),
        };
        let limit_ms = RESUME_TIMEOUT_MS.min(self.attempts.call.left_ms());
        let accepted = self.attempts.send(slot, &resumption, limit_ms).await?;
        let status = accepted.answer.head.status;
        if !status.is_success() {
            return Err(Miss::Failed(format!("the endpoint answered {status}")));
        }
        Ok(accepted)
    }

    /// Takes the events from another endpoint from now on.
    fn adopt(&mut self, accepted: Accepted, slot: Slot, is_copied: bool) {
        info!(self.attempts.shared.log, "stream goes on"; "request" => self.attempts.call.id(),
            "from" => &self.slot.endpoint.id, "to" => &slot.endpoint.id,
            "is_copied" => is_copied, "last_event" => self.reader.last_event_id());
        self.reader.discard_partial();
        self.moves += 1;
        self.body = accepted.answer.body;
        self.connection = accepted.answer.connection;
        self.said = accepted.said;
        self.motion = Motion::watch(&slot.endpoint);
        self.resumed_at = Instant::now();
        self.slot = slot;
    }

    async fn finish(self, end: End) {
        let Self {
            attempts,
            connection,
            first_ms,
            gap_max_ms,
            motion,
            moves,
            pieces,
            reader,
            said,
            slot,
            ..
        } = self;
        let (shared, call) = (&attempts.shared, &attempts.call);
        let now_ms = shared.fleet.now_ms();
        let outcome = match &end {
            End::Broken(_) => Outcome::Failed,
            End::ClientLeft => Outcome::ClientLeft,
            End::Complete => Outcome::Answered,
            End::TimedOut => Outcome::TimedOut,
        };
        match &end {
            End::Complete => {
                motion.free();
                slot.endpoint.own().health.record_success(now_ms);
                release(connection, &said, &slot);
            }
            End::Broken(_) | End::TimedOut => {
                // The client may have left as well.
                let _ = pieces.send(Err(BrokenOff)).await;
            }
            End::ClientLeft => {}
        }
        let reason = match &end {
            End::Broken(reason) => Some(reason.as_str()),
            End::ClientLeft => Some("the client left within the answer"),
            End::Complete => None,
            End::TimedOut => Some("the answer did not end in time"),
        };
        if let End::Broken(reason) = &end {
            warn!(shared.log, "stream broken off"; "request" => call.id(), "reason" => reason);
        }
        shared.note_end(Some(call), outcome, call.elapsed_ms());
        if let Some(first_ms) = first_ms {
            let customer = call.customer.as_deref().unwrap_or_default();
            let kind = call.route.retry_class.name();
            shared
                .metrics
                .streamed(customer, kind, first_ms, gap_max_ms);
        }
        info!(shared.log, "request ended"; "request" => call.id(), "outcome" => ?outcome,
            "status" => 200, "reason" => reason, "waited_ms" => attempts.waited_ms,
            "route" => &call.route.name, "customer" => call.customer.as_deref(),
            "endpoint" => &slot.endpoint.id, "events" => reader.event_count(), "moves" => moves,
            "first_ms" => first_ms, "gap_max_ms" => gap_max_ms,
            "document_version" => call.catalog.version(), "duration_ms" => call.elapsed_ms());
    }
}
