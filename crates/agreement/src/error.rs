use names::InstanceName;
use thiserror::Error;

/// Why a replica refuses a request; a refused request has had no effect.
#[derive(Debug, Clone, Error, Eq, PartialEq)]
pub enum Refusal {
    /// The joining replica is a member already.
    #[error("instance `{name}` is a member already")]
    AlreadyMember {
        /// The instance.
        name: InstanceName,
    },
    /// Another membership change is not committed yet, or the term has just begun.
    #[error("an earlier membership change or the start of the term is not committed yet")]
    ChangePending,
    /// The leader is handing over leadership.
    #[error("the leader is handing over leadership")]
    HandingOver,
    /// The change would leave no voter.
    #[error("the change would leave no voter")]
    LastVoter,
    /// The learner does not hold everything committed yet.
    #[error("learner `{name}` lacks {missing_entries} committed entries")]
    NotCaughtUp {
        /// Entries still to be acknowledged.
        missing_entries: u64,
        /// The learner.
        name: InstanceName,
    },
    /// This replica is not the leader.
    #[error("this instance is not the leader{}", hint(leader.as_ref()))]
    NotLeader {
        /// The leader, where known.
        leader: Option<InstanceName>,
    },
    /// Too few voters of the new membership answer.
    #[error("too few voters would be left that answer: {active} of {quorum} needed")]
    QuorumAtRisk {
        /// Voters of the new membership that answer.
        active: usize,
        /// Voters needed.
        quorum: usize,
    },
    /// No member has this name.
    #[error("no member is named `{name}`")]
    UnknownMember {
        /// The name.
        name: InstanceName,
    },
}

fn hint(leader: Option<&InstanceName>) -> String {
    leader.map_or_else(String::new, |leader| format!("; leader is `{leader}`"))
}
