use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::memory_usage::{MemoryUsage, reserved_bytes, stored_bytes};
use crate::{Attempt, ClaimKey, RequestDigest, StoredOutcome};

/// A claim that is no longer in progress.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SettledClaim {
    pub(crate) attempt: Attempt,
    pub(crate) digest: RequestDigest,
    pub(crate) state: SettledState,
    expires_ms: u64,
}

#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum SettledState {
    Finished(StoredOutcome),
    /// Its room stays reserved, since the outcome may still come.
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

/// Claims that are no longer in progress, until their retention ends.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SettledClaims {
    by_key: BTreeMap<ClaimKey, SettledClaim>,
    expiries: VecDeque<Expiry>,
}

#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
struct Expiry {
    at_ms: u64,
    key: ClaimKey,
}

impl SettledClaims {
    pub(crate) fn expire(&mut self, now_ms: u64, usage: &mut MemoryUsage) {
        let is_over = |expiry: &mut Expiry| expiry.at_ms <= now_ms;
        while let Some(expiry) = self.expiries.pop_front_if(is_over) {
            // A claim whose outcome came late was given a later expiry.
            let is_current = |claim: &SettledClaim| claim.expires_ms == expiry.at_ms;
            if self.by_key.get(&expiry.key).is_some_and(is_current) {
                let claim = self.by_key.remove(&expiry.key).expect("it was just found");
                usage.release(&expiry.key, claim.state.length_bytes(&expiry.key));
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
        self.expiries.front().map(|expiry| expiry.at_ms)
    }

    /// Settles a claim that held the room for the largest outcome.
    pub(crate) fn insert(
        &mut self,
        key: ClaimKey,
        attempt: Attempt,
        digest: RequestDigest,
        state: SettledState,
        expires_ms: u64,
        usage: &mut MemoryUsage,
    ) {
        usage.release(&key, reserved_bytes(&key));
        usage.take(&key, state.length_bytes(&key));
        self.expiries.push_back(Expiry {
            at_ms: expires_ms,
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
