use async_trait::async_trait;
use table::{Edit, EditOutcome, HistoryEntry, Items, OperatorName, Revision, Role};
use thiserror::Error;

use crate::{EndpointStatus, InstanceStatus, Readiness, Status};

/// Who calls, and what the caller may do.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Operator {
    /// Name that edits are signed with.
    pub name: OperatorName,
    /// What the operator may do.
    pub role: Role,
}

/// Why the backend did not do what it was asked.
#[derive(Debug, Error)]
pub enum BackendError {
    /// This instance cannot do it now; nothing was done.
    #[error("{reason}")]
    Unavailable {
        /// What is missing.
        reason: String,
        /// Time after which a repeat may succeed.
        retry_after_ms: u64,
    },
    /// The answer was lost; it may have been done.
    #[error("{reason}")]
    Unknown {
        /// What happened.
        reason: String,
    },
}

/// Sees the table while it does not change.
pub trait TableVisitor: Send {
    /// Called once with everything the table holds, and its revision.
    fn visit(&mut self, items: &Items, revision: Revision);
}

/// What the operators' interface shows and changes.
#[async_trait]
pub trait Backend: Send + Sync + 'static {
    /// The first answer to the edit's id, as [`table::Table::answer`] gives it.
    async fn stored_outcome(&self, edit: &Edit) -> Result<Option<EditOutcome>, BackendError>;

    /// Who holds a key; none where the key is missing or not known.
    async fn authorise(&self, key: Option<&str>) -> Option<Operator>;

    /// Starts a planned stop of this instance; asking again changes nothing.
    async fn drain(&self) -> Result<(), BackendError>;

    /// Applies an edit; the same edit may be sent again after a lost answer.
    ///
    /// Asks [`table::Table::answer`] and [`table::Table::check`] before it appends the edit.
    async fn edit(&self, edit: Edit) -> Result<EditOutcome, BackendError>;

    /// Every endpoint, ordered by name.
    async fn endpoints(&self) -> Result<Vec<EndpointStatus>, BackendError>;

    /// Accepted edits before a revision, newest first, at most `limit`.
    async fn history(
        &self,
        before: Revision,
        limit: usize,
    ) -> Result<Vec<HistoryEntry>, BackendError>;

    /// Every instance, ordered by name.
    async fn instances(&self) -> Result<Vec<InstanceStatus>, BackendError>;

    /// Whether this instance takes new work.
    fn readiness(&self) -> Readiness;

    /// State of this instance.
    async fn status(&self) -> Result<Status, BackendError>;

    /// Shows the table to a visitor.
    ///
    /// A visit for a whole file takes some 250 ms at 111,000 rows; it must not hold up heartbeats.
    async fn visit_table(&self, visitor: &mut dyn TableVisitor) -> Result<(), BackendError>;

    /// Returns once a revision is in force everywhere.
    async fn wait_in_force(&self, revision: Revision) -> Result<(), BackendError>;
}

/// Gives metrics in the text format that Prometheus reads.
pub trait MetricsSource: Send + Sync + 'static {
    /// All metrics.
    fn text(&self) -> String;
}
