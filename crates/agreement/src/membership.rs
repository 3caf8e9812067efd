use names::InstanceName;
use serde::{Deserialize, Serialize};

use crate::{Member, RejectReason};

/// Member that receives the log and counts for no quorum.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Learner {
    /// Instance and storage identity.
    pub member: Member,
    /// Whether the leader promotes it to voter once it holds every committed entry.
    pub promote: bool,
}

/// Voters and learners of a group, each sorted by name.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    learners: Vec<Learner>,
    voters: Vec<Member>,
}

/// Single-server membership change; the voters before and after differ by at most one.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipChange {
    /// Adds a learner; replaces a voter or learner of the same name and another storage identity.
    Join {
        /// Instance and storage identity of the learner.
        member: Member,
        /// Whether the leader promotes it to voter once it holds every committed entry.
        promote: bool,
    },
    /// Makes a learner a voter; the learner must hold every committed entry.
    Promote(InstanceName),
    /// Removes a voter or learner.
    Remove(InstanceName),
}

impl Membership {
    /// Membership of the given voters and no learners.
    #[must_use]
    pub fn new(mut voters: Vec<Member>) -> Self {
        voters.sort();
        voters.dedup_by(|a, b| a.name == b.name);
        Self {
            learners: Vec::new(),
            voters,
        }
    }

    /// Membership after a change.
    ///
    /// # Errors
    ///
    /// Fails if the member is already known, the name is unknown, or no voter would be left.
    pub fn with_change(&self, change: &MembershipChange) -> Result<Self, RejectReason> {
        let mut next = self.clone();
        match change {
            MembershipChange::Join { member, promote } => next.join(member, *promote)?,
            MembershipChange::Promote(name) => next.promote(name)?,
            MembershipChange::Remove(name) => next.remove(name)?,
        }
        if next.voters.is_empty() {
            return Err(RejectReason::LastVoter);
        }
        Ok(next)
    }

    /// Whether the replica is a voter with this storage identity.
    #[must_use]
    pub fn is_voter(&self, member: &Member) -> bool {
        self.voters.binary_search(member).is_ok()
    }

    /// Learners, sorted by name.
    #[must_use]
    pub fn learners(&self) -> &[Learner] {
        &self.learners
    }

    /// Member of the given name, voter or learner.
    #[must_use]
    pub fn member(&self, name: &InstanceName) -> Option<&Member> {
        self.members().find(|member| member.name == *name)
    }

    /// Voters, sorted by name.
    #[must_use]
    pub fn voters(&self) -> &[Member] {
        &self.voters
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.voters.len() + self.learners.len()
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.voters
            .iter()
            .chain(self.learners.iter().map(|learner| &learner.member))
    }

    pub(crate) fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    fn join(&mut self, member: &Member, promote: bool) -> Result<(), RejectReason> {
        if self.members().any(|known| known == member) {
            return Err(RejectReason::AlreadyMember {
                name: member.name.clone(),
            });
        }
        self.voters.retain(|voter| voter.name != member.name);
        self.learners
            .retain(|learner| learner.member.name != member.name);
        let position = self
            .learners
            .partition_point(|learner| learner.member < *member);
        let member = member.clone();
        self.learners.insert(position, Learner { member, promote });
        Ok(())
    }

    fn promote(&mut self, name: &InstanceName) -> Result<(), RejectReason> {
        let position = self
            .learners
            .iter()
            .position(|learner| learner.member.name == *name)
            .ok_or_else(|| RejectReason::UnknownMember { name: name.clone() })?;
        let member = self.learners.remove(position).member;
        let position = self.voters.partition_point(|voter| *voter < member);
        self.voters.insert(position, member);
        Ok(())
    }

    fn remove(&mut self, name: &InstanceName) -> Result<(), RejectReason> {
        let len_before = self.len();
        self.voters.retain(|voter| voter.name != *name);
        self.learners.retain(|learner| learner.member.name != *name);
        if self.len() == len_before {
            return Err(RejectReason::UnknownMember { name: name.clone() });
        }
        Ok(())
    }
}
