//! Replicated configuration document and in-memory directory of endpoints, with their subscribers.
//!
//! Instances with a disk run a [`Registry`]. It keeps one configuration document in the replicated
//! log, where the highest version is in force, and a directory of endpoints in memory. Endpoints
//! send heartbeats to any registry, which forwards them to the others. The group of voters
//! maintains itself: an instance with an empty data folder joins as a learner, becomes a voter once
//! it has all committed entries, and replaces a voter that no longer responds.
//!
//! Every other instance runs a [`Subscription`], which long-polls each registry. An answer carries
//! changes of the directory, the version of the document, and a confirmation that it is the newest.
//! The subscriber then reads from one registry what has changed since the version that it has in force,
//! so that a small change of a large document crosses its link as a small message, and once.
//! A confirmation renews a [`Lease`]. Without a valid lease no new request is admitted, so an
//! accepted document is in force everywhere at most one lease later, even on instances that are
//! partitioned.
//!
//! Subscribers report their load on each endpoint to one registry, which aggregates the reports of
//! all. The same registry reserves capacity for generations: it knows all earlier reservations,
//! while the aggregated load that a subscriber received last is older. If this registry does not
//! answer, subscribers choose by that load.
//!
//! The same registry grants permits for requests to endpoints that have named a limit on what they take
//! from all instances together ([`EndpointLimits`]).
//!
//! Registries also remember the service and software version that began each recent stream, so that
//! a client can resume it through any instance. The software versions that may have begun streams are
//! replicated, so that a stream whose origin was lost is resumed only if there is no doubt about its
//! version ([`SoftwareVersions`]). And registries quarantine the parts of prompts that crash
//! endpoints, by the crashes and sound answers that all subscribers report.

mod boot_clock;
mod catalog_history;
mod connection;
mod directory;
mod directory_view;
mod document;
mod endpoint_limits;
mod error;
mod group;
mod lease;
mod load_aggregator;
mod membership;
mod part_quarantine;
mod part_view;
mod proposer;
mod publisher;
mod read_index;
mod registration;
mod registry;
mod rpc;
mod server;
mod settings;
mod software_versions;
mod state_machine;
mod stream_origins;
mod subscription;
mod transport;
mod version_register;

pub use boot_clock::time_since_boot_ms;
pub use catalog_history::CatalogHistory;
pub use directory::{Directory, RecordOutcome};
pub use directory_view::{DirectoryView, EndpointView};
pub use document::{Document, DocumentDecoder};
pub use endpoint_limits::{
    EndpointLimit, EndpointLimits, PermitAnswer, PermitRequest, interval_us,
};
pub use error::Error;
pub use lease::Lease;
pub use load_aggregator::LoadAggregator;
pub use membership::{GroupMembers, next_voter_change};
pub use part_quarantine::{
    Accusation, AccusingEndpoint, PartChange, PartQuarantine, PartReport, PartState, PublishedPart,
};
pub use part_view::{PartAdmission, PartView};
pub use publisher::update_batch_delay;
pub use registration::{EndpointState, Registration};
pub use registry::Registry;
pub use rpc::{
    AggregatedLoads, ChangeChunk, ChangePosition, CoveredReservations, EndpointEvent, EndpointLoad,
    EndpointRecord, LoadReport, PollAnswer, PollRequest, ReservationAnswer, ReservationOption,
    ReservationRequest, ServiceLoad, SubscribedEndpoints,
};
pub use settings::{RegistrySettings, SubscriptionSettings};
pub use software_versions::{SoftwareVersions, VersionChange, VersionEntry};
pub use state_machine::{RegistryCommand, RegistryStateMachine};
pub use stream_origins::{BegunStreams, StreamOrigin, StreamOrigins};
pub use subscription::{CatalogSink, Subscription};
