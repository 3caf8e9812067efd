use std::collections::BTreeMap;

use names::CustomerName;
use serde::{Deserialize, Serialize};

use crate::{ClaimKey, ClaimLimits, StoredOutcome};

/// Memory of a claim beyond its key and outcome.
const CLAIM_OVERHEAD_BYTES: usize = 544;

/// Bytes counted for a claim whose outcome may still arrive.
pub(crate) fn reserved_bytes(key: &ClaimKey) -> usize {
    CLAIM_OVERHEAD_BYTES + key.length_bytes() + StoredOutcome::LENGTH_BYTES_MAX
}

/// Bytes counted for a claim with a stored outcome.
pub(crate) fn stored_bytes(key: &ClaimKey, outcome: &StoredOutcome) -> usize {
    CLAIM_OVERHEAD_BYTES + key.length_bytes() + outcome.length_bytes()
}

/// Bytes of all claims, in total and by customer.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct MemoryUsage {
    total_bytes: usize,
    bytes_by_customer: BTreeMap<CustomerName, usize>,
}

impl MemoryUsage {
    pub(crate) fn add(&mut self, key: &ClaimKey, bytes: usize) {
        let customer_bytes = self
            .bytes_by_customer
            .entry(key.customer.clone())
            .or_default();
        *customer_bytes += bytes;
        self.total_bytes += bytes;
    }

    /// Whether a claim of `key` with the largest outcome is within the limits.
    pub(crate) fn has_capacity(&self, limits: &ClaimLimits, key: &ClaimKey) -> bool {
        let needed_bytes = reserved_bytes(key);
        let customer_bytes = self.bytes_by_customer.get(&key.customer).copied();
        let customer_bytes = customer_bytes.unwrap_or_default();
        self.total_bytes + needed_bytes <= limits.bytes_max
            && customer_bytes + needed_bytes <= limits.customer_bytes_max
    }

    pub(crate) fn subtract(&mut self, key: &ClaimKey, bytes: usize) {
        let customer_bytes = self.bytes_by_customer.get_mut(&key.customer);
        let customer_bytes = customer_bytes.expect("every customer with claims has an entry");
        assert!(
            *customer_bytes >= bytes,
            "more bytes subtracted than were added"
        );
        *customer_bytes -= bytes;
        self.total_bytes -= bytes;
        if *customer_bytes == 0 {
            self.bytes_by_customer.remove(&key.customer);
        }
    }

    pub(crate) fn total_bytes(&self) -> usize {
        self.total_bytes
    }
}
