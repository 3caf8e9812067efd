//! Actor that runs the dispatch core of one shard.
//!
//! The actor owns the shard under one epoch. It grants only while the instance has a live
//! configuration lease and the shard is still assigned to it, so two owners never grant at once.
//! Permits of an earlier owner are adopted from the reports of the instances that hold them.

mod actor;
mod endpoints;
mod granted_permits;
mod messages;
mod permits;
mod row_limits;
mod spawn;
mod waiting_requests;

pub(crate) use actor::{Ownership, ShardOwner};
pub(crate) use messages::{Acquire, Announce, ListEndpoints, ReportProgress, WithdrawRequest};
pub(crate) use spawn::spawn_owner;
