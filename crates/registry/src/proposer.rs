use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, debug};
use tokio::time::{sleep, timeout};

use crate::connection::call_context;
use crate::group::Group;
use crate::read_index::ReadIndexBatcher;
use crate::{Error, RegistryCommand};

/// Delay before a command is proposed again, possibly to a new leader.
const RETRY_DELAY_MS: u64 = 30;

/// Proposes commands to the leader of the group, also if another instance leads.
pub(crate) struct Proposer {
    group: Arc<Group>,
    log: Logger,
    read_index: Arc<ReadIndexBatcher>,
}

impl Proposer {
    pub(crate) fn new(
        group: &Arc<Group>,
        read_index: &Arc<ReadIndexBatcher>,
        log: &Logger,
    ) -> Self {
        Self {
            group: Arc::clone(group),
            log: log.clone(),
            read_index: Arc::clone(read_index),
        }
    }

    /// Returns once a command is committed; without a quorum it may still be committed later.
    pub(crate) async fn propose(
        &self,
        command: &RegistryCommand,
        timeout_ms: u64,
    ) -> Result<(), Error> {
        let committed = async {
            while !self.try_propose(command, timeout_ms).await {
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        };
        let time = Duration::from_millis(timeout_ms);
        let outcome = timeout(time, committed).await;
        outcome.map_err(|_| Error::Unavailable { timeout_ms })
    }

    async fn try_propose(&self, command: &RegistryCommand, timeout_ms: u64) -> bool {
        let Some(leader) = self.read_index.leader().await else {
            let Some(handle) = self.group.handle() else {
                return false;
            };
            return handle.propose(command.encode()).await.is_ok();
        };
        let Ok(client) = leader.connect().await else {
            return false;
        };
        let context = call_context(timeout_ms);
        let proposed = match command {
            RegistryCommand::ChangeVersions(change) => {
                client.propose_version_change(context, change.clone()).await
            }
            RegistryCommand::PutDocument(document) => {
                client.propose_document(context, document.clone()).await
            }
        };
        proposed.unwrap_or_else(|error| {
            let error = leader.disconnect_after(&error);
            debug!(self.log, "command not forwarded to the leader"; "error" => %error);
            false
        })
    }
}
