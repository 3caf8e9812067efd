//! Retry budgets of customers and endpoints.
//!
//! Each first attempt pays a part of a retry into the budget of its customer and of its endpoint.
//! A retry takes a whole one out of the budget of its customer before it asks for a permit, and out
//! of the budget of the endpoint that is to take it once that is known. The customer's budget bounds
//! what a fault of the whole fleet adds to the load; it leaves room for one endpoint in four to fail.
//! The endpoint's budget bounds what sound endpoints must take over from failing ones. Budgets are
//! not empty at rest, so that rare failures of quiet customers are retried.

use names::{CustomerName, EndpointName};

/// Parts of one retry that a budget counts in.
const RETRY_PARTS: u32 = 10;

/// Parts that a first attempt pays into its customer's budget.
const CUSTOMER_PARTS: u32 = 3;

/// Parts that a first attempt pays into its endpoint's budget.
const ENDPOINT_PARTS: u32 = 6;

/// Most retries that a budget holds.
const RETRIES_MAX: u32 = 20;

/// Retries that a new budget holds.
const RETRIES_AT_START: u32 = 5;

/// Most customers or endpoints that are remembered each.
const BUDGETS_MAX: usize = 50_000;

/// Token bucket of retries, filled by first attempts.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct RetryBudget {
    parts: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            parts: RETRIES_AT_START * RETRY_PARTS,
        }
    }
}

impl RetryBudget {
    /// Pays in parts of a retry.
    pub fn deposit(&mut self, parts: u32) {
        self.parts = (self.parts + parts).min(RETRIES_MAX * RETRY_PARTS);
    }

    /// Takes one retry out, if the budget holds one.
    pub fn withdraw(&mut self) -> bool {
        let has_retry = self.parts >= RETRY_PARTS;
        if has_retry {
            self.parts -= RETRY_PARTS;
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
    /// Counts a first attempt of a customer on an endpoint.
    pub fn deposit(&mut self, customer: &CustomerName, endpoint: &EndpointName) {
        entry(&mut self.customers, customer).deposit(CUSTOMER_PARTS);
        entry(&mut self.endpoints, endpoint).deposit(ENDPOINT_PARTS);
    }

    /// Takes a retry out of a customer's budget, if it holds one.
    pub fn withdraw_customer(&mut self, customer: &CustomerName) -> bool {
        entry(&mut self.customers, customer).withdraw()
    }

    /// Takes a retry out of the budget of the endpoint that is to take it, if it holds one.
    pub fn withdraw_endpoint(&mut self, endpoint: &EndpointName) -> bool {
        entry(&mut self.endpoints, endpoint).withdraw()
    }
}

/// Finds or adds a budget; forgets all when there are too many, which only refills them.
fn entry<'a, N: Clone + Ord>(
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
