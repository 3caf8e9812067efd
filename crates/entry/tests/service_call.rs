//! The core of plain service calls, under any order of events.

use entry::core::{
    ClaimState, FailurePoint, Outcome, RetryPolicy, ServiceAction, ServiceCall, ServiceEvent,
};
use entry::dependencies::{Refusal, RefusalReason};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const DEADLINE_US: u64 = 10_000_000;

#[derive(Debug, Clone, Copy)]
struct Step {
    choice: u8,
    detail: u8,
    wait_us: u64,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            choice: u8::arbitrary(g),
            detail: u8::arbitrary(g),
            wait_us: u64::from(u16::arbitrary(g)) * 10,
        }
    }
}

/// Plays the driver, the claims and the endpoints, and checks each promise as it goes.
struct Bench {
    actions: Vec<ServiceAction>,
    call: ServiceCall,
    claims_held: u32,
    final_answers: u32,
    /// Times that an endpoint may have run the call.
    may_have_run: u32,
    now_us: u64,
    permits: u32,
    repeat: RetryPolicy,
    /// Times that a byte of the call may have left.
    sends: u32,
    waits_for: Waits,
}

#[derive(Debug, Clone, Copy, Eq, PartialEq)]
enum Waits {
    Answer,
    Budget,
    Claim,
    Nothing,
    Permit,
}

impl Bench {
    fn new(repeat: RetryPolicy, seed: u64) -> Self {
        let mut actions = Vec::new();
        let call = ServiceCall::start(repeat, DEADLINE_US, seed, &mut actions);
        let mut bench = Self {
            actions,
            call,
            claims_held: 0,
            final_answers: 0,
            may_have_run: 0,
            now_us: 0,
            permits: 0,
            repeat,
            sends: 0,
            waits_for: Waits::Nothing,
        };
        bench.perform();
        bench
    }

    fn event(&mut self, event: ServiceEvent) {
        self.call.handle(self.now_us, event, &mut self.actions);
        self.perform();
    }

    fn perform(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            self.perform_one(action);
        }
    }

    fn perform_one(&mut self, action: ServiceAction) {
        match action {
            ServiceAction::AbandonClaim => {
                assert_eq!(self.waits_for, Waits::Claim);
                self.waits_for = Waits::Nothing;
            }
            ServiceAction::AcquirePermit => {
                assert_eq!(self.permits, 0);
                self.waits_for = Waits::Permit;
            }
            ServiceAction::RequestRetry => self.waits_for = Waits::Budget,
            ServiceAction::Claim => self.waits_for = Waits::Claim,
            ServiceAction::Conflict(_) | ServiceAction::ReplayResponse => {
                assert_eq!(self.sends, 0, "a call that ran before was sent");
                self.final_answers += 1;
            }
            ServiceAction::CloseConnection => self.waits_for = Waits::Nothing,
            ServiceAction::Fail(failure) => {
                assert_eq!(failure.outcome == Outcome::NotRun, self.may_have_run == 0);
                self.final_answers += 1;
            }
            ServiceAction::MarkClaimUnknown | ServiceAction::StoreResponse => self.claims_held -= 1,
            ServiceAction::Refuse(_) => {
                assert_eq!(self.may_have_run, 0, "a refused call may have run");
                self.final_answers += 1;
            }
            ServiceAction::ReleasePermit { .. } => self.permits -= 1,
            ServiceAction::ReleaseClaim => {
                assert_eq!(self.may_have_run, 0, "a claim is given back after a run");
                self.claims_held -= 1;
            }
            ServiceAction::Respond => {
                self.permits -= 1;
                self.final_answers += 1;
            }
            ServiceAction::Send => self.waits_for = Waits::Answer,
        }
    }

    fn step(&mut self, step: Step) {
        if self.call.is_finished() {
            return;
        }
        self.now_us += step.wait_us;
        if self.now_us >= self.call.next_tick_us() {
            return self.tick();
        }
        if step.choice < 4 {
            self.event(ServiceEvent::ClientDisconnected);
            return;
        }
        let waits_for = self.waits_for;
        match waits_for {
            Waits::Answer => self.answer(step),
            Waits::Budget => {
                self.waits_for = Waits::Nothing;
                self.event(if step.detail < 220 {
                    ServiceEvent::BudgetGranted
                } else {
                    ServiceEvent::BudgetDenied { retry_after_ms: 9 }
                });
            }
            Waits::Claim => self.claim(step),
            Waits::Nothing => {}
            Waits::Permit => {
                if step.detail < 20 {
                    return self.event(ServiceEvent::PermitRefused(Refusal {
                        reason: RefusalReason::QueueFull,
                        retry_after_ms: 4,
                    }));
                }
                self.permits += 1;
                self.event(ServiceEvent::PermitGranted);
            }
        }
    }

    fn answer(&mut self, step: Step) {
        let event = match step.detail {
            0..60 => ServiceEvent::Responded,
            60..110 => ServiceEvent::NotRun { retry_after_ms: 3 },
            _ => ServiceEvent::AttemptFailed {
                point: FailurePoint::ALL[1 + usize::from(step.detail % 6)],
            },
        };
        let (sent, ran) = match event {
            ServiceEvent::AttemptFailed { point } => {
                let sent = point >= FailurePoint::PartlyWritten;
                (sent, sent)
            }
            ServiceEvent::NotRun { .. } => (true, false),
            _ => (true, true),
        };
        self.sends += u32::from(sent);
        self.may_have_run += u32::from(ran);
        match self.repeat {
            RetryPolicy::Claimed => assert!(self.may_have_run <= 1, "a claimed call ran twice"),
            RetryPolicy::Repeatable => {}
            RetryPolicy::SendOnce => {
                assert!(self.sends <= 1, "a call without a key was sent twice");
            }
        }
        self.event(event);
    }

    fn claim(&mut self, step: Step) {
        let claim = match step.detail {
            0..200 => ClaimState::Granted,
            200..210 => ClaimState::Finished,
            210..220 => ClaimState::InProgress,
            220..230 => ClaimState::Mismatch,
            230..240 => ClaimState::Unknown,
            _ => ClaimState::Unavailable { retry_after_ms: 2 },
        };
        self.claims_held += u32::from(claim == ClaimState::Granted);
        self.waits_for = Waits::Nothing;
        self.event(ServiceEvent::ClaimAnswered(claim));
    }

    fn tick(&mut self) {
        if self.waits_for == Waits::Answer && self.now_us >= DEADLINE_US {
            self.may_have_run += 1;
        }
        self.event(ServiceEvent::Tick);
        assert!(self.call.is_finished() || self.call.next_tick_us() > self.now_us);
    }
}

fn promises_hold(choice: u8, seed: u64, steps: Vec<Step>) -> bool {
    let repeat = [
        RetryPolicy::Claimed,
        RetryPolicy::Repeatable,
        RetryPolicy::SendOnce,
    ][usize::from(choice % 3)];
    let mut bench = Bench::new(repeat, seed);
    for step in steps {
        bench.step(step);
    }
    while !bench.call.is_finished() {
        bench.now_us = bench.now_us.max(bench.call.next_tick_us());
        bench.tick();
    }
    assert!(
        bench.final_answers <= 1,
        "the caller gets two final answers"
    );
    assert_eq!(bench.permits, 0, "a permit is kept");
    assert_eq!(bench.claims_held, 0, "a claim is left without an end");
    true
}

#[test]
fn every_promise_holds_under_any_order_of_events() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .tests(20_000)
        .quickcheck(promises_hold as fn(u8, u64, Vec<Step>) -> bool);
}

#[test]
fn a_call_without_a_key_is_not_sent_again_even_after_the_endpoint_refused_it() {
    let mut actions = Vec::new();
    let mut call = ServiceCall::start(RetryPolicy::SendOnce, DEADLINE_US, 1, &mut actions);
    call.handle(1, ServiceEvent::PermitGranted, &mut actions);
    actions.clear();
    call.handle(2, ServiceEvent::NotRun { retry_after_ms: 40 }, &mut actions);
    let refusal = Refusal {
        reason: RefusalReason::EndpointRefused,
        retry_after_ms: 40,
    };
    assert_eq!(actions.last(), Some(&ServiceAction::Refuse(refusal)));
}

#[test]
fn a_claimed_call_goes_on_when_its_caller_leaves() {
    let mut actions = Vec::new();
    let mut call = ServiceCall::start(RetryPolicy::Claimed, DEADLINE_US, 1, &mut actions);
    call.handle(
        1,
        ServiceEvent::ClaimAnswered(ClaimState::Granted),
        &mut actions,
    );
    call.handle(2, ServiceEvent::PermitGranted, &mut actions);
    actions.clear();
    call.handle(3, ServiceEvent::ClientDisconnected, &mut actions);
    assert_eq!(actions, []);
    call.handle(4, ServiceEvent::Responded, &mut actions);
    assert_eq!(
        actions,
        [ServiceAction::StoreResponse, ServiceAction::Respond]
    );
}
