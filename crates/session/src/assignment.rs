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
    /// Its lease had lapsed when the assignment was proposed; its permits may still run.
    Lapsed,
    /// Its lease may still be live.
    Live,
    /// There was none.
    None,
}
