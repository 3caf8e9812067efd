//! Checks the state machine of plain service calls, also under random orders of events.

use entry::core::{
    ClaimState, FailurePoint, Outcome, RetryPolicy, ServiceAction, ServiceCall, ServiceEvent,
};
use entry::dependencies::{Refusal, RefusalReason};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const DEADLINE_US: u64 = 10_000_000;

/// One random step; `choice` and `detail` select among the events that are possible.
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

/// Simulation of one service call, its claim and its endpoints that checks invariants at each
/// action.
struct Simulation {
    actions: Vec<ServiceAction>,
    /// Attempts of which a byte may have left the entry.
    attempts_sent: u32,
    call: ServiceCall,
    final_responses: u32,
    held_claims: u32,
    held_permits: u32,
    now_us: u64,
    pending: PendingReply,
    /// Number of attempts that an endpoint may have run.
    possible_runs: u32,
    retry_policy: RetryPolicy,
}

/// Reply that a service call waits for.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
enum PendingReply {
    Budget,
    Claim,
    None,
    Permit,
    Response,
}

impl Simulation {
    fn new(retry_policy: RetryPolicy, seed: u64) -> Self {
        let mut actions = Vec::new();
        let call = ServiceCall::start(retry_policy, DEADLINE_US, seed, &mut actions);
        let mut simulation = Self {
            actions,
            attempts_sent: 0,
            call,
            final_responses: 0,
            held_claims: 0,
            held_permits: 0,
            now_us: 0,
            pending: PendingReply::None,
            possible_runs: 0,
            retry_policy,
        };
        simulation.perform_actions();
        simulation
    }

    fn handle(&mut self, event: ServiceEvent) {
        self.call.handle(self.now_us, event, &mut self.actions);
        self.perform_actions();
    }

    fn perform_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            self.perform_action(action);
        }
    }

    fn perform_action(&mut self, action: ServiceAction) {
        match action {
            ServiceAction::AbandonClaim => {
                assert_eq!(self.pending, PendingReply::Claim);
                self.pending = PendingReply::None;
            }
            ServiceAction::AcquirePermit => {
                assert_eq!(self.held_permits, 0);
                self.pending = PendingReply::Permit;
            }
            ServiceAction::RequestRetry => self.pending = PendingReply::Budget,
            ServiceAction::Claim => self.pending = PendingReply::Claim,
            ServiceAction::Conflict(_) | ServiceAction::ReplayResponse => {
                assert_eq!(
                    self.attempts_sent, 0,
                    "a call whose claim was not granted was sent"
                );
                self.final_responses += 1;
            }
            ServiceAction::CloseConnection => self.pending = PendingReply::None,
            ServiceAction::Fail(failure) => {
                assert_eq!(failure.outcome == Outcome::NotRun, self.possible_runs == 0);
                self.final_responses += 1;
            }
            ServiceAction::MarkClaimUnknown | ServiceAction::StoreResponse => self.held_claims -= 1,
            ServiceAction::Refuse(_) => {
                assert_eq!(self.possible_runs, 0, "a refused call may have run");
                self.final_responses += 1;
            }
            ServiceAction::ReleasePermit { .. } => self.held_permits -= 1,
            ServiceAction::ReleaseClaim => {
                assert_eq!(
                    self.possible_runs, 0,
                    "the claim of a call that may have run is released"
                );
                self.held_claims -= 1;
            }
            ServiceAction::Respond => {
                self.held_permits -= 1;
                self.final_responses += 1;
            }
            ServiceAction::Send => self.pending = PendingReply::Response,
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
            self.handle(ServiceEvent::ClientDisconnected);
            return;
        }
        let pending = self.pending;
        match pending {
            PendingReply::Response => self.reply_to_attempt(step),
            PendingReply::Budget => {
                self.pending = PendingReply::None;
                self.handle(if step.detail < 220 {
                    ServiceEvent::BudgetGranted
                } else {
                    ServiceEvent::BudgetDenied { retry_after_ms: 9 }
                });
            }
            PendingReply::Claim => self.reply_to_claim(step),
            PendingReply::None => {}
            PendingReply::Permit => {
                if step.detail < 20 {
                    return self.handle(ServiceEvent::PermitRefused(Refusal {
                        reason: RefusalReason::QueueFull,
                        retry_after_ms: 4,
                    }));
                }
                self.held_permits += 1;
                self.handle(ServiceEvent::PermitGranted);
            }
        }
    }

    fn reply_to_attempt(&mut self, step: Step) {
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
        self.attempts_sent += u32::from(sent);
        self.possible_runs += u32::from(ran);
        match self.retry_policy {
            RetryPolicy::Claimed => assert!(self.possible_runs <= 1, "a claimed call ran twice"),
            RetryPolicy::Repeatable => {}
            RetryPolicy::SendOnce => {
                assert!(
                    self.attempts_sent <= 1,
                    "a call without a key was sent twice"
                );
            }
        }
        self.handle(event);
    }

    fn reply_to_claim(&mut self, step: Step) {
        let claim = match step.detail {
            0..200 => ClaimState::Granted,
            200..210 => ClaimState::Finished,
            210..220 => ClaimState::InProgress,
            220..230 => ClaimState::Mismatch,
            230..240 => ClaimState::Unknown,
            _ => ClaimState::Unavailable { retry_after_ms: 2 },
        };
        self.held_claims += u32::from(claim == ClaimState::Granted);
        self.pending = PendingReply::None;
        self.handle(ServiceEvent::ClaimAnswered(claim));
    }

    fn tick(&mut self) {
        if self.pending == PendingReply::Response && self.now_us >= DEADLINE_US {
            self.possible_runs += 1;
        }
        self.handle(ServiceEvent::Tick);
        assert!(self.call.is_finished() || self.call.next_tick_us() > self.now_us);
    }
}

fn invariants_hold(choice: u8, seed: u64, steps: Vec<Step>) -> bool {
    let retry_policy = [
        RetryPolicy::Claimed,
        RetryPolicy::Repeatable,
        RetryPolicy::SendOnce,
    ][usize::from(choice % 3)];
    let mut simulation = Simulation::new(retry_policy, seed);
    for step in steps {
        simulation.step(step);
    }
    while !simulation.call.is_finished() {
        simulation.now_us = simulation.now_us.max(simulation.call.next_tick_us());
        simulation.tick();
    }
    assert!(
        simulation.final_responses <= 1,
        "the client gets two final responses"
    );
    assert_eq!(simulation.held_permits, 0, "a permit is still held");
    assert_eq!(simulation.held_claims, 0, "a claim is still held");
    true
}

#[test]
fn invariants_hold_under_random_orders_of_events() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .tests(20_000)
        .quickcheck(invariants_hold as fn(u8, u64, Vec<Step>) -> bool);
}

#[test]
fn call_without_a_key_is_refused_after_the_endpoint_did_not_run_it() {
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
fn claimed_call_continues_after_its_client_disconnects() {
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
