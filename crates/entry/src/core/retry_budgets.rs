//! Retry budgets of customers and endpoints.
//!
//! Each first attempt deposits a part of a retry into the budget of its customer and of its
//! endpoint. A retry withdraws a whole retry from the customer's budget before it requests a
//! permit, and from the endpoint's budget once the endpoint is known. The customer's budget limits
//! the load that retries add when the whole fleet fails, but lets one endpoint in four fail. The
//! endpoint's budget limits the load that healthy endpoints take over from failing ones. New
//! budgets are not empty, so that rare failures of customers with few requests are retried.

use names::{CustomerName, EndpointName};

/// Parts of one retry, the unit in which budgets count.
const PARTS_PER_RETRY: u32 = 10;

/// Deposit of a first attempt into its customer's budget.
const CUSTOMER_DEPOSIT_PARTS: u32 = 3;

/// Deposit of a first attempt into its endpoint's budget.
const ENDPOINT_DEPOSIT_PARTS: u32 = 6;

/// Most retries in a budget.
const RETRIES_MAX: u32 = 20;

/// Retries in a new budget.
const INITIAL_RETRIES: u32 = 5;

/// Most customers, and most endpoints, whose budgets are kept.
const BUDGETS_MAX: usize = 50_000;

/// Token bucket of retries that is filled by first attempts.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct RetryBudget {
    parts: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            parts: INITIAL_RETRIES * PARTS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Adds parts of a retry, up to the budget's limit.
    pub fn deposit(&mut self, parts: u32) {
        self.parts = (self.parts + parts).min(RETRIES_MAX * PARTS_PER_RETRY);
    }

    /// Takes one retry; returns whether the budget had one.
    pub fn withdraw(&mut self) -> bool {
        let has_retry = self.parts >= PARTS_PER_RETRY;
        if has_retry {
            self.parts -= PARTS_PER_RETRY;
        }
        has_retry
    }
}

/// Retry budgets of all customers and endpoints that this entry has served.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    customers: Vec<(CustomerName, RetryBudget)>,
    endpoints: Vec<(EndpointName, RetryBudget)>,
}

impl RetryBudgets {
    /// Deposits for a first attempt of a customer on an endpoint.
    pub fn deposit(&mut self, customer: &CustomerName, endpoint: &EndpointName) {
        budget_mut(&mut self.customers, customer).deposit(CUSTOMER_DEPOSIT_PARTS);
        budget_mut(&mut self.endpoints, endpoint).deposit(ENDPOINT_DEPOSIT_PARTS);
    }

    /// Takes one retry from a customer's budget; returns whether it had one.
    pub fn withdraw_customer(&mut self, customer: &CustomerName) -> bool {
        budget_mut(&mut self.customers, customer).withdraw()
    }

    /// Takes one retry from the budget of the retry's endpoint; returns whether it had one.
    pub fn withdraw_endpoint(&mut self, endpoint: &EndpointName) -> bool {
        budget_mut(&mut self.endpoints, endpoint).withdraw()
    }
}

/// Finds or adds a budget. Removes all budgets if there are too many, which only refills them.
fn budget_mut<'a, N: Clone + Ord>(
    budgets: &'a mut Vec<(N, RetryBudget)>,
    name: &N,
) -> &'a mut RetryBudget {
    if budgets.len() >= BUDGETS_MAX {
        budgets.clear();
    }
    let position = match budgets.binary_search_by(|(known, _)| known.cmp(name)) {
        Ok(position) => position,
        Err(position) => {
            budgets.insert(position, (name.clone(), RetryBudget::default()));
            position
        }
    };
    &mut budgets[position].1
}
