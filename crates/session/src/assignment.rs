use names::{Epoch, Incarnation, InstanceName};
use serde::{Deserialize, Serialize};

use crate::Shard;

/// Owner of a shard, as committed to the replicated log.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Index in the replicated log at which the ownership began.
    pub epoch: Epoch,
    /// Incarnation of the owner.
    pub incarnation: Incarnation,
    /// The owner.
    pub owner: InstanceName,
    /// State of the previous owner when the assignment was proposed.
    pub predecessor: Predecessor,
    /// The shard.
    pub shard: Shard,
}

/// State of a shard's previous owner; decides whether the new owner must wait.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum Predecessor {
    /// It grants no more permits; earlier ones may still be in use.
    Lapsed,
    /// It may grant permits for one more configuration lease.
    Live,
    /// The shard had no previous owner.
    None,
}
