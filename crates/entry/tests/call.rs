//! The core of generation calls, under any order of events.

use std::ops::Range;

use entry::border::{Refusal, RefusalReason};
use entry::core::{
    Action, Call, Cause, Delivery, Event, Failure, FailurePoint, GenerationEnd, Mode, Outcome,
    Patience, Status, TokenRun,
};
use names::GenerationId;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const DEADLINE_US: u64 = 20_000_000;

const PATIENCE: Patience = Patience {
    progress_us: 3_000_000,
    silence_us: 1_000_000,
};

/// One step of a random history; numbers choose among what is possible.
#[derive(Debug, Clone, Copy)]
struct Step {
    choice: u8,
    detail: u8,
    wait_us: u64,
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
struct Counts {
    completed: u32,
    failed_with_tokens: u32,
    failed_without_tokens: u32,
    refused: u32,
    rescued_by_restart: u32,
    rescued_by_resume: u32,
    restarts: u32,
    resumes: u32,
}

/// Plays the driver, the engine and the caller, and checks each promise as it goes.
struct Bench {
    actions: Vec<Action>,
    call: Call,
    counts: Counts,
    delivery: Delivery,
    final_answers: u32,
    /// Whether a byte of any attempt may have reached an engine.
    may_have_run: bool,
    mode: Mode,
    needs_cancel: Option<GenerationId>,
    now_us: u64,
    permits: i32,
    received: u32,
    started: u128,
    /// What the call asked for and has no answer to.
    waits_for: Waits,
}

#[derive(Debug, Clone, Copy, Eq, PartialEq)]
enum Waits {
    Budget,
    Link,
    Nothing,
    Permit,
    Stream,
}

impl Bench {
    fn new(mode: Mode, seed: u64) -> Self {
        let mut actions = Vec::new();
        let call = Call::open(mode, DEADLINE_US, seed, &mut actions);
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

    fn current(&self) -> GenerationId {
        GenerationId(self.started)
    }

    fn event(&mut self, event: Event) {
        let had_answer = self.final_answers;
        self.call.handle(self.now_us, event, &mut self.actions);
        if had_answer > 0 {
            assert!(self.actions.is_empty(), "something follows a final answer");
        }
        self.perform();
    }

    fn perform(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            self.perform_one(action);
        }
    }

    fn perform_one(&mut self, action: Action) {
        match action {
            Action::Acquire => {
                assert_eq!(self.permits, 0, "a second permit is asked for");
                assert_eq!(self.needs_cancel, None, "a generation was left running");
                self.waits_for = Waits::Permit;
            }
            Action::AskBudget => self.waits_for = Waits::Budget,
            Action::Cancel { generation } => {
                assert_eq!(generation, self.current());
                self.needs_cancel = None;
            }
            Action::Complete { tokens, .. } => {
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
            Action::Deliver { generation, index } => {
                self.delivery.deliver(TokenRun {
                    count: 1,
                    first_index: index,
                    generation,
                });
            }
            Action::Discard => match self.mode {
                Mode::Stream => assert_eq!(self.delivery.delivered_tokens(), 0),
                Mode::Whole => self.delivery = Delivery::default(),
            },
            Action::DropLink => self.waits_for = Waits::Nothing,
            Action::Fail(failure) => self.failed(failure),
            Action::Refuse(_) => {
                assert!(!self.may_have_run, "a refused request may have run");
                assert_eq!(self.delivery.delivered_tokens(), 0);
                self.counts.refused += 1;
                self.final_answer();
            }
            Action::Release { .. } => self.permits -= 1,
            Action::Resume { from, generation } => {
                assert_eq!(generation, self.current(), "another generation is resumed");
                self.counts.resumes += 1;
                assert_eq!(from, self.delivery.delivered_tokens());
                self.waits_for = Waits::Link;
            }
            Action::Start { generation } => {
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

    fn failed(&mut self, failure: Failure) {
        let delivered = match self.mode {
            Mode::Stream => self.delivery.delivered_tokens(),
            Mode::Whole => 0,
        };
        assert_eq!(failure.delivered_tokens, delivered);
        self.counts.failed_with_tokens += u32::from(delivered > 0);
        self.counts.failed_without_tokens += u32::from(delivered == 0);
        assert!(failure.retry_after_ms > 0);
        assert_eq!(failure.outcome == Outcome::NotRun, !self.may_have_run);
        self.final_answer();
    }

    fn final_answer(&mut self) {
        self.final_answers += 1;
        assert_eq!(self.final_answers, 1, "the caller gets two final answers");
        assert_eq!(self.permits, 0, "a permit is kept after the end");
        assert_eq!(
            self.needs_cancel, None,
            "a generation runs on after the end"
        );
        self.waits_for = Waits::Nothing;
    }

    fn step(&mut self, step: Step) {
        self.now_us += step.wait_us;
        if self.now_us >= self.call.wake_us() || step.choice < 8 {
            self.tick();
            assert!(
                self.call.is_over() || self.call.wake_us() > self.now_us,
                "a tick leaves the call waiting for the past"
            );
            return;
        }
        match (self.waits_for, step.choice) {
            (_, 8) => {
                self.event(Event::CallerGone);
                assert!(self.call.is_over());
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

    fn budget(&mut self, step: Step) {
        self.waits_for = Waits::Nothing;
        self.event(if step.detail < 200 {
            Event::BudgetGranted
        } else {
            Event::BudgetDenied { retry_after_ms: 7 }
        });
    }

    fn link(&mut self, step: Step) {
        let generation = self.current();
        let is_resume = self.received > 0;
        if step.detail < 150 {
            self.waits_for = Waits::Stream;
            self.sent();
            return self.event(Event::Opened { generation });
        }
        if step.detail < 180 {
            let point = FailurePoint::ALL[1 + usize::from(step.detail % 5)];
            if point >= FailurePoint::PartlyWritten {
                self.sent();
            }
            return self.event(Event::LinkFailed { generation, point });
        }
        if step.detail < 200 {
            if !is_resume {
                self.needs_cancel = None;
            }
            return self.event(Event::NotRun { generation });
        }
        if step.detail < 210 && !is_resume {
            // The number may be another request's, and must not be cancelled.
            self.may_have_run = true;
            return self.event(Event::InUse { generation });
        }
        self.sent();
        self.event(match step.detail {
            200..220 => Event::Rejected {
                generation,
                status: if step.detail < 215 { 400 } else { 502 },
            },
            220..230 => Event::Lost { generation },
            230..240 => Event::Malformed { generation },
            _ => Event::Revoked,
        });
    }

    fn permit(&mut self, step: Step) {
        if step.detail < 20 {
            self.waits_for = Waits::Nothing;
            return self.event(Event::Refused(Refusal {
                reason: RefusalReason::Overload,
                retry_after_ms: 5,
            }));
        }
        self.permits += 1;
        self.started += 1;
        self.received = 0;
        self.event(Event::Granted {
            generation: self.current(),
            patience: PATIENCE,
        });
    }

    /// Events of old and foreign generations, and answers nobody asked for.
    fn stale(&mut self, step: Step) {
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
            9 => Event::Ended {
                end: GenerationEnd::Stop,
                generation: late,
                tokens: before,
            },
            10 => Event::LinkFailed {
                generation,
                point: FailurePoint::Body,
            },
            11 => Event::Opened { generation },
            12 => Event::NotRun { generation },
            13 => Event::Lost { generation },
            _ => Event::Token {
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

    fn stream(&mut self, step: Step) {
        let generation = self.current();
        let next = self.received;
        let event = match step.detail {
            0..170 => {
                self.received += 1;
                Event::Token {
                    generation,
                    index: next,
                }
            }
            170..180 => Event::Token {
                generation,
                index: next + 1 + u32::from(step.choice % 2),
            },
            180..190 if next > 0 => Event::Token {
                generation,
                index: next - 1,
            },
            190..200 => Event::Malformed { generation },
            200..215 => Event::LinkFailed {
                generation,
                point: FailurePoint::Body,
            },
            215..220 => Event::Ended {
                end: GenerationEnd::Stop,
                generation,
                tokens: next + 1,
            },
            220..225 => Event::Ended {
                end: GenerationEnd::Cancelled,
                generation,
                tokens: next,
            },
            225..230 => Event::Revoked,
            230..235 => Event::Ended {
                end: GenerationEnd::Stop,
                generation,
                tokens: next,
            },
            _ => Event::Status {
                generation,
                status: [Status::Preempted, Status::Prefill, Status::Running]
                    [usize::from(step.detail) % 3],
            },
        };
        self.event(event);
    }

    /// Time goes by; an attempt whose answer does not come in time may have run.
    fn tick(&mut self) {
        if self.waits_for == Waits::Link && self.now_us >= self.call.wake_us() {
            self.sent();
        }
        self.event(Event::Tick);
    }

    /// A byte of the current generation may have reached its engine.
    fn sent(&mut self) {
        self.may_have_run = true;
        self.needs_cancel = Some(self.current());
    }
}

/// Runs a history to its end, also past its last step.
fn play(mode: Mode, seed: u64, steps: &[Step]) -> Bench {
    let mut bench = Bench::new(mode, seed);
    for &step in steps {
        bench.step(step);
    }
    while !bench.call.is_over() {
        bench.now_us = bench.now_us.max(bench.call.wake_us());
        bench.tick();
    }
    bench
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck hands values")]
fn promises_hold(is_stream: bool, seed: u64, steps: Vec<Step>) -> bool {
    let mode = if is_stream { Mode::Stream } else { Mode::Whole };
    let bench = play(mode, seed, &steps);
    assert_eq!(bench.final_answers, 1, "the caller gets no final answer");
    assert_eq!(bench.permits, 0, "a permit is kept");
    true
}

#[test]
fn every_promise_holds_under_any_order_of_events() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 7))
        .tests(20_000)
        .quickcheck(promises_hold as fn(bool, u64, Vec<Step>) -> bool);
}

#[test]
fn a_long_random_run_meets_every_kind_of_end() {
    let mut g = Gen::from_size_and_seed(200, 42);
    let mut total = Counts::default();
    for seed in 0..20_000 {
        let mode = if seed % 2 == 0 {
            Mode::Stream
        } else {
            Mode::Whole
        };
        let counts = play(mode, seed, &Vec::arbitrary(&mut g)).counts;
        total.completed += counts.completed;
        total.failed_with_tokens += counts.failed_with_tokens;
        total.failed_without_tokens += counts.failed_without_tokens;
        total.refused += counts.refused;
        total.rescued_by_restart += counts.rescued_by_restart;
        total.rescued_by_resume += counts.rescued_by_resume;
        total.restarts += counts.restarts;
        total.resumes += counts.resumes;
    }
    println!("{total:?}");
    for count in [
        total.completed,
        total.failed_with_tokens,
        total.failed_without_tokens,
        total.refused,
        total.rescued_by_restart,
        total.rescued_by_resume,
    ] {
        assert!(
            count > 500,
            "the run meets too few ends of a kind: {total:?}"
        );
    }
}

/// Call with an open stream and some tokens delivered.
fn streaming(mode: Mode, tokens: Range<u32>) -> Bench {
    let mut bench = Bench::new(mode, 3);
    bench.started = 1;
    bench.permits = 1;
    let generation = bench.current();
    bench.event(Event::Granted {
        generation,
        patience: PATIENCE,
    });
    bench.sent();
    bench.event(Event::Opened { generation });
    for index in tokens {
        bench.event(Event::Token { generation, index });
    }
    bench
}

/// Handles an event and returns the actions that follow.
fn answer(bench: &mut Bench, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    bench.call.handle(bench.now_us, event, &mut actions);
    actions
}

#[test]
fn a_stream_with_tokens_goes_on_only_by_a_resume_at_the_next_index() {
    let mut bench = streaming(Mode::Stream, 0..3);
    let generation = bench.current();
    let point = FailurePoint::Body;
    let actions = answer(&mut bench, Event::LinkFailed { generation, point });
    assert_eq!(actions, [Action::DropLink]);
    bench.now_us = bench.call.wake_us();
    let actions = answer(&mut bench, Event::Tick);
    let from = 3;
    assert_eq!(actions, [Action::Resume { from, generation }]);
}

#[test]
fn a_lost_generation_with_tokens_ends_at_once_with_the_delivered_count() {
    let mut bench = streaming(Mode::Stream, 0..3);
    let generation = bench.current();
    let actions = answer(&mut bench, Event::Lost { generation });
    let failure = actions.last();
    assert!(matches!(
        failure,
        Some(Action::Fail(Failure {
            cause: Cause::GenerationLost,
            delivered_tokens: 3,
            outcome: Outcome::Ran,
            ..
        }))
    ));
}

#[test]
fn a_whole_answer_starts_again_after_its_generation_is_lost() {
    let mut bench = streaming(Mode::Whole, 0..3);
    let generation = bench.current();
    let actions = answer(&mut bench, Event::Lost { generation });
    assert!(actions.contains(&Action::Cancel { generation }));
    assert!(actions.contains(&Action::Discard));
    assert_eq!(actions.last(), Some(&Action::AskBudget));
    let actions = answer(&mut bench, Event::BudgetGranted);
    assert_eq!(actions, [Action::Acquire]);
}

#[test]
fn a_revoked_permit_is_given_up_only_before_the_first_token() {
    let mut bench = streaming(Mode::Stream, 0..0);
    let actions = answer(&mut bench, Event::Revoked);
    assert_eq!(actions.last(), Some(&Action::Acquire));
    let mut bench = streaming(Mode::Stream, 0..1);
    assert_eq!(answer(&mut bench, Event::Revoked), []);
}

#[test]
fn a_preempted_generation_is_waited_for_while_its_engine_reports() {
    let mut bench = streaming(Mode::Stream, 0..2);
    let generation = bench.current();
    let status = Status::Preempted;
    for _ in 0..20 {
        bench.now_us += 500_000;
        assert_eq!(answer(&mut bench, Event::Status { generation, status }), []);
        assert_eq!(answer(&mut bench, Event::Tick), []);
    }
    bench.now_us += PATIENCE.silence_us;
    assert_eq!(answer(&mut bench, Event::Tick), [Action::DropLink]);
}

#[test]
fn an_engine_that_reports_running_without_tokens_counts_as_stalled() {
    let mut bench = streaming(Mode::Stream, 0..2);
    let generation = bench.current();
    let status = Status::Running;
    let mut actions = Vec::new();
    while actions.is_empty() {
        bench.now_us += 500_000;
        let _ = answer(&mut bench, Event::Status { generation, status });
        actions = answer(&mut bench, Event::Tick);
    }
    assert_eq!(bench.now_us, PATIENCE.progress_us);
    assert_eq!(actions, [Action::DropLink]);
}

#[test]
fn resumes_that_bring_no_token_are_bounded() {
    let mut bench = streaming(Mode::Stream, 0..2);
    let generation = bench.current();
    let point = FailurePoint::Connect;
    let mut resumes = 0;
    loop {
        let actions = answer(&mut bench, Event::LinkFailed { generation, point });
        if let Some(Action::Fail(failure)) = actions.last() {
            assert_eq!(failure.outcome, Outcome::Ran);
            break;
        }
        bench.now_us = bench.call.wake_us();
        resumes += answer(&mut bench, Event::Tick).len();
    }
    assert_eq!(resumes, 6);
}

#[test]
fn a_wait_that_would_pass_the_deadline_ends_the_call_at_once() {
    let mut bench = streaming(Mode::Stream, 0..2);
    let generation = bench.current();
    bench.now_us = DEADLINE_US - 1;
    let point = FailurePoint::Body;
    let actions = answer(&mut bench, Event::LinkFailed { generation, point });
    assert!(matches!(actions.last(), Some(Action::Fail(_))));
}
