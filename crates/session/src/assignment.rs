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
    /// The owner before, as known when the assignment was proposed.
    pub predecessor: Predecessor,
    /// The shard.
    pub shard: Shard,
}

/// What the owner of a shard must know of the owner before it.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum Predecessor {
    /// It grants no more; its permits may still run.
    Lapsed,
    /// It may act for one more configuration lease.
    Live,
    /// There was none.
    None,
}
