//! Gets commands into the replicated log.

use std::sync::Arc;

use control::GroupHandle;
use protocol::{CommittedCommand, ProposeError};
use session::Heartbeat;
use table::{Edit, EditOutcome, HistoryEntry, Revision};

use crate::leader::{Asked, Failure, Leader, TRY_TIMEOUT_MS};
use crate::peers::within;
use crate::publication::Publication;
use crate::state::{Answer, Command, SharedState, encode};

/// Way of commands and of questions about the replicated state to the leader.
#[derive(Debug)]
pub(crate) struct Proposer {
    control: Option<Arc<GroupHandle>>,
    leader: Leader,
    publication: Arc<Publication>,
    state: SharedState,
}

impl Proposer {
    pub(crate) fn new(
        control: Option<Arc<GroupHandle>>,
        leader: Leader,
        publication: &Arc<Publication>,
        state: &SharedState,
    ) -> Self {
        Self {
            control,
            leader,
            publication: Arc::clone(publication),
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
    pub(crate) async fn edit(&self, edit: &Edit) -> Result<EditOutcome, Failure> {
        self.leader
            .ask(|asked| async {
                match asked {
                    Asked::Here => Ok(self.edit_here(edit.clone()).await),
                    Asked::There(client) => client.edit(within(TRY_TIMEOUT_MS), edit.clone()).await,
                }
            })
            .await
    }

    /// Checks and commits an edit where this instance leads.
    ///
    /// # Errors
    ///
    /// Fails if this instance does not lead.
    pub(crate) async fn edit_here(&self, edit: Edit) -> Result<EditOutcome, ProposeError> {
        self.confirm().await?;
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
        let proposed = self.propose_here(encode(&Command::Edit(edit))).await?;
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
    ) -> Result<Vec<HistoryEntry>, Failure> {
        self.leader
            .ask(|asked| async {
                match asked {
                    Asked::Here => Ok(self.history_here(request).await),
                    Asked::There(client) => client.history(within(TRY_TIMEOUT_MS), request).await,
                }
            })
            .await
    }

    /// Accepted edits, newest first, where this instance leads.
    ///
    /// # Errors
    ///
    /// Fails if this instance does not lead.
    pub(crate) async fn history_here(
        &self,
        request: protocol::HistoryRequest,
    ) -> Result<Vec<HistoryEntry>, ProposeError> {
        self.confirm().await?;
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
    pub(crate) async fn instances(&self) -> Result<Vec<Heartbeat>, Failure> {
        self.leader
            .ask(|asked| async {
                match asked {
                    Asked::Here => Ok(self.instances_here().await),
                    Asked::There(client) => client.instances(within(TRY_TIMEOUT_MS)).await,
                }
            })
            .await
    }

    /// The live instances, where this instance leads.
    ///
    /// # Errors
    ///
    /// Fails if this instance does not lead.
    pub(crate) async fn instances_here(&self) -> Result<Vec<Heartbeat>, ProposeError> {
        self.confirm().await?;
        Ok(self.publication.heartbeats())
    }

    /// Whether this instance leads the voters, as far as it knows.
    pub(crate) fn leads(&self) -> bool {
        self.control
            .as_ref()
            .is_some_and(|control| control.leader_status().borrow().is_leader)
    }

    /// Commits an idempotent command.
    ///
    /// # Errors
    ///
    /// Says whether the command may have been committed.
    pub(crate) async fn propose(&self, command: &Command) -> Result<Answer, Failure> {
        let command = encode(command);
        let proposed: CommittedCommand = self
            .leader
            .ask(|asked| async {
                match asked {
                    Asked::Here => Ok(self.propose_here(command.clone()).await),
                    Asked::There(client) => {
                        client
                            .propose(within(TRY_TIMEOUT_MS), command.clone())
                            .await
                    }
                }
            })
            .await?;
        postcard::from_bytes(&proposed.answer).map_err(|_| Failure::Unknown)
    }

    /// Commits an encoded command where this instance leads.
    ///
    /// # Errors
    ///
    /// Fails if this instance does not lead, or the command does not decode.
    pub(crate) async fn propose_here(
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
    async fn confirm(&self) -> Result<(), ProposeError> {
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
