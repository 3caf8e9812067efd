use async_trait::async_trait;
use table::{Edit, EditOutcome, HistoryEntry, Items, OperatorName, Revision, Role};
use thiserror::Error;

use crate::{EndpointStatus, InstanceStatus, LocalInstanceStatus, Readiness};

/// Authenticated operator and its role.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Operator {
    /// Name that is recorded as the author of edits.
    pub name: OperatorName,
    /// Role, which limits the permitted requests.
    pub role: Role,
}

/// Why the backend cannot answer a request.
#[derive(Debug, Error)]
pub enum BackendError {
    /// This instance cannot carry out the request now; nothing was changed.
    #[error("{reason}")]
    Unavailable {
        /// What is missing; shown to the operator.
        reason: String,
        /// Time after which a retry may succeed.
        retry_after_ms: u64,
    },
    /// The result is unknown: the request may have been carried out.
    #[error("{reason}")]
    Unknown {
        /// What happened; shown to the operator.
        reason: String,
    },
}

/// Reads a consistent view of the table; the table does not change during the visit.
pub trait TableVisitor: Send {
    /// Called once with all items of the table and its revision.
    fn visit(&mut self, items: &Items, revision: Revision);
}

/// Data and operations behind the admin interface.
#[async_trait]
pub trait Backend: Send + Sync + 'static {
    /// Applies an edit; a retry of the same edit returns the first outcome.
    ///
    /// Implementations call [`table::Table::stored_outcome`] and [`table::Table::check`] before
    /// they append the edit to the log.
    async fn apply_edit(&self, edit: Edit) -> Result<EditOutcome, BackendError>;

    /// Operator that a key belongs to; none if the key is missing or unknown.
    async fn authenticate(&self, key: Option<&str>) -> Option<Operator>;

    /// Starts to drain this instance; has no effect if it drains already.
    async fn drain(&self) -> Result<(), BackendError>;

    /// All endpoints, ordered by name.
    async fn endpoints(&self) -> Result<Vec<EndpointStatus>, BackendError>;

    /// At most `limit` accepted edits before a revision, newest first.
    async fn history(
        &self,
        before: Revision,
        limit: usize,
    ) -> Result<Vec<HistoryEntry>, BackendError>;

    /// All instances, ordered by name.
    async fn instances(&self) -> Result<Vec<InstanceStatus>, BackendError>;

    /// Whether this instance accepts new requests.
    fn readiness(&self) -> Readiness;

    /// Status of this instance.
    async fn status(&self) -> Result<LocalInstanceStatus, BackendError>;

    /// Outcome stored for the edit's id, as [`table::Table::stored_outcome`] returns it.
    async fn stored_outcome(&self, edit: &Edit) -> Result<Option<EditOutcome>, BackendError>;

    /// Calls a visitor with the table.
    ///
    /// A visit that writes the whole table file takes about 250 ms at 111,000 rows; it must not
    /// delay heartbeats.
    async fn visit_table(&self, visitor: &mut dyn TableVisitor) -> Result<(), BackendError>;

    /// Returns when a revision is in force on all instances.
    async fn wait_in_force(&self, revision: Revision) -> Result<(), BackendError>;
}

/// Source of the metrics that the admin interface serves.
pub trait MetricsSource: Send + Sync + 'static {
    /// All metrics in the Prometheus text format.
    fn prometheus_text(&self) -> String;
}
