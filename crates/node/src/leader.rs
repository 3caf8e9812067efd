//! Calls that only the leader of the voters serves: finds it, and repeats where that is safe.

use std::sync::Arc;
use std::time::Duration;

use names::InstanceName;
use protocol::{InnerClient, ProposeError};
use tarpc::client::RpcError;
use thiserror::Error;
use tokio::time::{Instant, sleep};

use crate::holdings::Holdings;
use crate::peers::Peers;

/// Longest time for all tries.
const ASK_TIMEOUT_MS: u64 = 5_000;

/// Time between two tries.
const RETRY_MS: u64 = 50;

/// Longest time for one try.
pub(crate) const TRY_TIMEOUT_MS: u64 = 2_000;

/// Way to the leader.
#[derive(Debug)]
pub(crate) struct Leader {
    holdings: Arc<Holdings>,
    instance: InstanceName,
    peers: Arc<Peers>,
    voters: Vec<InstanceName>,
}

/// Why the leader did not answer.
#[derive(Debug, Clone, Copy, Eq, Error, PartialEq)]
pub(crate) enum Failure {
    /// What was asked was certainly not done.
    #[error("no leader of the voters could be reached; nothing was done")]
    NotDone,
    /// What was asked may have been done.
    #[error("the answer of the leader was lost; what was asked may have been done")]
    Unknown,
}

/// Which instance a try goes to.
pub(crate) enum Asked {
    /// This one.
    Here,
    /// Another one.
    There(InnerClient),
}

/// Answer of one try.
pub(crate) type Tried<T> = Result<Result<T, ProposeError>, RpcError>;

impl Leader {
    pub(crate) fn new(
        instance: &InstanceName,
        holdings: &Arc<Holdings>,
        peers: &Arc<Peers>,
        voters: &[InstanceName],
    ) -> Self {
        Self {
            holdings: Arc::clone(holdings),
            instance: instance.clone(),
            peers: Arc::clone(peers),
            voters: voters.to_vec(),
        }
    }

    /// Repeats an idempotent call until the leader answers it or time runs out.
    ///
    /// # Errors
    ///
    /// Says whether what was asked may have been done.
    pub(crate) async fn ask<T, C, F>(&self, call: C) -> Result<T, Failure>
    where
        C: Fn(Asked) -> F,
        F: Future<Output = Tried<T>>,
    {
        let give_up = Instant::now() + Duration::from_millis(ASK_TIMEOUT_MS);
        let mut failure = Failure::NotDone;
        for turn in 0.. {
            let name = self.candidate(turn);
            match self.try_once(&name, &call).await {
                Ok(answer) => return Ok(answer),
                Err(ProposeError::NotLeader { leader }) => self.learn(leader),
                Err(ProposeError::Unavailable) => {}
                Err(ProposeError::Unknown) => failure = Failure::Unknown,
            }
            if Instant::now() >= give_up {
                break;
            }
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
        Err(failure)
    }

    /// The known leader and the voters in turn.
    fn candidate(&self, turn: usize) -> InstanceName {
        let leader = self.holdings.lock().leader.clone();
        match leader {
            Some(leader) if turn.is_multiple_of(2) => leader,
            _ => self.voters[turn / 2 % self.voters.len()].clone(),
        }
    }

    fn learn(&self, leader: Option<InstanceName>) {
        if leader.is_some() {
            self.holdings.lock().leader = leader;
        }
    }

    async fn try_once<T, C, F>(&self, name: &InstanceName, call: &C) -> Result<T, ProposeError>
    where
        C: Fn(Asked) -> F,
        F: Future<Output = Tried<T>>,
    {
        let asked = if *name == self.instance {
            Asked::Here
        } else {
            match self.peers.client(name).await {
                Ok(client) => Asked::There(client),
                Err(_) => return Err(ProposeError::Unavailable),
            }
        };
        call(asked).await.unwrap_or_else(|_| {
            self.peers.failed(name);
            Err(ProposeError::Unknown)
        })
    }
}
