//! Commits commands to the replicated log, and reads the replicated state at the leader.

use std::sync::Arc;

use control::GroupHandle;
use protocol::{CommittedCommand, ProposeError};
use session::Heartbeat;
use table::{Edit, EditOutcome, HistoryEntry, Revision};

use crate::leader_client::{ATTEMPT_TIMEOUT_MS, LeaderCallError, LeaderClient, LeaderTarget};
use crate::peers::context_with_timeout;
use crate::state::{Answer, Command, SharedReplicatedState, encode};
use crate::state_publisher::StatePublisher;

/// Proposes commands and reads the replicated state, at this instance or at the leader.
#[derive(Debug)]
pub(crate) struct Proposer {
    control: Option<Arc<GroupHandle>>,
    leader_client: LeaderClient,
    state: SharedReplicatedState,
    state_publisher: Arc<StatePublisher>,
}

impl Proposer {
    pub(crate) fn new(
        control: Option<Arc<GroupHandle>>,
        leader_client: LeaderClient,
        state_publisher: &Arc<StatePublisher>,
        state: &SharedReplicatedState,
    ) -> Self {
        Self {
            control,
            leader_client,
            state: state.clone(),
            state_publisher: Arc::clone(state_publisher),
        }
    }

    /// Claimants with claims in progress, in the state that this voter has applied.
    pub(crate) fn claimants(&self) -> Vec<claims::Claimant> {
        self.state.lock().claims.claimants()
    }

    /// Checks and commits an edit at the leader; repeating the same edit is safe.
    ///
    /// # Errors
    ///
    /// The error tells whether the edit may have been committed.
    pub(crate) async fn edit(&self, edit: &Edit) -> Result<EditOutcome, LeaderCallError> {
        self.leader_client
            .call(|target| async {
                match target {
                    LeaderTarget::Local => Ok(self.edit_locally(edit.clone()).await),
                    LeaderTarget::Remote(client) => {
                        client
                            .edit(context_with_timeout(ATTEMPT_TIMEOUT_MS), edit.clone())
                            .await
                    }
                }
            })
            .await
    }

    /// Checks and commits an edit at this instance.
    ///
    /// # Errors
    ///
    /// Fails if this instance is not the leader.
    pub(crate) async fn edit_locally(&self, edit: Edit) -> Result<EditOutcome, ProposeError> {
        self.confirm_leadership().await?;
        {
            let state = self.state.lock();
            if let Some(outcome) = state.table.stored_outcome(&edit) {
                return Ok(outcome);
            }
            let problems = state.table.check(&edit);
            if !problems.is_empty() {
                return Ok(EditOutcome::Invalid { problems });
            }
        }
        let proposed = self.propose_locally(encode(&Command::Edit(edit))).await?;
        match postcard::from_bytes(&proposed.answer) {
            Ok(Answer::Edit(outcome)) => Ok(outcome),
            Ok(_) | Err(_) => Err(ProposeError::Unknown),
        }
    }

    /// Accepted edits, newest first, read at the leader.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers.
    pub(crate) async fn history(
        &self,
        request: protocol::HistoryRequest,
    ) -> Result<Vec<HistoryEntry>, LeaderCallError> {
        self.leader_client
            .call(|target| async {
                match target {
                    LeaderTarget::Local => Ok(self.history_locally(request).await),
                    LeaderTarget::Remote(client) => {
                        client
                            .history(context_with_timeout(ATTEMPT_TIMEOUT_MS), request)
                            .await
                    }
                }
            })
            .await
    }

    /// Accepted edits, newest first, read at this instance.
    ///
    /// # Errors
    ///
    /// Fails if this instance is not the leader.
    pub(crate) async fn history_locally(
        &self,
        request: protocol::HistoryRequest,
    ) -> Result<Vec<HistoryEntry>, ProposeError> {
        self.confirm_leadership().await?;
        let state = self.state.lock();
        let before = Revision(request.before.0);
        let older = state
            .table
            .history()
            .filter(|entry| entry.revision < before);
        Ok(older.take(request.limit as usize).cloned().collect())
    }

    /// Heartbeats of the live instances, read at the leader.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers.
    pub(crate) async fn instances(&self) -> Result<Vec<Heartbeat>, LeaderCallError> {
        self.leader_client
            .call(|target| async {
                match target {
                    LeaderTarget::Local => Ok(self.instances_locally().await),
                    LeaderTarget::Remote(client) => {
                        client
                            .instances(context_with_timeout(ATTEMPT_TIMEOUT_MS))
                            .await
                    }
                }
            })
            .await
    }

    /// Heartbeats of the live instances, read at this instance.
    ///
    /// # Errors
    ///
    /// Fails if this instance is not the leader.
    pub(crate) async fn instances_locally(&self) -> Result<Vec<Heartbeat>, ProposeError> {
        self.confirm_leadership().await?;
        Ok(self.state_publisher.heartbeats())
    }

    /// Whether this instance was leader by its last known status, without asking a quorum.
    pub(crate) fn is_leader(&self) -> bool {
        self.control
            .as_ref()
            .is_some_and(|control| control.leader_status().borrow().is_leader)
    }

    /// Commits an idempotent command at the leader.
    ///
    /// # Errors
    ///
    /// The error tells whether the command may have been committed.
    pub(crate) async fn propose(&self, command: &Command) -> Result<Answer, LeaderCallError> {
        let command = encode(command);
        let proposed: CommittedCommand = self
            .leader_client
            .call(|target| async {
                match target {
                    LeaderTarget::Local => Ok(self.propose_locally(command.clone()).await),
                    LeaderTarget::Remote(client) => {
                        client
                            .propose(context_with_timeout(ATTEMPT_TIMEOUT_MS), command.clone())
                            .await
                    }
                }
            })
            .await?;
        postcard::from_bytes(&proposed.answer).map_err(|_| LeaderCallError::Unknown)
    }

    /// Commits an encoded command at this instance.
    ///
    /// # Errors
    ///
    /// Fails if this instance is not the leader or the command cannot be decoded.
    pub(crate) async fn propose_locally(
        &self,
        command: Vec<u8>,
    ) -> Result<CommittedCommand, ProposeError> {
        let Some(control) = &self.control else {
            return Err(ProposeError::NotLeader { leader: None });
        };
        if postcard::from_bytes::<Command>(&command).is_err() {
            return Err(ProposeError::Unavailable);
        }
        match control.propose(command).await {
            Ok(applied) => Ok(CommittedCommand {
                answer: applied.bytes,
                index: applied.index,
            }),
            Err(error) => Err(propose_error(error)),
        }
    }

    /// Waits until a quorum confirms that this instance is the leader (read index) and it has
    /// applied every entry that was committed before.
    async fn confirm_leadership(&self) -> Result<(), ProposeError> {
        let Some(control) = &self.control else {
            return Err(ProposeError::NotLeader { leader: None });
        };
        let index = control.read_index().await.map_err(propose_error)?;
        let mut applied = control.applied_index();
        let reached = applied.wait_for(|applied| *applied >= index).await;
        reached.map(drop).map_err(|_| ProposeError::Unavailable)
    }
}

fn propose_error(error: control::Error) -> ProposeError {
    match error {
        control::Error::NotLeader { leader } => ProposeError::NotLeader { leader },
        control::Error::Unknown => ProposeError::Unknown,
        _ => ProposeError::Unavailable,
    }
}
