use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::edit::ContentDigest;
use crate::{
    ACCEPTED_OUTCOMES_MAX, ACCEPTED_RETENTION_MS, Edit, EditId, EditOutcome,
    REFUSED_OUTCOMES_BYTES_MAX, REFUSED_OUTCOMES_MAX, REFUSED_RETENTION_MS,
};

/// Outcomes of edits by edit id, stored until the retention of their class ends.
///
/// An outcome is never dropped early: if its class is full, a new edit gets
/// [`EditOutcome::Busy`]. Refused edits count only towards their own class, so a client whose edits
/// are all refused cannot block other clients.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct OutcomeStore {
    accepted: OutcomeClass,
    by_id: BTreeMap<EditId, EncodedOutcome>,
    refused: OutcomeClass,
}

/// Encoded outcome of one edit, with the digest that identifies the same edit.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
struct EncodedOutcome {
    content_digest: ContentDigest,
    bytes: Box<[u8]>,
}

/// Expiry times and total size of the accepted or of the refused outcomes.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
struct OutcomeClass {
    expiries: VecDeque<Expiry>,
    outcome_bytes: usize,
}

/// Time at which the retention of one outcome ends.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
struct Expiry {
    expires_ms: u64,
    edit_id: EditId,
}

impl OutcomeClass {
    fn expire(&mut self, now_ms: u64, by_id: &mut BTreeMap<EditId, EncodedOutcome>) {
        let is_expired = |expiry: &mut Expiry| expiry.expires_ms <= now_ms;
        while let Some(expiry) = self.expiries.pop_front_if(is_expired) {
            let stored = by_id.remove(&expiry.edit_id);
            let stored = stored.expect("every expiry has a stored outcome");
            self.outcome_bytes -= stored.bytes.len();
        }
    }

    fn is_full(&self, outcomes_max: usize, bytes_max: usize) -> bool {
        self.expiries.len() >= outcomes_max || self.outcome_bytes >= bytes_max
    }
}

impl OutcomeStore {
    /// Drops outcomes whose retention has ended.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.accepted.expire(now_ms, &mut self.by_id);
        self.refused.expire(now_ms, &mut self.by_id);
        let expiries = self.accepted.expiries.len() + self.refused.expiries.len();
        assert_eq!(
            self.by_id.len(),
            expiries,
            "numbers of outcomes and expiries differ"
        );
    }

    /// Stored outcome of the edit's id; `IdReused` if the id belongs to an edit with another content.
    pub(crate) fn get(&self, edit: &Edit) -> Option<EditOutcome> {
        let stored = self.by_id.get(&edit.edit_id)?;
        if stored.content_digest != edit.content_digest() {
            return Some(EditOutcome::IdReused);
        }
        let outcome = postcard::from_bytes(&stored.bytes);
        Some(outcome.expect("stored outcomes decode"))
    }

    pub(crate) fn insert(&mut self, now_ms: u64, edit: &Edit, outcome: &EditOutcome) {
        let encoded = postcard::to_allocvec(outcome).expect("outcomes can be encoded");
        let (class, retention_ms) = match outcome {
            EditOutcome::Accepted { .. } => (&mut self.accepted, ACCEPTED_RETENTION_MS),
            _ => (&mut self.refused, REFUSED_RETENTION_MS),
        };
        class.outcome_bytes += encoded.len();
        class.expiries.push_back(Expiry {
            expires_ms: now_ms + retention_ms,
            edit_id: edit.edit_id.clone(),
        });
        let stored = EncodedOutcome {
            content_digest: edit.content_digest(),
            bytes: encoded.into(),
        };
        let previous = self.by_id.insert(edit.edit_id.clone(), stored);
        assert!(
            previous.is_none(),
            "the edit id already has a stored outcome"
        );
    }

    /// Time until the oldest outcome of the class expires; `None` if `outcome` can be stored now.
    pub(crate) fn retry_after_ms(&self, now_ms: u64, outcome: &EditOutcome) -> Option<u64> {
        let (class, outcomes_max, bytes_max) = match outcome {
            EditOutcome::Accepted { .. } => (&self.accepted, ACCEPTED_OUTCOMES_MAX, usize::MAX),
            _ => (
                &self.refused,
                REFUSED_OUTCOMES_MAX,
                REFUSED_OUTCOMES_BYTES_MAX,
            ),
        };
        let is_full = class.is_full(outcomes_max, bytes_max);
        let oldest_expiry = class.expiries.front().filter(|_| is_full)?;
        Some(oldest_expiry.expires_ms - now_ms)
    }
}
