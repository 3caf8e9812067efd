use super::answer::Answer;
use super::{Driver, RETRY_AFTER_MS, Step, Waiting};
use crate::border::{Claimed, End, Permit, Refusal, RefusalReason};
use crate::core::{ClaimState, FailurePoint, ServiceEvent};
use crate::http::headers;

impl Driver {
    pub(super) fn take(&mut self, step: Step) {
        match step {
            Step::Answer(answer) => {
                self.waiting = Waiting::Nothing;
                self.take_answer(answer);
            }
            Step::CallerGone => self.event(ServiceEvent::CallerGone),
            Step::Claim(claimed) => {
                self.waiting = Waiting::Nothing;
                self.take_claim(claimed);
            }
            Step::Permit(permit) => {
                self.waiting = Waiting::Nothing;
                self.take_permit(permit);
            }
            Step::Tick => self.event(ServiceEvent::Tick),
        }
    }

    fn take_answer(&mut self, answer: Result<Box<Answer>, FailurePoint>) {
        let answer = match answer {
            Ok(answer) => answer,
            Err(point) => {
                self.event(ServiceEvent::Failed { point });
                return;
            }
        };
        let headers = answer.exchange.response().headers();
        if headers::says_not_run(headers) {
            let retry_after_ms = headers::retry_after_ms(headers).unwrap_or(RETRY_AFTER_MS);
            self.event(ServiceEvent::NotRun { retry_after_ms });
            return;
        }
        self.answer = Some(*answer);
        self.event(ServiceEvent::Answered);
    }

    fn take_claim(&mut self, claimed: Claimed) {
        let state = match claimed {
            Claimed::Finished(stored) => {
                self.stored = Some(stored);
                ClaimState::Finished
            }
            Claimed::Granted => ClaimState::Granted,
            Claimed::InProgress => ClaimState::InProgress,
            Claimed::Mismatch => ClaimState::Mismatch,
            Claimed::Unavailable { retry_after_ms } => ClaimState::Unavailable { retry_after_ms },
            Claimed::Unknown => ClaimState::Unknown,
        };
        self.event(ServiceEvent::Claimed(state));
    }

    fn take_permit(&mut self, permit: Result<Box<dyn Permit>, Refusal>) {
        let permit = match permit {
            Ok(permit) => permit,
            Err(refusal) => {
                self.event(ServiceEvent::Refused(refusal));
                return;
            }
        };
        let shared = &self.service.shared;
        self.service
            .observer
            .queued(shared.clock.now_us() - self.queued_us);
        let customer = &self.service.permit_request.customer;
        if !self.attempts.admit(shared, customer, permit.endpoint()) {
            permit.finish(End::Cancelled, 0);
            self.event(ServiceEvent::Refused(Refusal {
                reason: RefusalReason::RetryBudget,
                retry_after_ms: RETRY_AFTER_MS,
            }));
            return;
        }
        self.permit = Some(permit);
        self.event(ServiceEvent::Granted);
    }
}
