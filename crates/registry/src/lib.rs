//! Replicated configuration document and soft directory of endpoints, with their subscribers.
//!
//! Instances with a disk run a [`Registry`]. It keeps one configuration document in the replicated
//! log, where the highest version wins, and a directory of endpoints in memory, which endpoints
//! feed by their heartbeats and registries share among each other. The group of voters maintains
//! itself: an instance with an empty data folder joins as a learner, becomes a voter once it holds
//! everything committed, and replaces a voter that has fallen silent.
//!
//! Every other instance runs a [`Subscription`]. It polls each registry; an answer brings changes
//! of the directory and newer documents at once, and the proof that the document is the newest.
//! A proof starts a [`Lease`]: without a valid one nothing new is admitted, so a document that was
//! accepted is in force everywhere at most one lease later, even on instances that are cut off.
//!
//! Subscribers exchange what they run on each endpoint through one registry, so that each of them
//! knows the load of all. The same registry reserves room for generations: it has seen every one
//! that was placed before, where a subscriber knows the sums of a while ago. Where it is silent,
//! subscribers choose by those.

mod boot_clock;
mod directory;
mod directory_view;
mod document;
mod error;
mod group;
mod lease;
mod link;
mod load_aggregator;
mod membership;
mod publisher;
mod read_index;
mod registration;
mod registry;
mod rpc;
mod server;
mod settings;
mod subscription;
mod transport;

pub use boot_clock::time_since_boot_ms;
pub use directory::{Directory, RecordOutcome};
pub use directory_view::{DirectoryView, EndpointView};
pub use document::{Document, DocumentStateMachine};
pub use error::Error;
pub use lease::Lease;
pub use load_aggregator::LoadAggregator;
pub use membership::{GroupMembers, next_voter_change};
pub use publisher::update_batch_delay;
pub use registration::{EndpointState, Registration};
pub use registry::Registry;
pub use rpc::{
    AggregatedLoads, CoveredReservations, EndpointEvent, EndpointLoad, EndpointRecord, LoadReport,
    PollAnswer, PollRequest, ReservationAnswer, ReservationOption, ReservationRequest, ServiceLoad,
    SubscribedEndpoints,
};
pub use settings::{RegistrySettings, SubscriptionSettings};
pub use subscription::{DocumentSink, Subscription};
