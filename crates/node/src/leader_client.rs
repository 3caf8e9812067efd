//! Calls that only the leader of the voters serves: finds it, and repeats where that is safe.

use std::sync::Arc;
use std::time::Duration;

use names::InstanceName;
use protocol::{InnerClient, ProposeError};
use tarpc::client::RpcError;
use thiserror::Error;
use tokio::time::{Instant, sleep};

use crate::peers::Peers;
use crate::published_state::PublishedState;

/// Longest time for all tries.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Time between two tries.
const RETRY_INTERVAL_MS: u64 = 50;

/// Longest time for one try.
pub(crate) const ATTEMPT_TIMEOUT_MS: u64 = 2_000;

/// Way to the leader.
#[derive(Debug)]
pub(crate) struct LeaderClient {
    published: Arc<PublishedState>,
    instance: InstanceName,
    peers: Arc<Peers>,
    voters: Vec<InstanceName>,
}

/// Why the leader did not answer.
#[derive(Debug, Clone, Copy, Eq, Error, PartialEq)]
pub(crate) enum LeaderCallError {
    /// What was asked was certainly not done.
    #[error("no leader of the voters could be reached; nothing was done")]
    NotExecuted,
    /// What was asked may have been done.
    #[error("the answer of the leader was lost; what was asked may have been done")]
    Unknown,
}

/// Which instance a try goes to.
pub(crate) enum LeaderTarget {
    /// This one.
    Local,
    /// Another one.
    Remote(InnerClient),
}

/// Answer of one try.
pub(crate) type AttemptResult<T> = Result<Result<T, ProposeError>, RpcError>;

impl LeaderClient {
    pub(crate) fn new(
        instance: &InstanceName,
        published: &Arc<PublishedState>,
        peers: &Arc<Peers>,
        voters: &[InstanceName],
    ) -> Self {
        Self {
            published: Arc::clone(published),
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
    pub(crate) async fn call<T, C, F>(&self, call: C) -> Result<T, LeaderCallError>
    where
        C: Fn(LeaderTarget) -> F,
        F: Future<Output = AttemptResult<T>>,
    {
        let give_up = Instant::now() + Duration::from_millis(CALL_TIMEOUT_MS);
        let mut failure = LeaderCallError::NotExecuted;
        for turn in 0.. {
            let name = self.candidate(turn);
            match self.attempt(&name, &call).await {
                Ok(answer) => return Ok(answer),
                Err(ProposeError::NotLeader { leader }) => self.record_leader(leader),
                Err(ProposeError::Unavailable) => {}
                Err(ProposeError::Unknown) => failure = LeaderCallError::Unknown,
            }
            if Instant::now() >= give_up {
                break;
            }
            sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
        }
        Err(failure)
    }

    /// The known leader and the voters in turn.
    fn candidate(&self, turn: usize) -> InstanceName {
        let leader = self.published.lock().leader.clone();
        match leader {
            Some(leader) if turn.is_multiple_of(2) => leader,
            _ => self.voters[turn / 2 % self.voters.len()].clone(),
        }
    }

    fn record_leader(&self, leader: Option<InstanceName>) {
        if leader.is_some() {
            self.published.lock().leader = leader;
        }
    }

    async fn attempt<T, C, F>(&self, name: &InstanceName, call: &C) -> Result<T, ProposeError>
    where
        C: Fn(LeaderTarget) -> F,
        F: Future<Output = AttemptResult<T>>,
    {
        let target = if *name == self.instance {
            LeaderTarget::Local
        } else {
            match self.peers.client(name).await {
                Ok(client) => LeaderTarget::Remote(client),
                Err(_) => return Err(ProposeError::Unavailable),
            }
        };
        call(target).await.unwrap_or_else(|_| {
            self.peers.disconnect(name);
            Err(ProposeError::Unknown)
        })
    }
}
