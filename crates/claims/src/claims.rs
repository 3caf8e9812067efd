use std::collections::BTreeMap;

use names::{Incarnation, InstanceName, LogClock, LogIndex};
use serde::{Deserialize, Serialize};

use crate::memory_usage::{MemoryUsage, reserved_bytes};
use crate::settled_claims::{SettledClaim, SettledClaims, SettledState};
use crate::{
    Answer, Attempt, ClaimAnswer, ClaimKey, ClaimLimits, Claimant, Command, Error, RequestDigest,
    SettleAnswer, StoredOutcome,
};

const SNAPSHOT_FORMAT: u8 = 1;

/// Replicated state machine of the claims of one group; see the crate documentation.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claims {
    applied_index: LogIndex,
    limits: ClaimLimits,
    clock: LogClock,
    /// Latest abandoned incarnation of each instance.
    fences: BTreeMap<InstanceName, Fence>,
    in_progress: BTreeMap<ClaimKey, ClaimInProgress>,
    settled: SettledClaims,
    usage: MemoryUsage,
}

/// Refuses new claims of an instance's abandoned incarnations until `expires_ms`.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
struct Fence {
    expires_ms: u64,
    incarnation: Incarnation,
}

/// A claim that is granted and not yet settled or released.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
struct ClaimInProgress {
    attempt: Attempt,
    digest: RequestDigest,
}

impl Claims {
    /// Creates an empty state.
    #[must_use]
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            applied_index: LogIndex::default(),
            limits,
            clock: LogClock::default(),
            fences: BTreeMap::new(),
            in_progress: BTreeMap::new(),
            settled: SettledClaims::default(),
            usage: MemoryUsage::default(),
        }
    }

    /// Decodes the state from the bytes of [`Claims::snapshot`].
    ///
    /// # Errors
    ///
    /// Returns an error if the format is unknown or the bytes do not decode.
    pub fn restore(snapshot: &[u8]) -> Result<Self, Error> {
        let decode_error = |reason: String| Error::SnapshotDecode { reason };
        let (&format, body) = snapshot
            .split_first()
            .ok_or_else(|| decode_error("it is empty".to_owned()))?;
        if format != SNAPSHOT_FORMAT {
            return Err(Error::SnapshotFormat {
                format,
                known: SNAPSHOT_FORMAT,
            });
        }
        postcard::from_bytes(body).map_err(|error| decode_error(error.to_string()))
    }

    /// Advances the clock to the timestamp of a log entry that is not a command.
    ///
    /// The clock counts at most [`CLOCK_STEP_MS_MAX`](names::CLOCK_STEP_MS_MAX) between two entries.
    /// Call it for every such entry, or retention periods become longer.
    pub fn advance(&mut self, timestamp_ms: u64) {
        self.clock.advance(timestamp_ms);
        self.expire();
    }

    /// Applies a command from the log.
    ///
    /// `timestamp_ms` is the leader's time of the log entry, in milliseconds since 1970 in UTC.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not greater than the index of the previous command.
    pub fn apply(&mut self, index: LogIndex, timestamp_ms: u64, command: &Command) -> Answer {
        assert!(
            index > self.applied_index,
            "log entries applied out of order"
        );
        self.applied_index = index;
        self.advance(timestamp_ms);
        let answer = match command {
            Command::Abandon { claimant } => self.abandon(claimant),
            Command::Claim {
                attempt,
                digest,
                key,
            } => Answer::Claim(self.claim(key, *digest, attempt)),
            Command::Finish {
                attempt,
                key,
                outcome,
            } => Answer::Settle(self.finish(key, attempt, outcome)),
            Command::MarkUnknown { attempt, key } => {
                Answer::Settle(self.mark_unknown(key, attempt))
            }
            Command::Release { attempt, key } => Answer::Settle(self.release(key, attempt)),
        };
        self.assert_limits();
        answer
    }

    /// Claimants that have claims in progress, sorted and without duplicates.
    #[must_use]
    pub fn claimants(&self) -> Vec<Claimant> {
        let claims = self.in_progress.values();
        let mut claimants: Vec<Claimant> =
            claims.map(|claim| claim.attempt.claimant.clone()).collect();
        claimants.sort_unstable();
        claimants.dedup();
        claimants
    }

    /// Number of claims in progress.
    #[must_use]
    pub fn in_progress_count(&self) -> usize {
        self.in_progress.len()
    }

    /// Whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of claims, in progress and settled.
    #[must_use]
    pub fn len(&self) -> usize {
        self.in_progress.len() + self.settled.len()
    }

    /// Encodes the whole state.
    ///
    /// # Panics
    ///
    /// Never: every part of the state can be encoded.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let bytes = vec![SNAPSHOT_FORMAT];
        postcard::to_extend(self, bytes).expect("claims can be encoded")
    }

    /// Bytes of keys and outcomes, including space reserved for outcomes.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.usage.total_bytes()
    }

    fn abandon(&mut self, claimant: &Claimant) -> Answer {
        let fence = Fence {
            expires_ms: self.clock.elapsed_ms() + self.limits.retention_ms,
            incarnation: claimant.incarnation,
        };
        let current = self
            .fences
            .entry(claimant.instance.clone())
            .or_insert(fence);
        current.expires_ms = fence.expires_ms;
        current.incarnation = current.incarnation.max(fence.incarnation);
        let is_abandoned = |claim: &ClaimInProgress| {
            let holder = &claim.attempt.claimant;
            holder.instance == claimant.instance && holder.incarnation <= claimant.incarnation
        };
        let abandoned: Vec<(ClaimKey, ClaimInProgress)> = self
            .in_progress
            .extract_if(.., |_, claim| is_abandoned(claim))
            .collect();
        let claims = abandoned.len() as u64;
        for (key, claim) in abandoned {
            self.settle(key, claim.attempt, claim.digest, SettledState::Unknown);
        }
        Answer::Abandon { claims }
    }

    fn assert_limits(&self) {
        let limits = &self.limits;
        assert!(
            self.len() <= limits.claims_max,
            "number of claims exceeds the limit"
        );
        assert!(
            self.usage.total_bytes() <= limits.bytes_max,
            "bytes of claims exceed the limit"
        );
    }

    fn claim(&mut self, key: &ClaimKey, digest: RequestDigest, attempt: &Attempt) -> ClaimAnswer {
        if let Some(claim) = self.in_progress.get(key) {
            return match claim {
                claim if claim.digest != digest => ClaimAnswer::Mismatch,
                claim if claim.attempt == *attempt => ClaimAnswer::Granted,
                _ => ClaimAnswer::InProgress,
            };
        }
        if let Some(claim) = self.settled.get(key) {
            return match &claim.state {
                _ if claim.digest != digest => ClaimAnswer::Mismatch,
                SettledState::Finished(outcome) => ClaimAnswer::Finished(outcome.clone()),
                SettledState::Unknown => ClaimAnswer::Unknown,
            };
        }
        if self.is_fenced(&attempt.claimant) {
            return ClaimAnswer::Fenced;
        }
        let is_full = self.len() >= self.limits.claims_max;
        if is_full || !self.usage.has_capacity(&self.limits, key) {
            let next_expiry_ms = self.settled.next_expiry_ms();
            let retry_after_ms =
                next_expiry_ms.map(|expires_ms| expires_ms - self.clock.elapsed_ms());
            return ClaimAnswer::Full { retry_after_ms };
        }
        let attempt = attempt.clone();
        self.usage.add(key, reserved_bytes(key));
        self.in_progress
            .insert(key.clone(), ClaimInProgress { attempt, digest });
        ClaimAnswer::Granted
    }

    fn expire(&mut self) {
        let now_ms = self.clock.elapsed_ms();
        self.settled.expire(now_ms, &mut self.usage);
        self.fences.retain(|_, fence| fence.expires_ms > now_ms);
    }

    fn finish(
        &mut self,
        key: &ClaimKey,
        attempt: &Attempt,
        outcome: &StoredOutcome,
    ) -> SettleAnswer {
        let finished = || SettledState::Finished(outcome.clone().trim_to_limits());
        if let Some(claim) = self.remove_if_holder(key, attempt) {
            self.settle(key.clone(), claim.attempt, claim.digest, finished());
            return SettleAnswer::Recorded;
        }
        let settled = self
            .settled
            .get(key)
            .filter(|claim| claim.attempt == *attempt);
        match settled {
            Some(SettledClaim {
                digest,
                state: SettledState::Unknown,
                ..
            }) => {
                // The call was considered lost, but its attempt now reports the outcome.
                let digest = *digest;
                self.settle(key.clone(), attempt.clone(), digest, finished());
                SettleAnswer::Recorded
            }
            Some(_) => SettleAnswer::Recorded,
            None => SettleAnswer::NotHolder,
        }
    }

    fn is_fenced(&self, claimant: &Claimant) -> bool {
        let fence = self.fences.get(&claimant.instance);
        fence.is_some_and(|fence| claimant.incarnation <= fence.incarnation)
    }

    fn mark_unknown(&mut self, key: &ClaimKey, attempt: &Attempt) -> SettleAnswer {
        let Some(claim) = self.remove_if_holder(key, attempt) else {
            return SettleAnswer::NotHolder;
        };
        self.settle(
            key.clone(),
            claim.attempt,
            claim.digest,
            SettledState::Unknown,
        );
        SettleAnswer::Recorded
    }

    fn release(&mut self, key: &ClaimKey, attempt: &Attempt) -> SettleAnswer {
        if self.remove_if_holder(key, attempt).is_none() {
            return SettleAnswer::NotHolder;
        }
        self.usage.subtract(key, reserved_bytes(key));
        SettleAnswer::Recorded
    }

    fn remove_if_holder(&mut self, key: &ClaimKey, attempt: &Attempt) -> Option<ClaimInProgress> {
        let is_holder = self.in_progress.get(key)?.attempt == *attempt;
        if !is_holder {
            return None;
        }
        self.in_progress.remove(key)
    }

    fn settle(
        &mut self,
        key: ClaimKey,
        attempt: Attempt,
        digest: RequestDigest,
        state: SettledState,
    ) {
        let expires_ms = self.clock.elapsed_ms() + self.limits.retention_ms;
        self.settled
            .insert(key, attempt, digest, state, expires_ms, &mut self.usage);
    }
}
