use names::LogIndex;

use super::Replica;
use crate::role::Role;
use crate::{Append, AppendAnswer, AppendResult, Entry, Member, Message, Payload};

impl Replica {
    pub(super) fn on_append(&mut self, from: Member, append: Append) {
        let sender = from.clone();
        self.follow(from);
        let round = append.round;
        let result = self.take_entries(append);
        let answer = AppendAnswer { result, round };
        self.hold(&sender, Message::AppendAnswer(answer));
    }

    /// Accepts the sender as the leader of the current term.
    pub(super) fn follow(&mut self, from: Member) {
        assert!(
            !matches!(self.role, Role::Leader(_)),
            "two leaders in term {}: this replica and {from}",
            self.hard_state.term
        );
        if let Some(leader) = &self.leader {
            assert_eq!(
                *leader, from,
                "two leaders in term {}",
                self.hard_state.term
            );
        }
        if self.leader.is_none() || !matches!(self.role, Role::Follower) {
            self.become_follower(self.hard_state.term, Some(from));
        }
        self.last_leader_ms = self.clock.now_ms();
        self.reset_election_deadline();
    }

    pub(super) fn refuse_append(&self) -> Message {
        Message::AppendAnswer(AppendAnswer {
            result: AppendResult::Mismatched {
                hint: self.log.last_index(),
                previous_index: LogIndex(0),
            },
            round: 0,
        })
    }

    pub(super) fn advance_follower_commit(&mut self, commit: LogIndex) {
        assert!(
            commit <= self.log.last_index(),
            "only positions of the log are committed"
        );
        self.commit = self.commit.max(commit);
    }

    fn take_entries(&mut self, append: Append) -> AppendResult {
        let last = LogIndex(append.previous_index.0 + append.entries.len() as u64);
        if last <= self.commit {
            return AppendResult::Matched {
                matched: self.commit,
            };
        }
        if append.previous_index >= self.commit
            && self.log.term_at(append.previous_index) != Some(append.previous_term)
        {
            return AppendResult::Mismatched {
                hint: self.match_hint(append.previous_index),
                previous_index: append.previous_index,
            };
        }
        for entry in append.entries {
            self.take_entry(entry);
        }
        self.advance_follower_commit(append.commit.min(last));
        AppendResult::Matched { matched: last }
    }

    fn take_entry(&mut self, entry: Entry) {
        if entry.index <= self.commit {
            return;
        }
        match self.log.entry(entry.index) {
            Some(known) if known.term == entry.term => {
                assert!(
                    !matches!(known.payload, Payload::Membership(_))
                        || known.payload == entry.payload,
                    "entries of one position and term are equal"
                );
            }
            Some(_) => {
                self.truncate(entry.index);
                self.push(entry);
            }
            None => self.push(entry),
        }
    }

    fn truncate(&mut self, first: LogIndex) {
        assert!(
            first > self.commit,
            "committed entries are never truncated: {first} is at or before {}",
            self.commit
        );
        self.log.truncate(first);
        self.writes.truncate(first);
    }

    pub(super) fn push(&mut self, entry: Entry) {
        let index = entry.index;
        self.log.push(entry);
        let first = self
            .draft
            .first_entry
            .map_or(index, |first| first.min(index));
        self.draft.first_entry = Some(first);
    }

    /// Greatest position before a mismatch that may match, skipping the mismatching term.
    fn match_hint(&self, previous_index: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if previous_index > last {
            return last;
        }
        let mismatched = self.log.term_at(previous_index);
        let mut hint = LogIndex(previous_index.0 - 1);
        while hint > self.commit && self.log.term_at(hint) == mismatched {
            hint = LogIndex(hint.0 - 1);
        }
        hint
    }
}
