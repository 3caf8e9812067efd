use names::{InstanceName, LogIndex};

use super::Replica;
use crate::{
    BootstrapState, Entry, Envelope, ForwardedHello, HardState, Hello, Member, Membership, Message,
    Output, Payload, Term,
};

/// Maximum number of replicas with a recorded `Hello`.
const RECEIVED_HELLOS_MAX: usize = 64;

/// A received `Hello` expires after this many election timeouts.
const HELLO_EXPIRY_ELECTION_TIMEOUTS: u64 = 4;

/// Latest `Hello` of a replica, received directly or forwarded by a follower.
#[derive(Debug)]
pub(super) struct ReceivedHello {
    bootstrap_state: BootstrapState,
    member: Member,
    received_ms: u64,
}

impl Replica {
    /// Sends `Hello` messages; bootstraps the group once all initial voters are known to be blank.
    pub(super) fn announce_or_bootstrap(&mut self) {
        let bootstrap_state = if self.is_blank() {
            BootstrapState::Blank
        } else {
            BootstrapState::NonVoter
        };
        if self.clock.now_ms() >= self.next_hello_ms {
            self.next_hello_ms = self.clock.now_ms() + self.settings.election_timeout_ms / 2;
            for name in self.hello_targets() {
                self.send_hello(name, bootstrap_state);
            }
        }
        if bootstrap_state == BootstrapState::Blank
            && let Some(voters) = self.bootstrap_voters()
        {
            self.bootstrap(voters);
        }
    }

    pub(super) fn on_hello(&mut self, from: Member, hello: &Hello) {
        self.is_group_bootstrapped |= hello.bootstrap_state != BootstrapState::Blank;
        let has_same_voters = hello.initial_voters == self.sorted_initial_voters();
        let bootstrap_state = match hello.bootstrap_state {
            // A blank replica with other initial voters can join, but not bootstrap the group.
            BootstrapState::Blank if !has_same_voters => BootstrapState::NonVoter,
            BootstrapState::Bootstrapped => return,
            bootstrap_state => bootstrap_state,
        };
        let name = from.name.clone();
        self.forward_hello(from, bootstrap_state);
        if !self.is_blank() {
            self.send_hello(name, BootstrapState::Bootstrapped);
        }
    }

    pub(super) fn on_forwarded_hello(&mut self, forwarded: ForwardedHello) {
        self.record_hello(forwarded.member, forwarded.bootstrap_state);
    }

    fn sorted_initial_voters(&self) -> Vec<InstanceName> {
        let mut names = self.settings.initial_voters.clone();
        names.sort();
        names
    }

    /// Initial voters and members of the latest membership, sorted.
    fn hello_targets(&self) -> Vec<InstanceName> {
        let members = self.log.membership().members();
        let mut names = self.settings.initial_voters.clone();
        names.extend(members.map(|member| member.name.clone()));
        names.sort();
        names.dedup();
        names
    }

    /// Replicas whose `Hello` has not expired and that are not members with that storage identity.
    pub(super) fn non_members(&self) -> Vec<Member> {
        let membership = self.log.membership();
        let oldest_ms = self.oldest_hello_ms();
        self.received_hellos
            .iter()
            .filter(|hello| hello.received_ms >= oldest_ms)
            .map(|hello| &hello.member)
            .filter(|member| membership.member(&member.name) != Some(member))
            .cloned()
            .collect()
    }

    /// Records a candidate that does not know of its removal, so that it can join again.
    pub(super) fn record_non_member(&mut self, from: &Member) {
        let is_member = self.log.membership().member(&from.name) == Some(from);
        if !is_member {
            self.forward_hello(from.clone(), BootstrapState::NonVoter);
        }
    }

    /// Records a replica's `Hello` and forwards it to the leader, which alone can add the replica.
    fn forward_hello(&mut self, member: Member, bootstrap_state: BootstrapState) {
        if let Some(leader) = self.leader.clone()
            && leader != self.settings.member
        {
            let forwarded = ForwardedHello {
                member: member.clone(),
                bootstrap_state,
            };
            let message = Message::ForwardedHello(forwarded);
            self.send_now(&leader, self.hard_state.term, message);
        }
        self.record_hello(member, bootstrap_state);
    }

    fn record_hello(&mut self, member: Member, bootstrap_state: BootstrapState) {
        let search_result = self
            .received_hellos
            .binary_search_by(|known| known.member.name.cmp(&member.name));
        let hello = ReceivedHello {
            bootstrap_state,
            member,
            received_ms: self.clock.now_ms(),
        };
        match search_result {
            Ok(position) => self.received_hellos[position] = hello,
            Err(position) if self.received_hellos.len() < RECEIVED_HELLOS_MAX => {
                self.received_hellos.insert(position, hello);
            }
            Err(_) => {}
        }
    }

    /// All initial voters, if this replica may bootstrap the group now.
    fn bootstrap_voters(&self) -> Option<Vec<Member>> {
        let initial_voters = &self.settings.initial_voters;
        let own_member = &self.settings.member;
        if self.is_group_bootstrapped || initial_voters.iter().min() != Some(&own_member.name) {
            return None;
        }
        initial_voters
            .iter()
            .map(|name| {
                if *name == own_member.name {
                    return Some(own_member.clone());
                }
                self.blank_member(name).cloned()
            })
            .collect()
    }

    fn blank_member(&self, name: &InstanceName) -> Option<&Member> {
        let oldest_ms = self.oldest_hello_ms();
        let is_blank = |known: &&ReceivedHello| {
            known.member.name == *name
                && known.received_ms >= oldest_ms
                && known.bootstrap_state == BootstrapState::Blank
        };
        let known = self.received_hellos.iter().find(is_blank);
        known.map(|known| &known.member)
    }

    fn oldest_hello_ms(&self) -> u64 {
        let timeout_ms = HELLO_EXPIRY_ELECTION_TIMEOUTS * self.settings.election_timeout_ms;
        self.clock.now_ms().saturating_sub(timeout_ms)
    }

    fn bootstrap(&mut self, voters: Vec<Member>) {
        let term = bootstrap_term(&self.settings.member).max(self.hard_state.term);
        self.hard_state = HardState {
            term,
            vote: self
                .hard_state
                .vote
                .take()
                .filter(|_| term == self.hard_state.term),
        };
        self.effects.is_hard_state_changed = true;
        self.push(Entry {
            timestamp_ms: 0,
            index: LogIndex(1),
            payload: Payload::Membership(Membership::new(voters)),
            term,
        });
        self.election_deadline_ms = self.clock.now_ms();
    }

    fn send_hello(&mut self, to: InstanceName, bootstrap_state: BootstrapState) {
        if to == self.settings.member.name {
            return;
        }
        let hello = Hello {
            initial_voters: self.sorted_initial_voters(),
            bootstrap_state,
        };
        self.effects.outputs.push(Output::Send(Envelope {
            from: self.settings.member.clone(),
            group: self.settings.group,
            message: Message::Hello(hello),
            term: self.hard_state.term,
            to,
            to_storage: None,
        }));
    }
}

/// Term of the first entry; another storage identity gets the same one with probability 2^-32.
fn bootstrap_term(bootstrapper: &Member) -> Term {
    let low_bits = bootstrapper.storage.0 & u128::from(u32::MAX);
    Term(1 + u64::try_from(low_bits).expect("32 bits fit"))
}
