//! Instance membership, leases, shard ownership and publication, without I/O.
//!
//! One subscription per instance carries heartbeats to a publisher and returns configuration,
//! membership and shard assignments. Voters serve one relay per data centre, and relays serve the
//! other instances of their data centre. The subscription also renews the configuration lease;
//! without it an instance neither admits new work nor grants permits.
//!
//! In all types `now_ms` is a monotonic clock of the calling process, in milliseconds.

mod announcement;
mod assignment;
mod assignment_ages;
mod assignments;
mod endpoints;
mod error;
mod lease;
mod member;
mod planner;
mod rendezvous;
mod roster;
mod shard;
mod subscriber_tracker;
mod upstream;

pub use announcement::{
    Announcement, CacheUpdate, EndpointState, EngineOffer, EngineRole, LoadReport, Offer,
    ServiceOffer,
};
pub use assignment::{Assignment, Predecessor};
pub use assignment_ages::AssignmentAges;
pub use assignments::{AssignCommand, Assignments, AssignmentsUpdate};
pub use endpoints::{Endpoint, EndpointEvent, Endpoints};
pub use error::Error;
pub use lease::{ConfigurationLease, LeaseState};
pub use member::{Member, MemberState, Role};
pub use planner::{plan_reassignments, plan_unassigned};
pub use rendezvous::rendezvous_order;
pub use roster::{Roster, RosterUpdate};
pub use shard::{OfferName, Shard};
pub use subscriber_tracker::{Heartbeat, HeartbeatResult, SubscriberTracker};
pub use upstream::UpstreamSelector;

/// Longest time for which an instance may act on a configuration after requesting it.
pub const CONFIGURATION_LEASE_MS: u64 = 2_500;

/// Longest time without an announcement before an endpoint's lease lapses.
pub const ENDPOINT_LEASE_MS: u64 = 2_500;

/// Time after the end of an endpoint's lease for which late announcements are recognised.
pub const ENDED_ENDPOINT_RETENTION_MS: u64 = 10_000;

/// Longest time that a publisher keeps a subscriber's request open without a change.
pub const HEARTBEAT_INTERVAL_MS: u64 = 400;

/// Time without a heartbeat after which an instance leaves the roster.
///
/// It exceeds the configuration lease, so that no process still acting on an old configuration is
/// removed.
pub const MEMBER_TIMEOUT_MS: u64 = CONFIGURATION_LEASE_MS + 500;

/// Least remaining time of a lease that is relayed to subscribers.
pub const RELAYED_LEASE_MIN_MS: u64 = CONFIGURATION_LEASE_MS / 2;

/// Time without an answer after which a subscriber tries another publisher.
pub const UPSTREAM_TIMEOUT_MS: u64 = 2 * HEARTBEAT_INTERVAL_MS;
