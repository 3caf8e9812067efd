use std::collections::BTreeMap;

use names::CustomerName;
use serde::{Deserialize, Serialize};

use crate::{ClaimKey, ClaimLimits, StoredOutcome};

/// Memory that a claim takes besides its key and outcome.
const CLAIM_OVERHEAD_BYTES: usize = 544;

/// Bytes of a claim whose outcome may still come.
pub(crate) fn reserved_bytes(key: &ClaimKey) -> usize {
    CLAIM_OVERHEAD_BYTES + key.length_bytes() + StoredOutcome::LENGTH_BYTES_MAX
}

/// Bytes of a claim with its outcome.
pub(crate) fn stored_bytes(key: &ClaimKey, outcome: &StoredOutcome) -> usize {
    CLAIM_OVERHEAD_BYTES + key.length_bytes() + outcome.length_bytes()
}

/// Bytes in use, in all and by customer.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct MemoryUsage {
    bytes: usize,
    by_customer: BTreeMap<CustomerName, usize>,
}

impl MemoryUsage {
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn has_room(&self, bounds: &ClaimLimits, key: &ClaimKey) -> bool {
        let needed_bytes = reserved_bytes(key);
        let customer_bytes = self.by_customer.get(&key.customer).copied();
        let customer_bytes = customer_bytes.unwrap_or_default();
        self.bytes + needed_bytes <= bounds.bytes_max
            && customer_bytes + needed_bytes <= bounds.customer_bytes_max
    }

    pub(crate) fn release(&mut self, key: &ClaimKey, bytes: usize) {
        let held = self.by_customer.get_mut(&key.customer);
        let held = held.expect("a customer with claims has usage");
        assert!(*held >= bytes, "more room released than was taken");
        *held -= bytes;
        self.bytes -= bytes;
        if *held == 0 {
            self.by_customer.remove(&key.customer);
        }
    }

    pub(crate) fn take(&mut self, key: &ClaimKey, bytes: usize) {
        let held = self.by_customer.entry(key.customer.clone()).or_default();
        *held += bytes;
        self.bytes += bytes;
    }
}
