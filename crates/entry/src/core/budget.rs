//! Budgets of retries.
//!
//! Each first attempt pays a part of a retry into the budget of its customer and of its endpoint;
//! each retry takes a whole one out of both. While every attempt fails, retries therefore add at
//! most that part to the load. The bounds are a little above zero at rest, so that rare failures
//! of quiet customers are retried.

use names::{CustomerName, EndpointName};

/// Parts of one retry that a budget counts in.
const RETRY_PARTS: u32 = 10;

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
    /// Pays in for one first attempt.
    pub fn deposit(&mut self) {
        self.parts = (self.parts + 1).min(RETRIES_MAX * RETRY_PARTS);
    }

    /// Whether a retry can be taken out.
    #[must_use]
    pub fn has_retry(&self) -> bool {
        self.parts >= RETRY_PARTS
    }

    /// Takes one retry out.
    ///
    /// # Panics
    ///
    /// The budget holds none.
    pub fn withdraw(&mut self) {
        assert!(self.has_retry(), "a retry was taken from an empty budget");
        self.parts -= RETRY_PARTS;
    }
}

/// Budgets of all customers and endpoints that this entry has served.
#[derive(Debug, Default)]
pub struct Budgets {
    customers: Vec<(CustomerName, RetryBudget)>,
    endpoints: Vec<(EndpointName, RetryBudget)>,
}

impl Budgets {
    /// Counts a first attempt of a customer on an endpoint.
    pub fn deposit(&mut self, customer: &CustomerName, endpoint: &EndpointName) {
        entry(&mut self.customers, customer).deposit();
        entry(&mut self.endpoints, endpoint).deposit();
    }

    /// Takes a retry from both budgets, or from none.
    pub fn withdraw(&mut self, customer: &CustomerName, endpoint: &EndpointName) -> bool {
        let endpoint = entry(&mut self.endpoints, endpoint);
        let customer = entry(&mut self.customers, customer);
        if !endpoint.has_retry() || !customer.has_retry() {
            return false;
        }
        endpoint.withdraw();
        customer.withdraw();
        true
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
