use names::LogIndex;

use super::Replica;
use crate::role::RoleState;
use crate::{AppendEntries, AppendResponse, AppendResult, Entry, Member, Message, Payload};

impl Replica {
    pub(super) fn on_append_entries(&mut self, from: Member, append: AppendEntries) {
        let sender = from.clone();
        self.accept_leader(from);
        let confirmation_round = append.confirmation_round;
        let result = self.append_entries_from_leader(append);
        let response = AppendResponse {
            result,
            confirmation_round,
        };
        self.send_when_durable(&sender, Message::AppendResponse(response));
    }

    /// Accepts the sender as the leader of the current term.
    pub(super) fn accept_leader(&mut self, from: Member) {
        assert!(
            !matches!(self.role, RoleState::Leader(_)),
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
        if self.leader.is_none() || !matches!(self.role, RoleState::Follower) {
            self.become_follower(self.hard_state.term, Some(from));
        }
        self.last_leader_message_ms = self.clock.now_ms();
        self.reset_election_deadline();
    }

    pub(super) fn reject_append(&self) -> Message {
        Message::AppendResponse(AppendResponse {
            result: AppendResult::Mismatched {
                hint: self.log.last_index(),
                previous_index: LogIndex(0),
            },
            confirmation_round: 0,
        })
    }

    pub(super) fn advance_follower_commit(&mut self, commit_index: LogIndex) {
        assert!(
            commit_index <= self.log.last_index(),
            "only indexes of the log are committed"
        );
        self.commit_index = self.commit_index.max(commit_index);
    }

    fn append_entries_from_leader(&mut self, append: AppendEntries) -> AppendResult {
        let last = LogIndex(append.previous_index.0 + append.entries.len() as u64);
        if last <= self.commit_index {
            return AppendResult::Matched {
                match_index: self.commit_index,
            };
        }
        if append.previous_index >= self.commit_index
            && self.log.term_at(append.previous_index) != Some(append.previous_term)
        {
            return AppendResult::Mismatched {
                hint: self.match_hint(append.previous_index),
                previous_index: append.previous_index,
            };
        }
        for entry in append.entries {
            self.append_entry_from_leader(entry);
        }
        self.advance_follower_commit(append.commit_index.min(last));
        AppendResult::Matched { match_index: last }
    }

    fn append_entry_from_leader(&mut self, entry: Entry) {
        if entry.index <= self.commit_index {
            return;
        }
        match self.log.entry(entry.index) {
            Some(known) if known.term == entry.term => {
                assert!(
                    !matches!(known.payload, Payload::Membership(_))
                        || known.payload == entry.payload,
                    "entries of one index and term are equal"
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
            first > self.commit_index,
            "committed entries are never truncated: {first} is at or before {}",
            self.commit_index
        );
        self.log.truncate(first);
        self.writes.truncate(first);
    }

    pub(super) fn push(&mut self, entry: Entry) {
        let index = entry.index;
        self.log.push(entry);
        let first = self
            .effects
            .first_new_index
            .map_or(index, |first| first.min(index));
        self.effects.first_new_index = Some(first);
    }

    /// Greatest index before a mismatch at which the logs may match; skips the mismatching term.
    fn match_hint(&self, previous_index: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if previous_index > last {
            return last;
        }
        let mismatched_term = self.log.term_at(previous_index);
        let mut hint = LogIndex(previous_index.0 - 1);
        while hint > self.commit_index && self.log.term_at(hint) == mismatched_term {
            hint = LogIndex(hint.0 - 1);
        }
        hint
    }
}
