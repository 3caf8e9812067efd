use names::{CustomerName, EndpointName};

use super::shared_state::SharedState;

/// Which attempt of a request the next permit is for, as the retry budgets count it.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub(crate) enum RetryState {
    /// The attempt of the last permit was counted; no retry was granted since.
    Counted,
    /// The next permit is for the first attempt.
    FirstAttempt,
    /// The next permit is for a retry, already withdrawn from the customer's budget.
    RetryGranted,
}

impl RetryState {
    /// Counts the attempt that a permit is for; false if the endpoint's budget refuses the retry.
    pub(crate) fn count_attempt(
        &mut self,
        shared: &SharedState,
        customer: &CustomerName,
        endpoint: &EndpointName,
    ) -> bool {
        let is_allowed = match self {
            Self::FirstAttempt => {
                shared.retry_budgets().deposit(customer, endpoint);
                true
            }
            Self::RetryGranted => shared.retry_budgets().withdraw_endpoint(endpoint),
            Self::Counted => true,
        };
        *self = Self::Counted;
        is_allowed
    }

    /// Withdraws a retry from the customer's budget; false if the budget is spent.
    pub(crate) fn request_retry(&mut self, shared: &SharedState, customer: &CustomerName) -> bool {
        let is_allowed = shared.retry_budgets().withdraw_customer(customer);
        if is_allowed {
            *self = Self::RetryGranted;
        }
        is_allowed
    }
}
