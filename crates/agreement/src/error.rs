use names::InstanceName;
use thiserror::Error;

/// Reason for which a replica rejected a request; a rejected request had no effect.
#[derive(Debug, Clone, Error, Eq, PartialEq)]
pub enum RejectReason {
    /// The replica to be added is already a member with the same storage identity.
    #[error("instance `{name}` is already a member")]
    AlreadyMember {
        /// Instance to be added.
        name: InstanceName,
    },
    /// An earlier membership change, or the first entry of the term, is not committed yet.
    #[error("an earlier membership change or the first entry of the term is not committed yet")]
    ChangeUncommitted,
    /// The change would leave no voter.
    #[error("the change would leave no voter")]
    LastVoter,
    /// The leader accepts no requests during a leadership transfer.
    #[error("a leadership transfer is in progress")]
    LeadershipTransferInProgress,
    /// The learner to be promoted lacks committed entries.
    #[error("learner `{name}` lacks {missing_entries} committed entries")]
    LearnerBehind {
        /// Committed entries that the learner has not acknowledged.
        missing_entries: u64,
        /// Name of the learner.
        name: InstanceName,
    },
    /// This replica does not lead.
    #[error("this instance is not the leader{}", leader_hint(leader.as_ref()))]
    NotLeader {
        /// Leader of the term, if known.
        leader: Option<InstanceName>,
    },
    /// Too few voters of the new membership answered within an election timeout.
    #[error("only {active} voters of the new membership are active, {quorum} are needed")]
    QuorumAtRisk {
        /// Voters of the new membership that answered.
        active: usize,
        /// Quorum of the new membership.
        quorum: usize,
    },
    /// No member has this name.
    #[error("no member is named `{name}`")]
    UnknownMember {
        /// Requested name.
        name: InstanceName,
    },
}

fn leader_hint(leader: Option<&InstanceName>) -> String {
    leader.map_or_else(String::new, |leader| format!("; leader is `{leader}`"))
}
