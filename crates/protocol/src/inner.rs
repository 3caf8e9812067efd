use names::InstanceName;
use session::Heartbeat;
use table::{Edit, EditOutcome};

use crate::{
    AcquireAnswer, AcquireRequest, AnnounceAnswer, AnnounceRequest, CommittedCommand,
    EndpointReport, History, HistoryRequest, ProgressAnswer, ProgressReport, ProposeError,
    SyncAnswer, SyncRequest,
};

/// Remote procedure calls between the instances of a deployment.
#[tarpc::service]
pub trait Inner {
    /// Requests a permit from the owner of a shard; answers when it is granted or refused.
    async fn acquire(request: AcquireRequest) -> AcquireAnswer;

    /// Delivers an encoded consensus message from one voter to another.
    async fn deliver_agreement(from: InstanceName, message: Vec<u8>);

    /// Forwards an endpoint's announcement to the owner of its shard.
    async fn announce(request: AnnounceRequest) -> AnnounceAnswer;

    /// Validates an edit and commits it; served by the leader.
    async fn edit(edit: Edit) -> Result<EditOutcome, ProposeError>;

    /// Lists the endpoints that the called instance owns.
    async fn endpoints() -> Vec<EndpointReport>;

    /// Lists accepted edits; served by the leader.
    async fn history(request: HistoryRequest) -> Result<History, ProposeError>;

    /// Lists the live instances; served by the leader.
    async fn instances() -> Result<Vec<Heartbeat>, ProposeError>;

    /// Reports running and ended permits to the owner of a shard.
    async fn progress(report: ProgressReport) -> ProgressAnswer;

    /// Proposes an encoded command for the replicated log; served by the leader.
    async fn propose(command: Vec<u8>) -> Result<CommittedCommand, ProposeError>;

    /// Renews a subscription; answers on a change, or after a heartbeat interval.
    async fn sync(request: SyncRequest) -> SyncAnswer;
}
