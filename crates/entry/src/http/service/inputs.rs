use super::endpoint_response::EndpointResponse;
use super::{DriverInput, PendingOperation, RETRY_AFTER_MS, ServiceDriver};
use crate::core::{ClaimState, FailurePoint, ServiceEvent};
use crate::dependencies::{ClaimResponse, Permit, PermitEnd, Refusal, RefusalReason};
use crate::http::headers;

impl ServiceDriver {
    pub(super) fn take(&mut self, step: DriverInput) {
        match step {
            DriverInput::EndpointResponse(answer) => {
                self.waiting = PendingOperation::Nothing;
                self.take_answer(answer);
            }
            DriverInput::CallerGone => self.event(ServiceEvent::ClientDisconnected),
            DriverInput::Claim(claimed) => {
                self.waiting = PendingOperation::Nothing;
                self.take_claim(claimed);
            }
            DriverInput::Permit(permit) => {
                self.waiting = PendingOperation::Nothing;
                self.take_permit(permit);
            }
            DriverInput::Tick => self.event(ServiceEvent::Tick),
        }
    }

    fn take_answer(&mut self, answer: Result<Box<EndpointResponse>, FailurePoint>) {
        let answer = match answer {
            Ok(answer) => answer,
            Err(point) => {
                self.event(ServiceEvent::AttemptFailed { point });
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
        self.event(ServiceEvent::Responded);
    }

    fn take_claim(&mut self, claimed: ClaimResponse) {
        let state = match claimed {
            ClaimResponse::Finished(stored) => {
                self.stored = Some(stored);
                ClaimState::Finished
            }
            ClaimResponse::Granted => ClaimState::Granted,
            ClaimResponse::InProgress => ClaimState::InProgress,
            ClaimResponse::Mismatch => ClaimState::Mismatch,
            ClaimResponse::Unavailable { retry_after_ms } => {
                ClaimState::Unavailable { retry_after_ms }
            }
            ClaimResponse::Unknown => ClaimState::Unknown,
        };
        self.event(ServiceEvent::ClaimAnswered(state));
    }

    fn take_permit(&mut self, permit: Result<Box<dyn Permit>, Refusal>) {
        let permit = match permit {
            Ok(permit) => permit,
            Err(refusal) => {
                self.event(ServiceEvent::PermitRefused(refusal));
                return;
            }
        };
        let shared = &self.service.shared;
        self.service
            .observer
            .record_queueing_time(shared.clock.now_us() - self.queued_us);
        let customer = &self.service.permit_request.customer;
        if !self.attempts.admit(shared, customer, permit.endpoint()) {
            permit.finish(PermitEnd::Cancelled, 0);
            self.event(ServiceEvent::PermitRefused(Refusal {
                reason: RefusalReason::RetryBudget,
                retry_after_ms: RETRY_AFTER_MS,
            }));
            return;
        }
        self.permit = Some(permit);
        self.event(ServiceEvent::PermitGranted);
    }
}
