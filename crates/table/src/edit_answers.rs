use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::edit::ContentDigest;
use crate::{
    ACCEPTED_RETENTION_MS, ANSWERS_ACCEPTED_MAX, ANSWERS_REFUSED_BYTES_MAX, ANSWERS_REFUSED_MAX,
    Edit, EditId, EditOutcome, REFUSED_RETENTION_MS,
};

/// Answers given to edit ids, kept for the retention period of their class.
///
/// An answer is never dropped before its time: where a class is full, edits that would add to it
/// are answered as busy. Refused edits fill only their own class, so that a sender whose edits are
/// all refused cannot keep others from editing.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct EditAnswers {
    accepted: Class,
    by_id: BTreeMap<EditId, Answer>,
    refused: Class,
}

#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
struct Answer {
    content: ContentDigest,
    outcome: Box<[u8]>,
}

#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Class {
    expiries: VecDeque<Expiry>,
    length_bytes: usize,
}

#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
struct Expiry {
    at_ms: u64,
    edit_id: EditId,
}

impl Class {
    fn expire(&mut self, now_ms: u64, by_id: &mut BTreeMap<EditId, Answer>) {
        let is_over = |expiry: &mut Expiry| expiry.at_ms <= now_ms;
        while let Some(expiry) = self.expiries.pop_front_if(is_over) {
            let answer = by_id.remove(&expiry.edit_id);
            let answer = answer.expect("every expiry has an answer");
            self.length_bytes -= answer.outcome.len();
        }
    }

    fn is_full(&self, answers_max: usize, bytes_max: usize) -> bool {
        self.expiries.len() >= answers_max || self.length_bytes >= bytes_max
    }
}

impl EditAnswers {
    /// Drops answers whose retention has ended.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.accepted.expire(now_ms, &mut self.by_id);
        self.refused.expire(now_ms, &mut self.by_id);
        let expiries = self.accepted.expiries.len() + self.refused.expiries.len();
        assert_eq!(self.by_id.len(), expiries, "answers and expiries differ");
    }

    /// The first answer to the edit's id, if it is still kept.
    pub(crate) fn get(&self, edit: &Edit) -> Option<EditOutcome> {
        let answer = self.by_id.get(&edit.edit_id)?;
        if answer.content != edit.content() {
            return Some(EditOutcome::IdReused);
        }
        let outcome = postcard::from_bytes(&answer.outcome);
        Some(outcome.expect("kept answers decode"))
    }

    pub(crate) fn insert(&mut self, now_ms: u64, edit: &Edit, outcome: &EditOutcome) {
        let encoded = postcard::to_allocvec(outcome).expect("outcomes encode without failure");
        let (class, retention_ms) = match outcome {
            EditOutcome::Accepted { .. } => (&mut self.accepted, ACCEPTED_RETENTION_MS),
            _ => (&mut self.refused, REFUSED_RETENTION_MS),
        };
        class.length_bytes += encoded.len();
        class.expiries.push_back(Expiry {
            at_ms: now_ms + retention_ms,
            edit_id: edit.edit_id.clone(),
        });
        let answer = Answer {
            content: edit.content(),
            outcome: encoded.into(),
        };
        let earlier = self.by_id.insert(edit.edit_id.clone(), answer);
        assert!(earlier.is_none(), "an edit id was answered twice");
    }

    /// Time until there is room for `outcome`, where its class is full.
    pub(crate) fn retry_after_ms(&self, now_ms: u64, outcome: &EditOutcome) -> Option<u64> {
        let (class, answers_max, bytes_max) = match outcome {
            EditOutcome::Accepted { .. } => (&self.accepted, ANSWERS_ACCEPTED_MAX, usize::MAX),
            _ => (
                &self.refused,
                ANSWERS_REFUSED_MAX,
                ANSWERS_REFUSED_BYTES_MAX,
            ),
        };
        let is_full = class.is_full(answers_max, bytes_max);
        let oldest = class.expiries.front().filter(|_| is_full)?;
        Some(oldest.at_ms - now_ms)
    }
}
