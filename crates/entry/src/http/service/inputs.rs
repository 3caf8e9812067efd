use super::endpoint_response::EndpointResponse;
use super::{DriverInput, PendingOperation, RETRY_AFTER_MS, ServiceDriver};
use crate::core::{ClaimState, FailurePoint, ServiceEvent};
use crate::dependencies::{ClaimResponse, Permit, PermitEnd, Refusal, RefusalReason};
use crate::http::headers;

impl ServiceDriver {
    pub(super) fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::Response(response) => {
                self.pending_operation = PendingOperation::None;
                self.handle_response(response);
            }
            DriverInput::ClientDisconnected => self.handle_event(ServiceEvent::ClientDisconnected),
            DriverInput::Claim(claim_response) => {
                self.pending_operation = PendingOperation::None;
                self.handle_claim_response(claim_response);
            }
            DriverInput::Permit(permit) => {
                self.pending_operation = PendingOperation::None;
                self.handle_permit(permit);
            }
            DriverInput::Tick => self.handle_event(ServiceEvent::Tick),
        }
    }

    fn handle_response(&mut self, response: Result<Box<EndpointResponse>, FailurePoint>) {
        let response = match response {
            Ok(response) => response,
            Err(point) => {
                self.handle_event(ServiceEvent::AttemptFailed { point });
                return;
            }
        };
        let headers = response.exchange.response().headers();
        if headers::reports_not_run(headers) {
            let retry_after_ms = headers::retry_after_ms(headers).unwrap_or(RETRY_AFTER_MS);
            self.handle_event(ServiceEvent::NotRun { retry_after_ms });
            return;
        }
        self.endpoint_response = Some(*response);
        self.handle_event(ServiceEvent::Responded);
    }

    fn handle_claim_response(&mut self, claim_response: ClaimResponse) {
        let state = match claim_response {
            ClaimResponse::Finished(stored) => {
                self.stored_response = Some(stored);
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
        self.handle_event(ServiceEvent::ClaimAnswered(state));
    }

    fn handle_permit(&mut self, permit: Result<Box<dyn Permit>, Refusal>) {
        let permit = match permit {
            Ok(permit) => permit,
            Err(refusal) => {
                self.handle_event(ServiceEvent::PermitRefused(refusal));
                return;
            }
        };
        let shared = &self.task.shared;
        self.task
            .observer
            .record_queueing_time(shared.clock.now_us() - self.permit_requested_us);
        let customer = &self.task.permit_request.customer;
        if !self
            .retry_state
            .count_attempt(shared, customer, permit.endpoint())
        {
            permit.finish(PermitEnd::Cancelled, 0);
            self.handle_event(ServiceEvent::PermitRefused(Refusal {
                reason: RefusalReason::RetryBudget,
                retry_after_ms: RETRY_AFTER_MS,
            }));
            return;
        }
        self.permit = Some(permit);
        self.handle_event(ServiceEvent::PermitGranted);
    }
}
