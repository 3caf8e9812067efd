//! At-most-once claims for the entry, stored in the replicated log.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use claims::{
    Attempt, ClaimAnswer, ClaimKey, Claimant, IdempotencyKey, RequestDigest, SettleAnswer,
    StoredBody, StoredOutcome,
};
use entry::dependencies::{
    ClaimError, ClaimRequest, ClaimResponse, ClaimStore, StoredHeader, StoredResponse,
};
use names::RequestId;

use crate::leader_client::LeaderCallError;
use crate::proposer::Proposer;
use crate::state::{Answer, Command};

/// Retry delay for a claim that could not be committed.
const RETRY_AFTER_MS: u64 = 1_000;

/// Claims of this incarnation of the instance.
pub(crate) struct ReplicatedClaims {
    claimant: Claimant,
    /// Granted claims that are not settled, sorted by key.
    granted: Mutex<Vec<(ClaimKey, RequestId)>>,
    last_request: AtomicU64,
    proposer: Arc<Proposer>,
}

impl ReplicatedClaims {
    pub(crate) fn new(claimant: Claimant, proposer: &Arc<Proposer>) -> Self {
        Self {
            claimant,
            granted: Mutex::new(Vec::new()),
            last_request: AtomicU64::new(0),
            proposer: Arc::clone(proposer),
        }
    }

    fn attempt(&self, request: RequestId) -> Attempt {
        Attempt {
            claimant: self.claimant.clone(),
            request,
        }
    }

    fn record_granted(&self, key: &ClaimKey, request: RequestId) {
        let mut granted = self.lock();
        match granted.binary_search_by(|(known, _)| known.cmp(key)) {
            Ok(position) => granted[position].1 = request,
            Err(position) => granted.insert(position, (key.clone(), request)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(ClaimKey, RequestId)>> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes a granted claim and returns its attempt.
    fn remove_attempt(&self, key: &ClaimKey) -> Option<Attempt> {
        let mut granted = self.lock();
        let position = granted.binary_search_by(|(known, _)| known.cmp(key)).ok()?;
        let (_, request) = granted.remove(position);
        Some(self.attempt(request))
    }

    async fn settle(&self, command: claims::Command) -> Result<SettleAnswer, ClaimError> {
        match self.proposer.propose(&Command::Claim(command)).await {
            Ok(Answer::Claim(claims::Answer::Settle(answer))) => Ok(answer),
            Ok(_) | Err(_) => Err(ClaimError::NoQuorum),
        }
    }
}

#[async_trait]
impl ClaimStore for ReplicatedClaims {
    async fn claim(&self, request: &ClaimRequest) -> ClaimResponse {
        let Some(key) = claim_key(request) else {
            return ClaimResponse::Unavailable {
                retry_after_ms: RETRY_AFTER_MS,
            };
        };
        let request_id = RequestId(self.last_request.fetch_add(1, Ordering::Relaxed) + 1);
        let command = claims::Command::Claim {
            attempt: self.attempt(request_id),
            digest: RequestDigest(request.digest),
            key: key.clone(),
        };
        match self.proposer.propose(&Command::Claim(command)).await {
            Ok(Answer::Claim(claims::Answer::Claim(answer))) => {
                if answer == ClaimAnswer::Granted {
                    self.record_granted(&key, request_id);
                }
                claim_response(answer)
            }
            Ok(_) | Err(LeaderCallError::Unknown) => ClaimResponse::Unknown,
            Err(LeaderCallError::NotExecuted) => ClaimResponse::Unavailable {
                retry_after_ms: RETRY_AFTER_MS,
            },
        }
    }

    async fn finish(
        &self,
        request: &ClaimRequest,
        response: StoredResponse,
    ) -> Result<(), ClaimError> {
        let key = claim_key(request).ok_or(ClaimError::NotHeld)?;
        let attempt = self.remove_attempt(&key).ok_or(ClaimError::NotHeld)?;
        let outcome = stored_outcome(response);
        let settled = self.settle(claims::Command::Finish {
            attempt,
            key,
            outcome,
        });
        match settled.await? {
            SettleAnswer::Recorded => Ok(()),
            SettleAnswer::NotHolder => Err(ClaimError::NotHeld),
        }
    }

    async fn mark_unknown(&self, request: &ClaimRequest) {
        let Some(key) = claim_key(request) else {
            return;
        };
        if let Some(attempt) = self.remove_attempt(&key) {
            // If this cannot be committed, the claim stays in progress until the instance stops.
            let _ = self
                .settle(claims::Command::MarkUnknown { attempt, key })
                .await;
        }
    }

    async fn release(&self, request: &ClaimRequest) {
        let Some(key) = claim_key(request) else {
            return;
        };
        if let Some(attempt) = self.remove_attempt(&key) {
            // If this cannot be committed, the claim stays in progress until the instance stops.
            let _ = self.settle(claims::Command::Release { attempt, key }).await;
        }
    }
}

fn claim_response(answer: ClaimAnswer) -> ClaimResponse {
    match answer {
        ClaimAnswer::Finished(outcome) => ClaimResponse::Finished(stored_response(outcome)),
        ClaimAnswer::Granted => ClaimResponse::Granted,
        ClaimAnswer::InProgress => ClaimResponse::InProgress,
        ClaimAnswer::Mismatch => ClaimResponse::Mismatch,
        ClaimAnswer::Fenced | ClaimAnswer::Unknown => ClaimResponse::Unknown,
        ClaimAnswer::Full { retry_after_ms } => ClaimResponse::Unavailable {
            retry_after_ms: retry_after_ms.unwrap_or(RETRY_AFTER_MS),
        },
    }
}

fn stored_response(outcome: StoredOutcome) -> StoredResponse {
    let headers = outcome.headers.into_iter().map(|header| StoredHeader {
        name: header.name,
        value: Bytes::from(header.value),
    });
    StoredResponse {
        body: match outcome.body {
            StoredBody::Kept(body) => Some(Bytes::from(body)),
            StoredBody::TooLong { .. } => None,
        },
        headers: headers.collect(),
        status: outcome.status,
    }
}

fn claim_key(request: &ClaimRequest) -> Option<ClaimKey> {
    Some(ClaimKey {
        customer: request.customer.clone(),
        idempotency_key: IdempotencyKey::new(&request.key).ok()?,
    })
}

fn stored_outcome(response: StoredResponse) -> StoredOutcome {
    let headers = response
        .headers
        .into_iter()
        .map(|header| claims::StoredHeader {
            name: header.name,
            value: header.value.to_vec(),
        });
    StoredOutcome {
        body: match response.body {
            Some(body) => StoredBody::Kept(body.to_vec()),
            None => StoredBody::TooLong { length_bytes: 0 },
        },
        headers: headers.collect(),
        status: response.status,
    }
    .trim_to_limits()
}
