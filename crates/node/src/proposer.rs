//! Gets commands into the replicated log.

use std::sync::Arc;

use control::GroupHandle;
use protocol::{CommittedCommand, ProposeError};
use session::Heartbeat;
use table::{Edit, EditOutcome, HistoryEntry, Revision};

use crate::leader_client::{ATTEMPT_TIMEOUT_MS, LeaderCallError, LeaderClient, LeaderTarget};
use crate::peers::context_with_timeout;
use crate::state::{Answer, Command, SharedReplicatedState, encode};
use crate::state_publisher::StatePublisher;

/// Way of commands and of questions about the replicated state to the leader.
#[derive(Debug)]
pub(crate) struct Proposer {
    control: Option<Arc<GroupHandle>>,
    leader: LeaderClient,
    state_publisher: Arc<StatePublisher>,
    state: SharedReplicatedState,
}

impl Proposer {
    pub(crate) fn new(
        control: Option<Arc<GroupHandle>>,
        leader: LeaderClient,
        state_publisher: &Arc<StatePublisher>,
        state: &SharedReplicatedState,
    ) -> Self {
        Self {
            control,
            leader,
            state_publisher: Arc::clone(state_publisher),
            state: state.clone(),
        }
    }

    /// Runs of instances that hold claims in progress, as far as this voter has applied the log.
    pub(crate) fn claimants(&self) -> Vec<claims::Claimant> {
        self.state.lock().claims.claimants()
    }

    /// Checks and commits an edit; the same edit may be sent again.
    ///
    /// # Errors
    ///
    /// Says whether the edit may have been committed.
    pub(crate) async fn edit(&self, edit: &Edit) -> Result<EditOutcome, LeaderCallError> {
        self.leader
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

    /// Checks and commits an edit where this instance leads.
    ///
    /// # Errors
    ///
    /// Fails if this instance does not lead.
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

    /// Accepted edits, newest first.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers.
    pub(crate) async fn history(
        &self,
        request: protocol::HistoryRequest,
    ) -> Result<Vec<HistoryEntry>, LeaderCallError> {
        self.leader
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

    /// Accepted edits, newest first, where this instance leads.
    ///
    /// # Errors
    ///
    /// Fails if this instance does not lead.
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
            .filter(|revised| revised.revision < before);
        Ok(older.take(request.limit as usize).cloned().collect())
    }

    /// The live instances.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers.
    pub(crate) async fn instances(&self) -> Result<Vec<Heartbeat>, LeaderCallError> {
        self.leader
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

    /// The live instances, where this instance leads.
    ///
    /// # Errors
    ///
    /// Fails if this instance does not lead.
    pub(crate) async fn instances_locally(&self) -> Result<Vec<Heartbeat>, ProposeError> {
        self.confirm_leadership().await?;
        Ok(self.state_publisher.heartbeats())
    }

    /// Whether this instance leads the voters, as far as it knows.
    pub(crate) fn is_leader(&self) -> bool {
        self.control
            .as_ref()
            .is_some_and(|control| control.leader_status().borrow().is_leader)
    }

    /// Commits an idempotent command.
    ///
    /// # Errors
    ///
    /// Says whether the command may have been committed.
    pub(crate) async fn propose(&self, command: &Command) -> Result<Answer, LeaderCallError> {
        let command = encode(command);
        let proposed: CommittedCommand = self
            .leader
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

    /// Commits an encoded command where this instance leads.
    ///
    /// # Errors
    ///
    /// Fails if this instance does not lead, or the command does not decode.
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
            Ok(answered) => Ok(CommittedCommand {
                answer: answered.bytes,
                index: answered.index,
            }),
            Err(error) => Err(propose_error(error)),
        }
    }

    /// Waits for proof that this instance leads and has applied all that is committed.
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
