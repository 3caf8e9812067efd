//! One call of a plain service.
//!
//! A call that may not be repeated is sent at most once. It may be tried at another endpoint only
//! after an attempt of which no byte left this instance. Under a claim it may also be tried again
//! after an endpoint said that it did not run it; without a key even that ends the call. A claimed
//! call goes on when its caller leaves, so that its answer is stored.

use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;

use super::{Backoff, Cause, Failure, FailurePoint, Outcome, RetryPolicy, outcome_at};
use crate::dependencies::{PermitEnd, Refusal, RefusalReason};

/// First bound of the delay before a retry.
const RETRY_BASE_US: u64 = 20_000;

/// Last bound of the delay before a retry.
const RETRY_MAX_US: u64 = 1_000_000;

/// When a failed call may be repeated, where nothing better is known.
const RETRY_AFTER_MS: u64 = 1_000;

/// State of a claim, as answered.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum ClaimState {
    /// The call ended before.
    Finished,
    /// This call alone may run.
    Granted,
    /// Another request runs the call.
    InProgress,
    /// The key was used with another request.
    Mismatch,
    /// The claim is not committed.
    Unavailable {
        /// When a repeat may succeed.
        retry_after_ms: u64,
    },
    /// Whether the call ran cannot be known.
    Unknown,
}

/// What the driver of a service call must do.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum ServiceAction {
    /// Wait for the claim's answer in the background, and give back a granted claim.
    AbandonClaim,
    /// Ask for a permit; the answer is `Granted` or `Refused`.
    AcquirePermit,
    /// Ask the budgets for a retry; the answer is `BudgetGranted` or `BudgetDenied`.
    RequestRetry,
    /// Claim the key; the answer is `Claimed`.
    Claim,
    /// Tell the caller what stands in the way of its claim.
    Conflict(ClaimState),
    /// Close the connection to the endpoint.
    CloseConnection,
    /// Give the caller a final error.
    Fail(Failure),
    /// Commit that the outcome of the claim cannot be known.
    MarkClaimUnknown,
    /// Give the caller a final refusal; nothing ran.
    Refuse(Refusal),
    /// End the use of the permit.
    ReleasePermit {
        /// How.
        end: PermitEnd,
    },
    /// Give back the claim; the call did not run.
    ReleaseClaim,
    /// Give the caller the stored answer.
    ReplayResponse,
    /// Give the caller the endpoint's answer and end the use of the permit with it.
    Respond,
    /// Send the call; the answer is `Answered`, `NotRun` or `Failed`.
    Send,
    /// Commit the endpoint's answer under the claim.
    StoreResponse,
}

/// What happened to a service call.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum ServiceEvent {
    /// The endpoint answered.
    Responded,
    /// The budgets allow no retry.
    BudgetDenied {
        /// When a repeat may succeed.
        retry_after_ms: u64,
    },
    /// The budgets allow a retry.
    BudgetGranted,
    /// The caller closed the connection.
    ClientDisconnected,
    /// The claim was answered.
    ClaimAnswered(ClaimState),
    /// The attempt failed.
    AttemptFailed {
        /// Where in its life.
        point: FailurePoint,
    },
    /// A permit was granted.
    PermitGranted,
    /// The endpoint said that it ran nothing.
    NotRun {
        /// When a repeat may succeed.
        retry_after_ms: u64,
    },
    /// The request for a permit was refused.
    PermitRefused(Refusal),
    /// Time went by.
    Tick,
}

/// State machine of one service call.
#[derive(Debug)]
pub struct ServiceCall {
    deadline_us: u64,
    outcome: Outcome,
    repeat: RetryPolicy,
    retries: Backoff,
    /// Times that a byte of the call may have left this instance.
    sends: u32,
    state: State,
}

#[derive(Debug, Clone, Copy, Eq, PartialEq)]
enum State {
    Asking,
    Claiming,
    Over,
    Pausing { until_us: u64 },
    Queued,
    Sent,
}

impl ServiceCall {
    /// Takes an event and appends what follows from it.
    pub fn handle(&mut self, now_us: u64, event: ServiceEvent, actions: &mut Vec<ServiceAction>) {
        match (self.state, event) {
            (State::Over, _) => {}
            (_, ServiceEvent::ClientDisconnected) => self.caller_gone(actions),
            (_, ServiceEvent::Tick) => self.tick(now_us, actions),
            (State::Asking, ServiceEvent::BudgetDenied { retry_after_ms }) => {
                self.give_up(RefusalReason::RetryBudget, retry_after_ms, actions);
            }
            (State::Asking, ServiceEvent::BudgetGranted) => self.retry(now_us, actions),
            (State::Claiming, ServiceEvent::ClaimAnswered(claim)) => self.claimed(claim, actions),
            (State::Queued, ServiceEvent::PermitGranted) => {
                self.state = State::Sent;
                actions.push(ServiceAction::Send);
            }
            (State::Queued, ServiceEvent::PermitRefused(refusal)) => {
                self.give_up(refusal.reason, refusal.retry_after_ms, actions);
            }
            (State::Sent, ServiceEvent::Responded) => self.answered(actions),
            (State::Sent, ServiceEvent::AttemptFailed { point }) => self.failed(point, actions),
            (State::Sent, ServiceEvent::NotRun { retry_after_ms }) => {
                self.not_run(retry_after_ms, actions);
            }
            _ => {}
        }
    }

    /// Whether the caller has its final answer or is gone.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }

    /// Starts a call; asks for its claim or its first permit.
    #[must_use]
    pub fn open(
        repeat: RetryPolicy,
        deadline_us: u64,
        seed: u64,
        actions: &mut Vec<ServiceAction>,
    ) -> Self {
        let (state, action) = match repeat {
            RetryPolicy::Claimed => (State::Claiming, ServiceAction::Claim),
            RetryPolicy::Repeatable | RetryPolicy::SendOnce => {
                (State::Queued, ServiceAction::AcquirePermit)
            }
        };
        actions.push(action);
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        Self {
            deadline_us,
            outcome: Outcome::NotRun,
            repeat,
            retries: Backoff::new(RETRY_BASE_US, RETRY_MAX_US, random),
            sends: 0,
            state,
        }
    }

    /// When the call next wants a tick.
    #[must_use]
    pub fn wake_us(&self) -> u64 {
        match self.state {
            State::Over => u64::MAX,
            State::Pausing { until_us } => until_us.min(self.deadline_us),
            State::Asking | State::Claiming | State::Queued | State::Sent => self.deadline_us,
        }
    }

    fn answered(&mut self, actions: &mut Vec<ServiceAction>) {
        self.count_send();
        self.state = State::Over;
        if self.repeat == RetryPolicy::Claimed {
            actions.push(ServiceAction::StoreResponse);
        }
        actions.push(ServiceAction::Respond);
    }

    fn caller_gone(&mut self, actions: &mut Vec<ServiceAction>) {
        match (self.state, self.repeat) {
            (State::Sent, RetryPolicy::Claimed) => return,
            (State::Claiming, _) => actions.push(ServiceAction::AbandonClaim),
            (State::Sent, _) => {
                actions.push(ServiceAction::CloseConnection);
                actions.push(ServiceAction::ReleasePermit {
                    end: PermitEnd::Cancelled,
                });
            }
            (_, RetryPolicy::Claimed) => actions.push(ServiceAction::ReleaseClaim),
            _ => {}
        }
        self.state = State::Over;
    }

    fn claimed(&mut self, claim: ClaimState, actions: &mut Vec<ServiceAction>) {
        if claim == ClaimState::Granted {
            self.state = State::Queued;
            actions.push(ServiceAction::AcquirePermit);
            return;
        }
        self.state = State::Over;
        actions.push(match claim {
            ClaimState::Finished => ServiceAction::ReplayResponse,
            _ => ServiceAction::Conflict(claim),
        });
    }

    /// Counts an attempt that may have reached an endpoint.
    fn count_send(&mut self) {
        self.sends += 1;
        assert!(
            self.sends == 1 || self.repeat != RetryPolicy::SendOnce,
            "a call that may be sent once was sent again"
        );
    }

    fn fail(&mut self, cause: Cause, actions: &mut Vec<ServiceAction>) {
        self.state = State::Over;
        if self.repeat == RetryPolicy::Claimed {
            actions.push(ServiceAction::MarkClaimUnknown);
        }
        actions.push(ServiceAction::Fail(Failure {
            cause,
            delivered_tokens: 0,
            outcome: self.outcome,
            retry_after_ms: RETRY_AFTER_MS,
        }));
    }

    fn failed(&mut self, point: FailurePoint, actions: &mut Vec<ServiceAction>) {
        let outcome = outcome_at(point);
        self.outcome = self.outcome.max(outcome);
        actions.push(ServiceAction::CloseConnection);
        actions.push(ServiceAction::ReleasePermit {
            end: PermitEnd::Failed,
        });
        if outcome != Outcome::NotRun {
            self.count_send();
        }
        if outcome == Outcome::NotRun || self.repeat == RetryPolicy::Repeatable {
            self.state = State::Asking;
            actions.push(ServiceAction::RequestRetry);
        } else {
            self.fail(Cause::ConnectionFailed, actions);
        }
    }

    /// Ends a call that is not tried again.
    fn give_up(
        &mut self,
        reason: RefusalReason,
        retry_after_ms: u64,
        actions: &mut Vec<ServiceAction>,
    ) {
        if self.outcome != Outcome::NotRun {
            self.fail(Cause::ConnectionFailed, actions);
            return;
        }
        self.state = State::Over;
        if self.repeat == RetryPolicy::Claimed {
            actions.push(ServiceAction::ReleaseClaim);
        }
        actions.push(ServiceAction::Refuse(Refusal {
            reason,
            retry_after_ms,
        }));
    }

    fn not_run(&mut self, retry_after_ms: u64, actions: &mut Vec<ServiceAction>) {
        self.count_send();
        actions.push(ServiceAction::CloseConnection);
        actions.push(ServiceAction::ReleasePermit {
            end: PermitEnd::Refused,
        });
        if self.repeat == RetryPolicy::SendOnce {
            self.give_up(RefusalReason::EndpointRefused, retry_after_ms, actions);
            return;
        }
        self.state = State::Asking;
        actions.push(ServiceAction::RequestRetry);
    }

    fn retry(&mut self, now_us: u64, actions: &mut Vec<ServiceAction>) {
        let is_first = self.retries.attempt() == 0;
        let until_us = now_us + self.retries.delay_us();
        if is_first {
            self.state = State::Queued;
            actions.push(ServiceAction::AcquirePermit);
        } else if until_us < self.deadline_us {
            self.state = State::Pausing { until_us };
        } else {
            self.give_up(RefusalReason::WaitedTooLong, RETRY_AFTER_MS, actions);
        }
    }

    fn tick(&mut self, now_us: u64, actions: &mut Vec<ServiceAction>) {
        if now_us >= self.deadline_us {
            self.time_out(actions);
            return;
        }
        if let State::Pausing { until_us } = self.state
            && now_us >= until_us
        {
            self.state = State::Queued;
            actions.push(ServiceAction::AcquirePermit);
        }
    }

    fn time_out(&mut self, actions: &mut Vec<ServiceAction>) {
        match self.state {
            State::Claiming => {
                self.state = State::Over;
                actions.push(ServiceAction::AbandonClaim);
                actions.push(ServiceAction::Refuse(Refusal {
                    reason: RefusalReason::WaitedTooLong,
                    retry_after_ms: RETRY_AFTER_MS,
                }));
            }
            State::Sent => {
                self.outcome = self.outcome.max(Outcome::Unknown);
                actions.push(ServiceAction::CloseConnection);
                actions.push(ServiceAction::ReleasePermit {
                    end: PermitEnd::Cancelled,
                });
                self.fail(Cause::Deadline, actions);
            }
            _ => self.give_up(RefusalReason::WaitedTooLong, RETRY_AFTER_MS, actions),
        }
    }
}
