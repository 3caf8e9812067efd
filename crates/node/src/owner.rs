//! Hosts the dispatch core of one shard.
//!
//! The actor owns the shard under one epoch. It answers only while the instance holds a live
//! configuration lease and the shard is still assigned to it, so two owners never grant at once.
//! Permits of an earlier owner are taken over from the reports of the instances that use them.

mod actor;
mod endpoints;
mod holders;
mod limits;
mod messages;
mod permits;
mod spawn;
mod waiting;

pub(crate) use actor::{Identity, ShardOwner};
pub(crate) use messages::{Acquire, Announce, Overview, Progress, Withdraw};
pub(crate) use spawn::spawn;
