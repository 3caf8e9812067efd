use names::InstanceName;
use serde::{Deserialize, Serialize};

use crate::{Member, Refusal};

/// Replica that receives the log and does not count for any quorum.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Learner {
    /// The replica.
    pub member: Member,
    /// Whether the leader makes it a voter as soon as it holds everything committed.
    pub promote: bool,
}

/// Voters and learners, each sorted by name.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    learners: Vec<Learner>,
    voters: Vec<Member>,
}

/// One step of a membership change; at most one voter differs before and after it.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipChange {
    /// Adds a learner; replaces a voter or learner of the same name with another storage.
    Join {
        /// The new learner.
        member: Member,
        /// Whether it becomes a voter as soon as it holds everything committed.
        promote: bool,
    },
    /// Makes a learner that holds everything committed a voter.
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

    /// Membership after one change.
    ///
    /// # Errors
    ///
    /// Refuses a member that is known already, an unknown name, and the loss of the last voter.
    pub fn changed(&self, change: &MembershipChange) -> Result<Self, Refusal> {
        let mut next = self.clone();
        match change {
            MembershipChange::Join { member, promote } => next.join(member, *promote)?,
            MembershipChange::Promote(name) => next.promote(name)?,
            MembershipChange::Remove(name) => next.remove(name)?,
        }
        if next.voters.is_empty() {
            return Err(Refusal::LastVoter);
        }
        Ok(next)
    }

    /// Whether the replica, with this very storage, is a voter.
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

    fn join(&mut self, member: &Member, promote: bool) -> Result<(), Refusal> {
        if self.members().any(|known| known == member) {
            return Err(Refusal::AlreadyMember {
                name: member.name.clone(),
            });
        }
        self.voters.retain(|voter| voter.name != member.name);
        self.learners
            .retain(|learner| learner.member.name != member.name);
        let at = self
            .learners
            .partition_point(|learner| learner.member < *member);
        let member = member.clone();
        self.learners.insert(at, Learner { member, promote });
        Ok(())
    }

    fn promote(&mut self, name: &InstanceName) -> Result<(), Refusal> {
        let at = self
            .learners
            .iter()
            .position(|learner| learner.member.name == *name)
            .ok_or_else(|| Refusal::UnknownMember { name: name.clone() })?;
        let member = self.learners.remove(at).member;
        let at = self.voters.partition_point(|voter| *voter < member);
        self.voters.insert(at, member);
        Ok(())
    }

    fn remove(&mut self, name: &InstanceName) -> Result<(), Refusal> {
        let before = self.len();
        self.voters.retain(|voter| voter.name != *name);
        self.learners.retain(|learner| learner.member.name != *name);
        if self.len() == before {
            return Err(Refusal::UnknownMember { name: name.clone() });
        }
        Ok(())
    }
}
