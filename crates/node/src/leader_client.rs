//! Calls that only the leader of the voters serves: finds the leader and retries the call.

use std::sync::Arc;
use std::time::Duration;

use names::InstanceName;
use protocol::{InnerClient, ProposeError};
use tarpc::client::RpcError;
use thiserror::Error;
use tokio::time::{Instant, sleep};

use crate::peers::Peers;
use crate::published_state::PublishedState;

/// Longest time for all attempts of a call.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Time between two attempts.
const RETRY_INTERVAL_MS: u64 = 50;

/// Timeout of one attempt on another instance.
pub(crate) const ATTEMPT_TIMEOUT_MS: u64 = 2_000;

/// Finds the leader of the voters and calls it.
#[derive(Debug)]
pub(crate) struct LeaderClient {
    instance: InstanceName,
    peers: Arc<Peers>,
    published: Arc<PublishedState>,
    voters: Vec<InstanceName>,
}

/// A call to the leader failed; the texts reach operators.
#[derive(Debug, Clone, Copy, Eq, Error, PartialEq)]
pub(crate) enum LeaderCallError {
    /// The call was not executed.
    #[error("no leader of the voters could be reached; nothing was done")]
    NotExecuted,
    /// The call may have been executed.
    #[error("the answer of the leader was lost; what was asked may have been done")]
    Unknown,
}

/// Instance that an attempt calls.
pub(crate) enum LeaderTarget {
    /// This instance.
    Local,
    /// Another instance.
    Remote(InnerClient),
}

/// Result of one attempt.
pub(crate) type AttemptResult<T> = Result<Result<T, ProposeError>, RpcError>;

impl LeaderClient {
    pub(crate) fn new(
        instance: &InstanceName,
        published: &Arc<PublishedState>,
        peers: &Arc<Peers>,
        voters: &[InstanceName],
    ) -> Self {
        Self {
            instance: instance.clone(),
            peers: Arc::clone(peers),
            published: Arc::clone(published),
            voters: voters.to_vec(),
        }
    }

    /// Retries an idempotent call until the leader answers or `CALL_TIMEOUT_MS` has passed.
    ///
    /// # Errors
    ///
    /// The error tells whether the call may have been executed.
    pub(crate) async fn call<T, C, F>(&self, call: C) -> Result<T, LeaderCallError>
    where
        C: Fn(LeaderTarget) -> F,
        F: Future<Output = AttemptResult<T>>,
    {
        let deadline = Instant::now() + Duration::from_millis(CALL_TIMEOUT_MS);
        let mut error = LeaderCallError::NotExecuted;
        for attempt in 0.. {
            let name = self.candidate(attempt);
            match self.attempt(&name, &call).await {
                Ok(answer) => return Ok(answer),
                Err(ProposeError::NotLeader { leader }) => self.record_leader(leader),
                Err(ProposeError::Unavailable) => {}
                Err(ProposeError::Unknown) => error = LeaderCallError::Unknown,
            }
            if Instant::now() >= deadline {
                break;
            }
            sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
        }
        Err(error)
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

    /// Alternates between the last known leader and the voters.
    fn candidate(&self, attempt: usize) -> InstanceName {
        let leader = self.published.lock().leader.clone();
        match leader {
            Some(leader) if attempt.is_multiple_of(2) => leader,
            _ => self.voters[attempt / 2 % self.voters.len()].clone(),
        }
    }

    fn record_leader(&self, leader: Option<InstanceName>) {
        if leader.is_some() {
            self.published.lock().leader = leader;
        }
    }
}
