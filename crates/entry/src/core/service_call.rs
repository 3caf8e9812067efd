//! State machine of one call of a plain service.
//!
//! A call that may not be repeated is sent at most once. It is retried only after an attempt of
//! which no byte left this instance. A claimed call is also retried after an endpoint said that it
//! did not run it; a call without a key ends then. A claimed call continues when its client
//! disconnects, so that its response is stored.

use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;

use super::{Backoff, CallFailure, FailureCause, FailurePoint, Outcome, RetryPolicy, outcome_at};
use crate::dependencies::{PermitEnd, Refusal, RefusalReason};

/// Initial bound of the delay before a retry.
const RETRY_DELAY_BASE_US: u64 = 20_000;

/// Largest bound of the delay before a retry.
const RETRY_DELAY_MAX_US: u64 = 1_000_000;

/// Time after which a client may retry, if no better time is known.
const RETRY_AFTER_DEFAULT_MS: u64 = 1_000;

/// Result of a request to claim an idempotency key, without the stored response.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum ClaimState {
    /// The call of an earlier request has ended and its response is stored.
    Finished,
    /// The claim is committed and only this call may run.
    Granted,
    /// Another request runs the call.
    InProgress,
    /// The key was used with another request.
    Mismatch,
    /// The claim is certainly not committed.
    Unavailable {
        /// Time after which a retry may succeed.
        retry_after_ms: u64,
    },
    /// Whether an earlier call ran cannot be known.
    Unknown,
}

/// Action that the HTTP modules perform for a [`ServiceCall`].
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum ServiceAction {
    /// Wait for the claim in the background, and release it if it is granted.
    AbandonClaim,
    /// Request a permit; answered by `PermitGranted` or `PermitRefused`.
    AcquirePermit,
    /// Claim the idempotency key; answered by `ClaimAnswered`.
    Claim,
    /// Close the connection to the endpoint.
    CloseConnection,
    /// Send the client the reason why its claim was not granted.
    Conflict(ClaimState),
    /// Send the client a final error.
    Fail(CallFailure),
    /// Commit that the outcome of the claimed call cannot be known.
    MarkClaimUnknown,
    /// Send the client a final refusal; nothing ran.
    Refuse(Refusal),
    /// Release the claim of a call that did not run.
    ReleaseClaim,
    /// Release the permit.
    ReleasePermit {
        /// How the use of the permit ended.
        end: PermitEnd,
    },
    /// Send the client the stored response of an earlier request.
    ReplayResponse,
    /// Withdraw a retry from the retry budgets; answered by `BudgetGranted` or `BudgetDenied`.
    RequestRetry,
    /// Send the endpoint's response to the client, and release the permit at its end.
    Respond,
    /// Send the call; answered by `Responded`, `NotRun` or `AttemptFailed`.
    Send,
    /// Commit the endpoint's response under the claim.
    StoreResponse,
}

/// Input of a [`ServiceCall`].
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum ServiceEvent {
    /// The attempt failed.
    AttemptFailed {
        /// Point of the attempt at which it failed.
        point: FailurePoint,
    },
    /// The retry budgets do not allow a retry.
    BudgetDenied {
        /// Time after which a retry may succeed.
        retry_after_ms: u64,
    },
    /// The retry budgets allow a retry.
    BudgetGranted,
    /// The claim store responded.
    ClaimAnswered(ClaimState),
    /// The client closed its connection.
    ClientDisconnected,
    /// The endpoint said that it did not run the call.
    NotRun {
        /// Time after which a retry may succeed.
        retry_after_ms: u64,
    },
    /// A permit was granted.
    PermitGranted,
    /// The request for a permit was refused.
    PermitRefused(Refusal),
    /// The endpoint sent a response.
    Responded,
    /// A timer fired; the current time may have passed a timeout.
    Tick,
}

/// State machine that sends one call of a plain service, with retries.
#[derive(Debug)]
pub struct ServiceCall {
    /// Attempts of which a byte may have left this instance.
    attempts_sent: u32,
    deadline_us: u64,
    retry_backoff: Backoff,
    retry_policy: RetryPolicy,
    state: State,
    /// Worst outcome of the attempts that have ended.
    worst_outcome: Outcome,
}

/// State of a service call.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
enum State {
    AwaitingBudget,
    AwaitingClaim,
    AwaitingPermit,
    AwaitingResponse,
    /// Delays the request for another permit.
    BackingOff {
        until_us: u64,
    },
    Finished,
}

impl ServiceCall {
    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now_us: u64, event: ServiceEvent, actions: &mut Vec<ServiceAction>) {
        match (self.state, event) {
            (State::Finished, _) => {}
            (_, ServiceEvent::ClientDisconnected) => self.handle_disconnect(actions),
            (_, ServiceEvent::Tick) => self.handle_tick(now_us, actions),
            (State::AwaitingBudget, ServiceEvent::BudgetDenied { retry_after_ms }) => {
                self.give_up(RefusalReason::RetryBudget, retry_after_ms, actions);
            }
            (State::AwaitingBudget, ServiceEvent::BudgetGranted) => {
                self.handle_budget_granted(now_us, actions);
            }
            (State::AwaitingClaim, ServiceEvent::ClaimAnswered(claim)) => {
                self.handle_claim_answered(claim, actions);
            }
            (State::AwaitingPermit, ServiceEvent::PermitGranted) => {
                self.state = State::AwaitingResponse;
                actions.push(ServiceAction::Send);
            }
            (State::AwaitingPermit, ServiceEvent::PermitRefused(refusal)) => {
                self.give_up(refusal.reason, refusal.retry_after_ms, actions);
            }
            (State::AwaitingResponse, ServiceEvent::Responded) => self.handle_response(actions),
            (State::AwaitingResponse, ServiceEvent::AttemptFailed { point }) => {
                self.handle_attempt_failed(point, actions);
            }
            (State::AwaitingResponse, ServiceEvent::NotRun { retry_after_ms }) => {
                self.handle_not_run(retry_after_ms, actions);
            }
            _ => {}
        }
    }

    /// Whether the client has its final response or has disconnected.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Returns when the call needs a `Tick`.
    #[must_use]
    pub fn next_tick_us(&self) -> u64 {
        match self.state {
            State::Finished => u64::MAX,
            State::BackingOff { until_us } => until_us.min(self.deadline_us),
            State::AwaitingBudget
            | State::AwaitingClaim
            | State::AwaitingPermit
            | State::AwaitingResponse => self.deadline_us,
        }
    }

    /// Starts a call and requests its claim or its first permit.
    #[must_use]
    pub fn start(
        retry_policy: RetryPolicy,
        deadline_us: u64,
        seed: u64,
        actions: &mut Vec<ServiceAction>,
    ) -> Self {
        let (state, action) = match retry_policy {
            RetryPolicy::Claimed => (State::AwaitingClaim, ServiceAction::Claim),
            RetryPolicy::Repeatable | RetryPolicy::SendOnce => {
                (State::AwaitingPermit, ServiceAction::AcquirePermit)
            }
        };
        actions.push(action);
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        Self {
            attempts_sent: 0,
            deadline_us,
            retry_backoff: Backoff::new(RETRY_DELAY_BASE_US, RETRY_DELAY_MAX_US, random),
            retry_policy,
            state,
            worst_outcome: Outcome::NotRun,
        }
    }

    /// Counts an attempt of which a byte may have left this instance.
    fn count_attempt(&mut self) {
        self.attempts_sent += 1;
        assert!(
            self.attempts_sent == 1 || self.retry_policy != RetryPolicy::SendOnce,
            "a call that may be sent once was sent again"
        );
    }

    fn fail(&mut self, cause: FailureCause, actions: &mut Vec<ServiceAction>) {
        self.state = State::Finished;
        if self.retry_policy == RetryPolicy::Claimed {
            actions.push(ServiceAction::MarkClaimUnknown);
        }
        actions.push(ServiceAction::Fail(CallFailure {
            cause,
            delivered_tokens: 0,
            outcome: self.worst_outcome,
            retry_after_ms: RETRY_AFTER_DEFAULT_MS,
        }));
    }

    /// Ends a call without a further attempt: refuses it if it did not run, otherwise fails it.
    fn give_up(
        &mut self,
        reason: RefusalReason,
        retry_after_ms: u64,
        actions: &mut Vec<ServiceAction>,
    ) {
        if self.worst_outcome != Outcome::NotRun {
            self.fail(FailureCause::ConnectionFailed, actions);
            return;
        }
        self.state = State::Finished;
        if self.retry_policy == RetryPolicy::Claimed {
            actions.push(ServiceAction::ReleaseClaim);
        }
        actions.push(ServiceAction::Refuse(Refusal {
            reason,
            retry_after_ms,
        }));
    }

    fn handle_attempt_failed(&mut self, point: FailurePoint, actions: &mut Vec<ServiceAction>) {
        let outcome = outcome_at(point);
        self.worst_outcome = self.worst_outcome.max(outcome);
        actions.push(ServiceAction::CloseConnection);
        actions.push(ServiceAction::ReleasePermit {
            end: PermitEnd::Failed,
        });
        if outcome != Outcome::NotRun {
            self.count_attempt();
        }
        if outcome == Outcome::NotRun || self.retry_policy == RetryPolicy::Repeatable {
            self.state = State::AwaitingBudget;
            actions.push(ServiceAction::RequestRetry);
        } else {
            self.fail(FailureCause::ConnectionFailed, actions);
        }
    }

    fn handle_budget_granted(&mut self, now_us: u64, actions: &mut Vec<ServiceAction>) {
        let is_first = self.retry_backoff.attempts() == 0;
        let until_us = now_us + self.retry_backoff.delay_us();
        if is_first {
            self.state = State::AwaitingPermit;
            actions.push(ServiceAction::AcquirePermit);
        } else if until_us < self.deadline_us {
            self.state = State::BackingOff { until_us };
        } else {
            self.give_up(
                RefusalReason::WaitedTooLong,
                RETRY_AFTER_DEFAULT_MS,
                actions,
            );
        }
    }

    fn handle_claim_answered(&mut self, claim: ClaimState, actions: &mut Vec<ServiceAction>) {
        if claim == ClaimState::Granted {
            self.state = State::AwaitingPermit;
            actions.push(ServiceAction::AcquirePermit);
            return;
        }
        self.state = State::Finished;
        actions.push(match claim {
            ClaimState::Finished => ServiceAction::ReplayResponse,
            _ => ServiceAction::Conflict(claim),
        });
    }

    fn handle_disconnect(&mut self, actions: &mut Vec<ServiceAction>) {
        match (self.state, self.retry_policy) {
            (State::AwaitingResponse, RetryPolicy::Claimed) => return,
            (State::AwaitingClaim, _) => actions.push(ServiceAction::AbandonClaim),
            (State::AwaitingResponse, _) => {
                actions.push(ServiceAction::CloseConnection);
                actions.push(ServiceAction::ReleasePermit {
                    end: PermitEnd::Cancelled,
                });
            }
            (_, RetryPolicy::Claimed) => actions.push(ServiceAction::ReleaseClaim),
            _ => {}
        }
        self.state = State::Finished;
    }

    fn handle_not_run(&mut self, retry_after_ms: u64, actions: &mut Vec<ServiceAction>) {
        self.count_attempt();
        actions.push(ServiceAction::CloseConnection);
        actions.push(ServiceAction::ReleasePermit {
            end: PermitEnd::Refused,
        });
        if self.retry_policy == RetryPolicy::SendOnce {
            self.give_up(RefusalReason::EndpointRefused, retry_after_ms, actions);
            return;
        }
        self.state = State::AwaitingBudget;
        actions.push(ServiceAction::RequestRetry);
    }

    fn handle_response(&mut self, actions: &mut Vec<ServiceAction>) {
        self.count_attempt();
        self.state = State::Finished;
        if self.retry_policy == RetryPolicy::Claimed {
            actions.push(ServiceAction::StoreResponse);
        }
        actions.push(ServiceAction::Respond);
    }

    fn handle_tick(&mut self, now_us: u64, actions: &mut Vec<ServiceAction>) {
        if now_us >= self.deadline_us {
            self.time_out(actions);
            return;
        }
        if let State::BackingOff { until_us } = self.state
            && now_us >= until_us
        {
            self.state = State::AwaitingPermit;
            actions.push(ServiceAction::AcquirePermit);
        }
    }

    fn time_out(&mut self, actions: &mut Vec<ServiceAction>) {
        match self.state {
            State::AwaitingClaim => {
                self.state = State::Finished;
                actions.push(ServiceAction::AbandonClaim);
                actions.push(ServiceAction::Refuse(Refusal {
                    reason: RefusalReason::WaitedTooLong,
                    retry_after_ms: RETRY_AFTER_DEFAULT_MS,
                }));
            }
            State::AwaitingResponse => {
                self.worst_outcome = self.worst_outcome.max(Outcome::Unknown);
                actions.push(ServiceAction::CloseConnection);
                actions.push(ServiceAction::ReleasePermit {
                    end: PermitEnd::Cancelled,
                });
                self.fail(FailureCause::Deadline, actions);
            }
            _ => self.give_up(
                RefusalReason::WaitedTooLong,
                RETRY_AFTER_DEFAULT_MS,
                actions,
            ),
        }
    }
}
