//! Gets commands committed: finds the leader and repeats where that is safe.

use std::sync::Arc;
use std::time::Duration;

use control::Control;
use names::{InstanceName, LogIndex};
use protocol::{ProposeError, Proposed};
use thiserror::Error;
use tokio::time::{Instant, sleep};

use crate::holdings::Holdings;
use crate::peers::{Peers, within};
use crate::state::{Answer, Command, encode};

/// Longest time for one try.
const TRY_TIMEOUT_MS: u64 = 2_000;

/// Longest time for all tries.
const PROPOSE_TIMEOUT_MS: u64 = 5_000;

/// Time between two tries.
const RETRY_MS: u64 = 50;

/// Way of commands into the replicated log.
#[derive(Debug)]
pub(crate) struct Proposer {
    control: Option<Control>,
    holdings: Arc<Holdings>,
    instance: InstanceName,
    peers: Arc<Peers>,
    voters: Vec<InstanceName>,
}

/// A command that is committed and applied.
#[derive(Debug)]
pub(crate) struct Committed {
    pub(crate) answer: Answer,
    pub(crate) index: LogIndex,
}

/// Why a command is not known to be committed.
#[derive(Debug, Clone, Copy, Eq, Error, PartialEq)]
pub(crate) enum Failure {
    /// The command is certainly not in the log.
    #[error("no leader of the voters could be reached; the command was not accepted")]
    NotCommitted,
    /// The command may be in the log.
    #[error("the command may or may not have been accepted")]
    Unknown,
}

impl Proposer {
    pub(crate) fn new(
        instance: &InstanceName,
        control: Option<Control>,
        holdings: &Arc<Holdings>,
        peers: &Arc<Peers>,
        voters: &[InstanceName],
    ) -> Self {
        Self {
            control,
            holdings: Arc::clone(holdings),
            instance: instance.clone(),
            peers: Arc::clone(peers),
            voters: voters.to_vec(),
        }
    }

    /// Whether a quorum confirms this instance as leader.
    pub(crate) fn leads(&self) -> bool {
        self.control
            .as_ref()
            .is_some_and(|control| control.confirmed_term().is_some())
    }

    /// Commits a command that is idempotent; repeats it until it is answered or time runs out.
    ///
    /// # Errors
    ///
    /// Says whether the command may have been committed.
    pub(crate) async fn propose(&self, command: &Command) -> Result<Committed, Failure> {
        let command = encode(command);
        let give_up = Instant::now() + Duration::from_millis(PROPOSE_TIMEOUT_MS);
        let mut failure = Failure::NotCommitted;
        let mut turn = 0;
        while Instant::now() < give_up {
            let Some(leader) = self.candidate(turn) else {
                break;
            };
            match self.propose_to(&leader, &command).await {
                Ok(proposed) => return committed(&proposed),
                Err(ProposeError::NotLeader { leader }) => self.learn(leader),
                Err(ProposeError::Unavailable) => {}
                Err(ProposeError::Unknown) => failure = Failure::Unknown,
            }
            turn += 1;
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
        Err(failure)
    }

    /// Commits an encoded command on this instance.
    ///
    /// # Errors
    ///
    /// Fails if this instance does not lead.
    pub(crate) async fn propose_here(&self, command: Vec<u8>) -> Result<Proposed, ProposeError> {
        let Some(control) = &self.control else {
            return Err(ProposeError::NotLeader { leader: None });
        };
        match control.propose(command).await {
            Ok(answered) => Ok(Proposed {
                answer: answered.answer,
                index: answered.index,
            }),
            Err(control::ProposeError::NotLeader { leader }) => {
                Err(ProposeError::NotLeader { leader })
            }
            Err(control::ProposeError::Unavailable) => Err(ProposeError::Unavailable),
            Err(control::ProposeError::Unknown) => Err(ProposeError::Unknown),
        }
    }

    /// The known leader first, then the voters in turn.
    fn candidate(&self, turn: usize) -> Option<InstanceName> {
        let leader = self.holdings.lock().leader.clone();
        match leader {
            Some(leader) if turn.is_multiple_of(2) => Some(leader),
            _ => self.voters.get(turn % self.voters.len().max(1)).cloned(),
        }
    }

    fn learn(&self, leader: Option<InstanceName>) {
        if leader.is_some() {
            self.holdings.lock().leader = leader;
        }
    }

    async fn propose_to(
        &self,
        leader: &InstanceName,
        command: &[u8],
    ) -> Result<Proposed, ProposeError> {
        if *leader == self.instance {
            return self.propose_here(command.to_vec()).await;
        }
        let Ok(client) = self.peers.client(leader).await else {
            return Err(ProposeError::Unavailable);
        };
        let answer = client
            .propose(within(TRY_TIMEOUT_MS), command.to_vec())
            .await;
        answer.unwrap_or_else(|_| {
            self.peers.failed(leader);
            Err(ProposeError::Unknown)
        })
    }
}

fn committed(proposed: &Proposed) -> Result<Committed, Failure> {
    let answer = postcard::from_bytes(&proposed.answer).map_err(|_| Failure::Unknown)?;
    Ok(Committed {
        answer,
        index: proposed.index,
    })
}
