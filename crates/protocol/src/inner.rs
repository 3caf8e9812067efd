use names::InstanceName;

use crate::{
    AcquireAnswer, AcquireRequest, AnnounceAnswer, AnnounceRequest, ProgressAnswer, ProgressReport,
    ProposeError, Proposed, SyncAnswer, SyncRequest,
};

/// Calls that instances make to one another.
#[tarpc::service]
pub trait Inner {
    /// Asks the owner of a shard for a permit; answers when it is granted or refused.
    async fn acquire(request: AcquireRequest) -> AcquireAnswer;

    /// Delivers an encoded message of the agreement between voters.
    async fn agree(from: InstanceName, message: Vec<u8>);

    /// Hands an endpoint's announcement to the owner of its shard.
    async fn announce(request: AnnounceRequest) -> AnnounceAnswer;

    /// Reports running and ended permits to the owner of a shard.
    async fn progress(report: ProgressReport) -> ProgressAnswer;

    /// Proposes an encoded command for the replicated log; served by the leader.
    async fn propose(command: Vec<u8>) -> Result<Proposed, ProposeError>;

    /// Renews a subscription; answers when there is news, or after a heartbeat interval.
    async fn sync(request: SyncRequest) -> SyncAnswer;
}
