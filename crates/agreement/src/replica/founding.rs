use names::{InstanceName, LogIndex};

use super::Replica;
use crate::{
    Entry, Envelope, HardState, Hello, Introduction, Member, Membership, Message, Output, Payload,
    Standing, Term,
};

/// Most instances remembered that introduced themselves.
const INTRODUCTIONS_MAX: usize = 64;

/// Introductions count for founding for this many election timeouts.
const INTRODUCTION_TIMEOUTS: u64 = 4;

/// A replica that introduced itself.
#[derive(Debug)]
pub(super) struct KnownReplica {
    at_ms: u64,
    member: Member,
    standing: Standing,
}

impl Replica {
    /// Introduces this replica, and founds the group once every initial voter is known blank.
    pub(super) fn introduce(&mut self) {
        let standing = if self.is_blank() {
            Standing::Blank
        } else {
            Standing::Outsider
        };
        if self.clock.now_ms() >= self.next_hello_ms {
            self.next_hello_ms = self.clock.now_ms() + self.settings.election_timeout_ms / 2;
            for name in self.hello_targets() {
                self.send_hello(name, standing);
            }
        }
        if standing == Standing::Blank
            && let Some(voters) = self.founding_voters()
        {
            self.found(voters);
        }
    }

    pub(super) fn on_hello(&mut self, from: Member, hello: &Hello) {
        self.met_founded |= hello.standing != Standing::Blank;
        let agrees = hello.initial_voters == self.sorted_initial_voters();
        let standing = match hello.standing {
            Standing::Blank if !agrees => Standing::Outsider,
            Standing::Settled => return,
            standing => standing,
        };
        let name = from.name.clone();
        self.pass_on(from, standing);
        if !self.is_blank() {
            self.send_hello(name, Standing::Settled);
        }
    }

    pub(super) fn on_introduction(&mut self, introduction: Introduction) {
        self.remember(introduction.member, introduction.standing);
    }

    fn sorted_initial_voters(&self) -> Vec<InstanceName> {
        let mut names = self.settings.initial_voters.clone();
        names.sort();
        names
    }

    /// Initial voters, and the members that this replica knows.
    fn hello_targets(&self) -> Vec<InstanceName> {
        let members = self.log.membership().members();
        let mut names = self.settings.initial_voters.clone();
        names.extend(members.map(|member| member.name.clone()));
        names.sort();
        names.dedup();
        names
    }

    /// Replicas lately introduced that are no members with their present storage.
    pub(super) fn non_members(&self) -> Vec<Member> {
        let membership = self.log.membership();
        let oldest_ms = self.oldest_introduction_ms();
        self.introductions
            .iter()
            .filter(|introduction| introduction.at_ms >= oldest_ms)
            .map(|introduction| &introduction.member)
            .filter(|member| membership.member(&member.name) != Some(member))
            .cloned()
            .collect()
    }

    /// Notes a candidate that does not know of its removal, so that it may join again.
    pub(super) fn note_outsider(&mut self, from: &Member) {
        let is_member = self.log.membership().member(&from.name) == Some(from);
        if !is_member {
            self.pass_on(from.clone(), Standing::Outsider);
        }
    }

    /// Remembers a replica, and tells the leader, which alone can let it join.
    fn pass_on(&mut self, member: Member, standing: Standing) {
        if let Some(leader) = self.leader.clone()
            && leader != self.settings.member
        {
            let introduction = Introduction {
                member: member.clone(),
                standing,
            };
            let message = Message::Introduction(introduction);
            self.send_now(&leader, self.hard_state.term, message);
        }
        self.remember(member, standing);
    }

    fn remember(&mut self, member: Member, standing: Standing) {
        let at_ms = self.clock.now_ms();
        let found = self
            .introductions
            .binary_search_by(|known| known.member.name.cmp(&member.name));
        let introduction = KnownReplica {
            at_ms,
            member,
            standing,
        };
        match found {
            Ok(at) => self.introductions[at] = introduction,
            Err(at) if self.introductions.len() < INTRODUCTIONS_MAX => {
                self.introductions.insert(at, introduction);
            }
            Err(_) => {}
        }
    }

    /// Every initial voter, if this replica may found the group now.
    fn founding_voters(&self) -> Option<Vec<Member>> {
        let initial = &self.settings.initial_voters;
        let own = &self.settings.member;
        if self.met_founded || initial.iter().min() != Some(&own.name) {
            return None;
        }
        initial
            .iter()
            .map(|name| {
                if *name == own.name {
                    return Some(own.clone());
                }
                self.known_blank(name).cloned()
            })
            .collect()
    }

    fn known_blank(&self, name: &InstanceName) -> Option<&Member> {
        let oldest_ms = self.oldest_introduction_ms();
        let is_blank = |known: &&KnownReplica| {
            known.member.name == *name
                && known.at_ms >= oldest_ms
                && known.standing == Standing::Blank
        };
        let known = self.introductions.iter().find(is_blank);
        known.map(|known| &known.member)
    }

    fn oldest_introduction_ms(&self) -> u64 {
        let timeout_ms = INTRODUCTION_TIMEOUTS * self.settings.election_timeout_ms;
        self.clock.now_ms().saturating_sub(timeout_ms)
    }

    fn found(&mut self, voters: Vec<Member>) {
        let term = founding_term(&self.settings.member).max(self.hard_state.term);
        self.hard_state = HardState {
            term,
            vote: self
                .hard_state
                .vote
                .take()
                .filter(|_| term == self.hard_state.term),
        };
        self.draft.hard_state = true;
        self.push(Entry {
            at_ms: 0,
            index: LogIndex(1),
            payload: Payload::Membership(Membership::new(voters)),
            term,
        });
        self.election_deadline_ms = self.clock.now_ms();
    }

    fn send_hello(&mut self, to: InstanceName, standing: Standing) {
        if to == self.settings.member.name {
            return;
        }
        let hello = Hello {
            initial_voters: self.sorted_initial_voters(),
            standing,
        };
        self.draft.outputs.push(Output::Send(Envelope {
            from: self.settings.member.clone(),
            group: self.settings.group,
            message: Message::Hello(hello),
            term: self.hard_state.term,
            to,
            to_storage: None,
        }));
    }
}

/// Term that no other storage founds a group in, but for a chance of one in 2^32.
fn founding_term(founder: &Member) -> Term {
    let low_bits = founder.storage.0 & u128::from(u32::MAX);
    Term(1 + u64::try_from(low_bits).expect("32 bits fit"))
}
