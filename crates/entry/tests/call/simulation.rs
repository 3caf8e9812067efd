//! Simulates the HTTP modules, the engine and the client of one generation call.

use entry::core::{
    CallFailure, Delivery, FailurePoint, FinishReason, GenerationAction, GenerationCall,
    GenerationEvent, GenerationStatus, Outcome, ResponseMode, StallTimeouts, TokenRange,
};
use entry::dependencies::{Refusal, RefusalReason};
use names::GenerationId;
use quickcheck::{Arbitrary, Gen};

use crate::kept::KeptGeneration;

pub const DEADLINE_US: u64 = 20_000_000;

pub const STALL_TIMEOUTS: StallTimeouts = StallTimeouts {
    progress_us: 3_000_000,
    silence_us: 1_000_000,
};

/// One random step; `choice` and `detail` select among the events that are possible.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    pub choice: u8,
    pub detail: u8,
    pub wait_us: u64,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let choice = u8::arbitrary(g);
        let wait_us = match u8::arbitrary(g) % 16 {
            0 => 2_000_000,
            1..4 => 100_000,
            _ => 500,
        };
        Self {
            choice,
            detail: u8::arbitrary(g),
            wait_us,
        }
    }
}

/// Counts of actions and final responses in a simulation.
#[derive(Debug, Default)]
pub struct ActionCounts {
    pub completed: u32,
    pub completed_after_restart: u32,
    pub completed_after_resume: u32,
    pub failed_with_tokens: u32,
    pub failed_without_tokens: u32,
    pub refused: u32,
    pub completed_after_reinstatement: u32,
    pub reinstatements: u32,
    pub restarts: u32,
    pub resumes: u32,
}

/// Simulation of one generation call that checks its invariants at each action.
pub struct Simulation {
    pub actions: Vec<GenerationAction>,
    pub call: GenerationCall,
    pub counts: ActionCounts,
    pub delivery: Delivery,
    pub final_responses: u32,
    pub held_permits: i32,
    /// Whether a resume is being opened beside the silent stream.
    pub is_reopening: bool,
    pub kept: Vec<KeptGeneration>,
    /// Whether an engine has received a byte of any attempt.
    pub may_have_run: bool,
    pub mode: ResponseMode,
    pub now_us: u64,
    /// Reply that the call waits for.
    pub pending: PendingReply,
    pub received_tokens: u32,
    /// Generation that runs again in place of a later one.
    pub reinstated: Option<GenerationId>,
    /// Number of started generations; the id of the latest one.
    pub started_generations: u128,
    /// Silent generations of which an engine may have received a byte.
    pub unanswered: Vec<GenerationId>,
    /// Generations that engines may still run.
    pub uncancelled: Vec<GenerationId>,
}

/// Reply that a generation call waits for.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum PendingReply {
    Budget,
    Connection,
    None,
    Permit,
    Stream,
}

impl Simulation {
    pub fn new(mode: ResponseMode, seed: u64) -> Self {
        let mut actions = Vec::new();
        let call = GenerationCall::start(mode, DEADLINE_US, seed, &mut actions);
        let mut simulation = Self {
            actions,
            call,
            counts: ActionCounts::default(),
            delivery: Delivery::default(),
            final_responses: 0,
            held_permits: 0,
            is_reopening: false,
            kept: Vec::new(),
            may_have_run: false,
            mode,
            now_us: 0,
            pending: PendingReply::None,
            received_tokens: 0,
            reinstated: None,
            started_generations: 0,
            unanswered: Vec::new(),
            uncancelled: Vec::new(),
        };
        simulation.perform_actions();
        simulation
    }

    pub fn current_generation(&self) -> GenerationId {
        self.reinstated
            .unwrap_or(GenerationId(self.started_generations))
    }

    /// Whether a byte of any attempt may have reached an engine.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || !self.unanswered.is_empty()
    }

    pub fn handle(&mut self, event: GenerationEvent) {
        let responses_before = self.final_responses;
        self.call.handle(self.now_us, event, &mut self.actions);
        if responses_before > 0 {
            assert!(
                self.actions.is_empty(),
                "an action follows a final response"
            );
        }
        self.perform_actions();
    }

    pub fn perform_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            self.perform_action(action);
        }
    }

    pub fn perform_action(&mut self, action: GenerationAction) {
        match action {
            GenerationAction::AbandonResume => {
                assert!(self.is_reopening, "no resume is being opened");
                self.is_reopening = false;
            }
            GenerationAction::AcquirePermit => self.request_permit(),
            GenerationAction::RequestRetry => self.pending = PendingReply::Budget,
            GenerationAction::Cancel { generation } => {
                assert!(generation == self.current_generation() || self.is_kept(generation));
                self.mark_ended(generation);
            }
            GenerationAction::Complete { tokens, .. } => {
                assert_eq!(
                    tokens,
                    self.delivery.delivered_tokens(),
                    "the response is incomplete"
                );
                self.mark_ended(self.current_generation());
                self.counts.completed += 1;
                self.counts.completed_after_reinstatement +=
                    u32::from(self.counts.reinstatements > 0);
                self.counts.completed_after_restart += u32::from(self.counts.restarts > 0);
                self.counts.completed_after_resume += u32::from(self.counts.resumes > 0);
                self.check_final_response();
            }
            GenerationAction::Deliver { generation, index } => {
                self.delivery.deliver(TokenRange {
                    count: 1,
                    first_index: index,
                    generation,
                });
            }
            GenerationAction::DiscardTokens => match self.mode {
                ResponseMode::Stream => assert_eq!(self.delivery.delivered_tokens(), 0),
                ResponseMode::Buffered => self.delivery = Delivery::default(),
            },
            GenerationAction::CloseConnection => {
                self.pending = PendingReply::None;
                self.is_reopening = false;
            }
            GenerationAction::CloseSilentStream => {
                assert!(self.is_reopening, "no resume is being opened");
                self.pending = PendingReply::Connection;
                self.is_reopening = false;
            }
            GenerationAction::Fail(failure) => self.check_failure(failure),
            GenerationAction::Keep { generation, .. } => self.keep(generation),
            GenerationAction::Refuse(_) => {
                assert!(!self.may_have_run(), "a refused request may have run");
                assert_eq!(self.delivery.delivered_tokens(), 0);
                self.counts.refused += 1;
                self.check_final_response();
            }
            GenerationAction::Reinstate { generation } => self.reinstate(generation),
            GenerationAction::ReleasePermit { .. } => self.held_permits -= 1,
            GenerationAction::StopKept { generation, .. } => {
                self.take_kept(generation);
                self.held_permits -= 1;
            }
            GenerationAction::Resume { from, generation } => {
                assert_eq!(
                    generation,
                    self.current_generation(),
                    "a generation other than the current one is resumed"
                );
                self.counts.resumes += 1;
                assert_eq!(from, self.delivery.delivered_tokens());
                if self.pending == PendingReply::Stream {
                    self.is_reopening = true;
                } else {
                    self.pending = PendingReply::Connection;
                }
            }
            GenerationAction::Start { generation } => self.start(generation),
        }
    }

    pub fn request_permit(&mut self) {
        assert_eq!(
            usize::try_from(self.held_permits),
            Ok(self.kept.len()),
            "a second permit is requested"
        );
        assert!(
            self.uncancelled.iter().all(|&id| self.is_kept(id)),
            "a generation was not cancelled"
        );
        self.pending = PendingReply::Permit;
    }

    pub fn start(&mut self, generation: GenerationId) {
        // Only a kept generation may have buffered tokens, which are discarded with it.
        let kept_tokens: u32 = self.kept.iter().map(|kept| kept.received_tokens).sum();
        assert_eq!(
            self.delivery.delivered_tokens(),
            kept_tokens,
            "a response would mix tokens of two generations"
        );
        assert_eq!(generation, self.current_generation());
        self.counts.restarts += u32::from(self.started_generations > 1);
        self.pending = PendingReply::Connection;
    }

    pub fn check_failure(&mut self, failure: CallFailure) {
        let delivered = match self.mode {
            ResponseMode::Stream => self.delivery.delivered_tokens(),
            ResponseMode::Buffered => 0,
        };
        assert_eq!(failure.delivered_tokens, delivered);
        self.counts.failed_with_tokens += u32::from(delivered > 0);
        self.counts.failed_without_tokens += u32::from(delivered == 0);
        assert!(failure.retry_after_ms > 0);
        assert_eq!(failure.outcome == Outcome::NotRun, !self.may_have_run());
        self.check_final_response();
    }

    pub fn check_final_response(&mut self) {
        self.final_responses += 1;
        assert_eq!(
            self.final_responses, 1,
            "the client gets two final responses"
        );
        assert_eq!(
            self.held_permits, 0,
            "a permit is held after the final response"
        );
        assert_eq!(
            self.uncancelled,
            [],
            "a generation is not cancelled after the final response"
        );
        assert!(
            self.kept.is_empty(),
            "a generation is kept after the final response"
        );
        self.pending = PendingReply::None;
    }

    pub fn step(&mut self, step: Step) {
        self.now_us += step.wait_us;
        if self.now_us >= self.call.next_tick_us() || step.choice < 8 {
            self.tick();
            assert!(
                self.call.is_finished() || self.call.next_tick_us() > self.now_us,
                "a tick leaves the next tick in the past"
            );
            return;
        }
        match (self.pending, step.choice) {
            (_, 8) => {
                self.handle(GenerationEvent::ClientDisconnected);
                assert!(self.call.is_finished());
                assert_eq!(self.held_permits, 0);
                assert_eq!(self.uncancelled, []);
                assert!(self.kept.is_empty());
                self.final_responses = 1;
                self.pending = PendingReply::None;
            }
            (_, 9..16) => self.send_stale_event(step),
            (_, 16..96) if !self.kept.is_empty() => self.send_kept_event(step),
            (PendingReply::Stream, 96..176) if self.is_reopening => self.reply_to_resume(step),
            (PendingReply::Permit, _) => self.reply_to_permit_request(step),
            (PendingReply::Budget, _) => self.reply_to_retry_request(step),
            (PendingReply::Connection, _) => self.reply_to_connection(step),
            (PendingReply::Stream, _) => self.send_stream_event(step),
            (PendingReply::None, _) => {}
        }
    }

    pub fn reply_to_retry_request(&mut self, step: Step) {
        self.pending = PendingReply::None;
        self.handle(if step.detail < 200 {
            GenerationEvent::BudgetGranted
        } else {
            GenerationEvent::BudgetDenied { retry_after_ms: 7 }
        });
    }

    pub fn reply_to_connection(&mut self, step: Step) {
        let generation = self.current_generation();
        let is_resume = self.received_tokens > 0;
        if step.detail < 150 {
            self.pending = PendingReply::Stream;
            self.mark_sent();
            return self.handle(GenerationEvent::StreamOpened { generation });
        }
        if step.detail < 180 {
            let point = FailurePoint::ALL[1 + usize::from(step.detail % 5)];
            if point >= FailurePoint::PartlyWritten {
                self.mark_sent();
            } else if !is_resume {
                self.mark_not_run(generation);
            }
            return self.handle(GenerationEvent::ConnectionFailed { generation, point });
        }
        if step.detail < 200 {
            if !is_resume {
                self.mark_not_run(generation);
            }
            return self.handle(GenerationEvent::NotRun { generation });
        }
        if step.detail < 210 && !is_resume {
            // The id may belong to another request's generation, which must not be cancelled.
            self.mark_not_run(generation);
            self.may_have_run = true;
            return self.handle(GenerationEvent::IdInUse { generation });
        }
        if step.detail >= 240 {
            self.mark_unanswered(generation);
            return self.handle(GenerationEvent::PermitRevoked);
        }
        self.mark_sent();
        self.handle(match step.detail {
            200..220 => GenerationEvent::Rejected {
                generation,
                status: if step.detail < 215 { 400 } else { 502 },
            },
            220..230 => GenerationEvent::GenerationNotFound { generation },
            _ => GenerationEvent::MalformedResponse { generation },
        });
    }

    /// Replies to a resume beside a silent stream, or leaves it without a reply.
    pub fn reply_to_resume(&mut self, step: Step) {
        let generation = self.current_generation();
        let event = match step.detail {
            0..100 => {
                self.is_reopening = false;
                GenerationEvent::StreamOpened { generation }
            }
            100..180 => GenerationEvent::ResumeFailed { generation },
            180..200 => GenerationEvent::GenerationNotFound { generation },
            _ => return,
        };
        self.handle(event);
    }

    pub fn reply_to_permit_request(&mut self, step: Step) {
        if step.detail < 20 {
            self.pending = PendingReply::None;
            return self.handle(GenerationEvent::PermitRefused(Refusal {
                reason: RefusalReason::Overload,
                retry_after_ms: 5,
            }));
        }
        self.held_permits += 1;
        self.started_generations += 1;
        self.received_tokens = 0;
        self.reinstated = None;
        self.handle(GenerationEvent::PermitGranted {
            generation: self.current_generation(),
            stall_timeouts: STALL_TIMEOUTS,
        });
    }

    /// Sends an event of another generation, or a reply that the call does not wait for.
    pub fn send_stale_event(&mut self, step: Step) {
        let delivered_before = self.delivery.delivered_tokens();
        let generation = GenerationId(match step.detail % 3 {
            0 => u128::MAX,
            1 => 0,
            _ => self.started_generations.wrapping_sub(1),
        });
        let index = u32::from(step.detail) % 4;
        let is_live = self.is_kept(generation) || generation == self.current_generation();
        let generation = if is_live {
            GenerationId(u128::MAX)
        } else {
            generation
        };
        let current = self.current_generation();
        let stale_generation = if self.pending == PendingReply::Stream || self.is_kept(current) {
            generation
        } else {
            current
        };
        self.handle(match step.choice {
            9 => GenerationEvent::GenerationEnded {
                reason: FinishReason::Stop,
                generation: stale_generation,
                tokens: delivered_before,
            },
            10 => GenerationEvent::ConnectionFailed {
                generation,
                point: FailurePoint::Body,
            },
            11 => GenerationEvent::StreamOpened { generation },
            12 => GenerationEvent::NotRun { generation },
            13 => GenerationEvent::GenerationNotFound { generation },
            _ => GenerationEvent::Token {
                generation: stale_generation,
                index: if step.detail < 128 {
                    self.received_tokens
                } else {
                    index
                },
            },
        });
        assert_eq!(
            self.delivery.delivered_tokens(),
            delivered_before,
            "a stale token was delivered"
        );
    }

    pub fn send_stream_event(&mut self, step: Step) {
        let generation = self.current_generation();
        let next_index = self.received_tokens;
        let event = match step.detail {
            0..170 => {
                self.received_tokens += 1;
                GenerationEvent::Token {
                    generation,
                    index: next_index,
                }
            }
            170..180 => GenerationEvent::Token {
                generation,
                index: next_index + 1 + u32::from(step.choice % 2),
            },
            180..190 if next_index > 0 => GenerationEvent::Token {
                generation,
                index: next_index - 1,
            },
            190..200 => GenerationEvent::MalformedResponse { generation },
            200..215 => GenerationEvent::ConnectionFailed {
                generation,
                point: FailurePoint::Body,
            },
            215..220 => GenerationEvent::GenerationEnded {
                reason: FinishReason::Stop,
                generation,
                tokens: next_index + 1,
            },
            220..225 => GenerationEvent::GenerationEnded {
                reason: FinishReason::Cancelled,
                generation,
                tokens: next_index,
            },
            225..230 => GenerationEvent::PermitRevoked,
            230..235 => GenerationEvent::GenerationEnded {
                reason: FinishReason::Stop,
                generation,
                tokens: next_index,
            },
            _ => GenerationEvent::Status {
                generation,
                status: [
                    GenerationStatus::Preempted,
                    GenerationStatus::Prefill,
                    GenerationStatus::Running,
                ][usize::from(step.detail) % 3],
            },
        };
        self.handle(event);
    }

    /// Sends a tick. An attempt without a reply before the stall timeout may have run. Silence alone
    /// ends no generation before the deadline.
    pub fn tick(&mut self) {
        if self.pending == PendingReply::Connection && self.now_us >= self.call.next_tick_us() {
            self.mark_unanswered(self.current_generation());
        }
        let uncancelled = self.uncancelled.clone();
        let held_permits = self.held_permits;
        self.handle(GenerationEvent::Tick);
        if self.now_us < DEADLINE_US {
            assert_eq!(
                self.uncancelled, uncancelled,
                "a silent generation is cancelled"
            );
            assert_eq!(
                self.held_permits, held_permits,
                "a silent generation loses its permit"
            );
        }
    }

    /// Records that an engine may have received a byte of a generation, which has no reply yet.
    pub fn mark_unanswered(&mut self, generation: GenerationId) {
        if !self.uncancelled.contains(&generation) {
            self.unanswered.push(generation);
            self.uncancelled.push(generation);
        }
    }

    /// Records that an engine has received a byte of the current generation.
    pub fn mark_sent(&mut self) {
        self.mark_answered(self.current_generation());
    }

    /// Records that an engine has received a byte of a generation, which it may run.
    pub fn mark_answered(&mut self, generation: GenerationId) {
        self.may_have_run = true;
        self.unanswered.retain(|&id| id != generation);
        if !self.uncancelled.contains(&generation) {
            self.uncancelled.push(generation);
        }
    }

    /// Records that a generation has ended or is cancelled; without an answer it may have run.
    pub fn mark_ended(&mut self, generation: GenerationId) {
        self.uncancelled.retain(|&id| id != generation);
    }

    /// Records that no engine ran a generation.
    pub fn mark_not_run(&mut self, generation: GenerationId) {
        self.mark_ended(generation);
        self.unanswered.retain(|&id| id != generation);
    }
}

/// Runs the steps of a simulation, then ticks until the call is finished.
pub fn simulate(mode: ResponseMode, seed: u64, steps: &[Step]) -> Simulation {
    let mut simulation = Simulation::new(mode, seed);
    for &step in steps {
        simulation.step(step);
    }
    while !simulation.call.is_finished() {
        simulation.now_us = simulation.now_us.max(simulation.call.next_tick_us());
        simulation.tick();
    }
    simulation
}
