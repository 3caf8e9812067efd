use names::{CustomerName, EndpointName};

use super::shared_state::SharedState;

/// Where a request stands towards the budgets of retries.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub(crate) enum RetryState {
    /// The next permit is for the first attempt.
    First,
    /// The next permit is for a retry that its customer's budget has paid for.
    Retry,
    /// The last permit was counted.
    Settled,
}

impl RetryState {
    /// Counts the attempt that a permit is for; whether the endpoint's budget allows it.
    pub(crate) fn admit(
        &mut self,
        shared: &SharedState,
        customer: &CustomerName,
        endpoint: &EndpointName,
    ) -> bool {
        let is_allowed = match self {
            Self::First => {
                shared.budgets().deposit(customer, endpoint);
                true
            }
            Self::Retry => shared.budgets().withdraw_endpoint(endpoint),
            Self::Settled => true,
        };
        *self = Self::Settled;
        is_allowed
    }

    /// Takes a retry out of the customer's budget, if it holds one.
    pub(crate) fn retry(&mut self, shared: &SharedState, customer: &CustomerName) -> bool {
        let is_allowed = shared.budgets().withdraw_customer(customer);
        if is_allowed {
            *self = Self::Retry;
        }
        is_allowed
    }
}
