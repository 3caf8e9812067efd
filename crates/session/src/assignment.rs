use names::{Epoch, Incarnation, InstanceName};
use serde::{Deserialize, Serialize};

use crate::Shard;

/// Who owns a shard.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Position in the replicated log at which the ownership began.
    pub epoch: Epoch,
    /// Run of the owner.
    pub incarnation: Incarnation,
    /// The owner.
    pub owner: InstanceName,
    /// Whether an earlier owner's lease may still be live when the assignment is committed.
    pub predecessor_live: bool,
    /// The shard.
    pub shard: Shard,
}
