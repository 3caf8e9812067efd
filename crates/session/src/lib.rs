//! Instance membership, leases, shard ownership and publication, without input or output.
//!
//! One subscription per instance carries heartbeats upwards and configuration, membership and
//! shard assignments downwards: voters serve one relay per data centre, relays serve the other
//! instances of their data centre. The same subscription renews the configuration lease, without
//! which an instance neither admits new work nor grants permits.
//!
//! Every type here takes `now_ms`, a monotonic clock of the calling process in milliseconds.

mod announcement;
mod assignment;
mod assignment_ages;
mod assignments;
mod endpoints;
mod error;
mod lease;
mod member;
mod planner;
mod publisher;
mod rendezvous;
mod roster;
mod shard;
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
pub use publisher::{Heartbeat, HeartbeatResult, Publisher};
pub use rendezvous::rendezvous_order;
pub use roster::{Roster, RosterUpdate};
pub use shard::{OfferName, Shard};
pub use upstream::UpstreamSelector;

/// Longest time an instance may act on a configuration after it asked for it.
pub const CONFIGURATION_LEASE_MS: u64 = 2_500;

/// Longest time without an announcement before an endpoint's lease lapses.
pub const ENDPOINT_LEASE_MS: u64 = 2_500;

/// Time after the end of an endpoint's lease for which late announcements are still told apart.
pub const ENDED_ENDPOINT_RETENTION_MS: u64 = 10_000;

/// Longest time that a publisher keeps a subscriber's request open without news.
pub const HEARTBEAT_INTERVAL_MS: u64 = 400;

/// Time without a heartbeat after which an instance leaves the roster.
///
/// It is longer than the configuration lease, so that no run is forgotten that acts on an old
/// configuration.
pub const MEMBER_TIMEOUT_MS: u64 = CONFIGURATION_LEASE_MS + 500;

/// Least time left of a lease that is passed on to subscribers.
pub const RELAYED_LEASE_MIN_MS: u64 = CONFIGURATION_LEASE_MS / 2;

/// Time without an answer after which a subscriber moves to another publisher.
pub const UPSTREAM_TIMEOUT_MS: u64 = 2 * HEARTBEAT_INTERVAL_MS;
