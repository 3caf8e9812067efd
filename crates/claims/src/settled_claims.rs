use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::memory_usage::{MemoryUsage, reserved_bytes, stored_bytes};
use crate::{Attempt, ClaimKey, RequestDigest, StoredOutcome};

/// A claim that is finished or unknown.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SettledClaim {
    pub(crate) attempt: Attempt,
    pub(crate) digest: RequestDigest,
    pub(crate) state: SettledState,
    expires_ms: u64,
}

/// How a claim was settled.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum SettledState {
    Finished(StoredOutcome),
    /// The space for the outcome stays reserved, since the outcome may still arrive.
    Unknown,
}

impl SettledState {
    fn length_bytes(&self, key: &ClaimKey) -> usize {
        match self {
            Self::Finished(outcome) => stored_bytes(key, outcome),
            Self::Unknown => reserved_bytes(key),
        }
    }
}

/// Finished and unknown claims until their retention ends.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SettledClaims {
    by_key: BTreeMap<ClaimKey, SettledClaim>,
    expiries: VecDeque<Expiry>,
}

/// Time at which the retention of one settled claim ends.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
struct Expiry {
    expires_ms: u64,
    key: ClaimKey,
}

impl SettledClaims {
    pub(crate) fn expire(&mut self, now_ms: u64, usage: &mut MemoryUsage) {
        let is_expired = |expiry: &mut Expiry| expiry.expires_ms <= now_ms;
        while let Some(expiry) = self.expiries.pop_front_if(is_expired) {
            // A claim that became finished after it was unknown has a second, later expiry.
            let is_current = |claim: &SettledClaim| claim.expires_ms == expiry.expires_ms;
            if self.by_key.get(&expiry.key).is_some_and(is_current) {
                let claim = self
                    .by_key
                    .remove(&expiry.key)
                    .expect("the claim was just found");
                usage.subtract(&expiry.key, claim.state.length_bytes(&expiry.key));
            }
        }
    }

    pub(crate) fn get(&self, key: &ClaimKey) -> Option<&SettledClaim> {
        self.by_key.get(key)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(crate) fn next_expiry_ms(&self) -> Option<u64> {
        self.expiries.front().map(|expiry| expiry.expires_ms)
    }

    /// Adds or replaces a settled claim whose usage is that of the largest outcome.
    pub(crate) fn insert(
        &mut self,
        key: ClaimKey,
        attempt: Attempt,
        digest: RequestDigest,
        state: SettledState,
        expires_ms: u64,
        usage: &mut MemoryUsage,
    ) {
        usage.subtract(&key, reserved_bytes(&key));
        usage.add(&key, state.length_bytes(&key));
        self.expiries.push_back(Expiry {
            expires_ms,
            key: key.clone(),
        });
        self.by_key.insert(
            key,
            SettledClaim {
                attempt,
                digest,
                state,
                expires_ms,
            },
        );
    }
}
