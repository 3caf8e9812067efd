use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    ANSWER_RETENTION_MS, ANSWERS_BYTES_MAX, ANSWERS_MAX, Edit, EditId, EditOutcome, KeyHash,
};

/// Answers given to edit ids, kept for the retention period.
///
/// An answer is never dropped before its time: where the bounds are reached, new edits are refused.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Answers {
    by_id: BTreeMap<EditId, Answer>,
    expiries: VecDeque<Expiry>,
    length_bytes: usize,
}

#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
struct Answer {
    content: KeyHash,
    outcome: Box<[u8]>,
}

#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
struct Expiry {
    at_ms: u64,
    edit_id: EditId,
}

impl Answers {
    /// Drops answers whose retention has ended.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        while let Some(expiry) = self.expiries.pop_front_if(|expiry| expiry.at_ms <= now_ms) {
            let answer = self.by_id.remove(&expiry.edit_id);
            let answer = answer.expect("every expiry has an answer");
            self.length_bytes -= answer.outcome.len();
        }
        assert_eq!(
            self.by_id.len(),
            self.expiries.len(),
            "answers and expiries differ"
        );
    }

    /// The first answer to the edit's id, if it is still kept.
    pub(crate) fn get(&self, edit: &Edit) -> Option<EditOutcome> {
        let answer = self.by_id.get(&edit.edit_id)?;
        if answer.content != edit.digest() {
            return Some(EditOutcome::IdReused);
        }
        let outcome = postcard::from_bytes(&answer.outcome);
        Some(outcome.expect("kept answers decode"))
    }

    pub(crate) fn insert(&mut self, now_ms: u64, edit: &Edit, outcome: &EditOutcome) {
        let outcome = postcard::to_allocvec(outcome).expect("outcomes encode without failure");
        self.length_bytes += outcome.len();
        self.expiries.push_back(Expiry {
            at_ms: now_ms + ANSWER_RETENTION_MS,
            edit_id: edit.edit_id.clone(),
        });
        let answer = Answer {
            content: edit.digest(),
            outcome: outcome.into(),
        };
        let earlier = self.by_id.insert(edit.edit_id.clone(), answer);
        assert!(earlier.is_none(), "an edit id was answered twice");
    }

    /// Time until room is made, where no more answers fit.
    pub(crate) fn retry_after_ms(&self, now_ms: u64) -> Option<u64> {
        let is_full = self.by_id.len() >= ANSWERS_MAX || self.length_bytes >= ANSWERS_BYTES_MAX;
        let oldest = self.expiries.front().filter(|_| is_full)?;
        Some(oldest.at_ms - now_ms)
    }
}
