//! Plays the driver, the engine and the caller of one call.

use entry::core::{
    Delivery, Failure, FailurePoint, FinishReason, GenerationAction, GenerationCall,
    GenerationEvent, GenerationStatus, Outcome, ResponseMode, StallTimeouts, TokenRange,
};
use entry::dependencies::{Refusal, RefusalReason};
use names::GenerationId;
use quickcheck::{Arbitrary, Gen};

pub const DEADLINE_US: u64 = 20_000_000;

pub const PATIENCE: StallTimeouts = StallTimeouts {
    progress_us: 3_000_000,
    silence_us: 1_000_000,
};

/// One step of a random history; numbers choose among what is possible.
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

/// What happened in a history.
#[derive(Debug, Default)]
pub struct Counts {
    pub completed: u32,
    pub failed_with_tokens: u32,
    pub failed_without_tokens: u32,
    pub refused: u32,
    pub rescued_by_restart: u32,
    pub rescued_by_resume: u32,
    pub restarts: u32,
    pub resumes: u32,
}

/// Plays the driver, the engine and the caller, and checks each promise as it goes.
pub struct Bench {
    pub actions: Vec<GenerationAction>,
    pub call: GenerationCall,
    pub counts: Counts,
    pub delivery: Delivery,
    pub final_answers: u32,
    /// Whether a byte of any attempt may have reached an engine.
    pub may_have_run: bool,
    pub mode: ResponseMode,
    pub needs_cancel: Option<GenerationId>,
    pub now_us: u64,
    pub permits: i32,
    pub received: u32,
    pub started: u128,
    /// What the call asked for and has no answer to.
    pub waits_for: Waits,
}

#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum Waits {
    Budget,
    Link,
    Nothing,
    Permit,
    Stream,
}

impl Bench {
    pub fn new(mode: ResponseMode, seed: u64) -> Self {
        let mut actions = Vec::new();
        let call = GenerationCall::start(mode, DEADLINE_US, seed, &mut actions);
        let mut bench = Self {
            actions,
            call,
            counts: Counts::default(),
            delivery: Delivery::default(),
            final_answers: 0,
            may_have_run: false,
            mode,
            needs_cancel: None,
            now_us: 0,
            permits: 0,
            received: 0,
            started: 0,
            waits_for: Waits::Nothing,
        };
        bench.perform();
        bench
    }

    pub fn current(&self) -> GenerationId {
        GenerationId(self.started)
    }

    pub fn event(&mut self, event: GenerationEvent) {
        let had_answer = self.final_answers;
        self.call.handle(self.now_us, event, &mut self.actions);
        if had_answer > 0 {
            assert!(self.actions.is_empty(), "something follows a final answer");
        }
        self.perform();
    }

    pub fn perform(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            self.perform_one(action);
        }
    }

    pub fn perform_one(&mut self, action: GenerationAction) {
        match action {
            GenerationAction::AcquirePermit => {
                assert_eq!(self.permits, 0, "a second permit is asked for");
                assert_eq!(self.needs_cancel, None, "a generation was left running");
                self.waits_for = Waits::Permit;
            }
            GenerationAction::RequestRetry => self.waits_for = Waits::Budget,
            GenerationAction::Cancel { generation } => {
                assert_eq!(generation, self.current());
                self.needs_cancel = None;
            }
            GenerationAction::Complete { tokens, .. } => {
                assert_eq!(
                    tokens,
                    self.delivery.delivered_tokens(),
                    "the answer is not whole"
                );
                self.needs_cancel = None;
                self.counts.completed += 1;
                self.counts.rescued_by_restart += u32::from(self.counts.restarts > 0);
                self.counts.rescued_by_resume += u32::from(self.counts.resumes > 0);
                self.final_answer();
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
                ResponseMode::Whole => self.delivery = Delivery::default(),
            },
            GenerationAction::CloseConnection => self.waits_for = Waits::Nothing,
            GenerationAction::Fail(failure) => self.failed(failure),
            GenerationAction::Refuse(_) => {
                assert!(!self.may_have_run, "a refused request may have run");
                assert_eq!(self.delivery.delivered_tokens(), 0);
                self.counts.refused += 1;
                self.final_answer();
            }
            GenerationAction::ReleasePermit { .. } => self.permits -= 1,
            GenerationAction::Resume { from, generation } => {
                assert_eq!(generation, self.current(), "another generation is resumed");
                self.counts.resumes += 1;
                assert_eq!(from, self.delivery.delivered_tokens());
                self.waits_for = Waits::Link;
            }
            GenerationAction::Start { generation } => {
                assert_eq!(
                    self.delivery.delivered_tokens(),
                    0,
                    "an answer would be spliced"
                );
                assert_eq!(generation, self.current());
                self.counts.restarts += u32::from(self.started > 1);
                self.waits_for = Waits::Link;
            }
        }
    }

    pub fn failed(&mut self, failure: Failure) {
        let delivered = match self.mode {
            ResponseMode::Stream => self.delivery.delivered_tokens(),
            ResponseMode::Whole => 0,
        };
        assert_eq!(failure.delivered_tokens, delivered);
        self.counts.failed_with_tokens += u32::from(delivered > 0);
        self.counts.failed_without_tokens += u32::from(delivered == 0);
        assert!(failure.retry_after_ms > 0);
        assert_eq!(failure.outcome == Outcome::NotRun, !self.may_have_run);
        self.final_answer();
    }

    pub fn final_answer(&mut self) {
        self.final_answers += 1;
        assert_eq!(self.final_answers, 1, "the caller gets two final answers");
        assert_eq!(self.permits, 0, "a permit is kept after the end");
        assert_eq!(
            self.needs_cancel, None,
            "a generation runs on after the end"
        );
        self.waits_for = Waits::Nothing;
    }

    pub fn step(&mut self, step: Step) {
        self.now_us += step.wait_us;
        if self.now_us >= self.call.next_tick_us() || step.choice < 8 {
            self.tick();
            assert!(
                self.call.is_finished() || self.call.next_tick_us() > self.now_us,
                "a tick leaves the call waiting for the past"
            );
            return;
        }
        match (self.waits_for, step.choice) {
            (_, 8) => {
                self.event(GenerationEvent::ClientDisconnected);
                assert!(self.call.is_finished());
                assert_eq!((self.permits, self.needs_cancel), (0, None));
                self.final_answers = 1;
                self.waits_for = Waits::Nothing;
            }
            (_, 9..16) => self.stale(step),
            (Waits::Permit, _) => self.permit(step),
            (Waits::Budget, _) => self.budget(step),
            (Waits::Link, _) => self.link(step),
            (Waits::Stream, _) => self.stream(step),
            (Waits::Nothing, _) => {}
        }
    }

    pub fn budget(&mut self, step: Step) {
        self.waits_for = Waits::Nothing;
        self.event(if step.detail < 200 {
            GenerationEvent::BudgetGranted
        } else {
            GenerationEvent::BudgetDenied { retry_after_ms: 7 }
        });
    }

    pub fn link(&mut self, step: Step) {
        let generation = self.current();
        let is_resume = self.received > 0;
        if step.detail < 150 {
            self.waits_for = Waits::Stream;
            self.sent();
            return self.event(GenerationEvent::StreamOpened { generation });
        }
        if step.detail < 180 {
            let point = FailurePoint::ALL[1 + usize::from(step.detail % 5)];
            if point >= FailurePoint::PartlyWritten {
                self.sent();
            }
            return self.event(GenerationEvent::ConnectionFailed { generation, point });
        }
        if step.detail < 200 {
            if !is_resume {
                self.needs_cancel = None;
            }
            return self.event(GenerationEvent::NotRun { generation });
        }
        if step.detail < 210 && !is_resume {
            // The number may be another request's, and must not be cancelled.
            self.may_have_run = true;
            return self.event(GenerationEvent::IdInUse { generation });
        }
        self.sent();
        self.event(match step.detail {
            200..220 => GenerationEvent::Rejected {
                generation,
                status: if step.detail < 215 { 400 } else { 502 },
            },
            220..230 => GenerationEvent::GenerationNotFound { generation },
            230..240 => GenerationEvent::MalformedResponse { generation },
            _ => GenerationEvent::PermitRevoked,
        });
    }

    pub fn permit(&mut self, step: Step) {
        if step.detail < 20 {
            self.waits_for = Waits::Nothing;
            return self.event(GenerationEvent::PermitRefused(Refusal {
                reason: RefusalReason::Overload,
                retry_after_ms: 5,
            }));
        }
        self.permits += 1;
        self.started += 1;
        self.received = 0;
        self.event(GenerationEvent::PermitGranted {
            generation: self.current(),
            stall_timeouts: PATIENCE,
        });
    }

    /// Events of old and foreign generations, and answers nobody asked for.
    pub fn stale(&mut self, step: Step) {
        let before = self.delivery.delivered_tokens();
        let generation = GenerationId(match step.detail % 3 {
            0 => u128::MAX,
            1 => 0,
            _ => self.started.wrapping_sub(1),
        });
        let index = u32::from(step.detail) % 4;
        let late = if self.waits_for == Waits::Stream {
            generation
        } else {
            self.current()
        };
        self.event(match step.choice {
            9 => GenerationEvent::GenerationEnded {
                reason: FinishReason::Stop,
                generation: late,
                tokens: before,
            },
            10 => GenerationEvent::ConnectionFailed {
                generation,
                point: FailurePoint::Body,
            },
            11 => GenerationEvent::StreamOpened { generation },
            12 => GenerationEvent::NotRun { generation },
            13 => GenerationEvent::GenerationNotFound { generation },
            _ => GenerationEvent::Token {
                generation: late,
                index: if step.detail < 128 {
                    self.received
                } else {
                    index
                },
            },
        });
        assert_eq!(
            self.delivery.delivered_tokens(),
            before,
            "a late token passed"
        );
    }

    pub fn stream(&mut self, step: Step) {
        let generation = self.current();
        let next = self.received;
        let event = match step.detail {
            0..170 => {
                self.received += 1;
                GenerationEvent::Token {
                    generation,
                    index: next,
                }
            }
            170..180 => GenerationEvent::Token {
                generation,
                index: next + 1 + u32::from(step.choice % 2),
            },
            180..190 if next > 0 => GenerationEvent::Token {
                generation,
                index: next - 1,
            },
            190..200 => GenerationEvent::MalformedResponse { generation },
            200..215 => GenerationEvent::ConnectionFailed {
                generation,
                point: FailurePoint::Body,
            },
            215..220 => GenerationEvent::GenerationEnded {
                reason: FinishReason::Stop,
                generation,
                tokens: next + 1,
            },
            220..225 => GenerationEvent::GenerationEnded {
                reason: FinishReason::Cancelled,
                generation,
                tokens: next,
            },
            225..230 => GenerationEvent::PermitRevoked,
            230..235 => GenerationEvent::GenerationEnded {
                reason: FinishReason::Stop,
                generation,
                tokens: next,
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
        self.event(event);
    }

    /// Time goes by; an attempt whose answer does not come in time may have run.
    pub fn tick(&mut self) {
        if self.waits_for == Waits::Link && self.now_us >= self.call.next_tick_us() {
            self.sent();
        }
        self.event(GenerationEvent::Tick);
    }

    /// A byte of the current generation may have reached its engine.
    pub fn sent(&mut self) {
        self.may_have_run = true;
        self.needs_cancel = Some(self.current());
    }
}

/// Runs a history to its end, also past its last step.
pub fn play(mode: ResponseMode, seed: u64, steps: &[Step]) -> Bench {
    let mut bench = Bench::new(mode, seed);
    for &step in steps {
        bench.step(step);
    }
    while !bench.call.is_finished() {
        bench.now_us = bench.now_us.max(bench.call.next_tick_us());
        bench.tick();
    }
    bench
}
