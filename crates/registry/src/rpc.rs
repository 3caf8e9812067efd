use std::net::SocketAddr;

use placement::{Candidate, Demand, Load};
use serde::{Deserialize, Serialize};

use crate::{Document, Registration};

/// Calls between the instances of a deployment.
#[tarpc::service]
pub(crate) trait RegistryRpc {
    /// Takes messages of another voter.
    async fn deliver_messages(messages: Vec<Vec<u8>>);
    /// Position that was committed when a quorum confirmed, after the call, that this one leads.
    async fn confirm_leadership() -> Option<u64>;
    /// Takes a [`LoadReport`] and gives [`AggregatedLoads`], both in the short form of postcard, as they
    /// are exchanged many times a second.
    async fn exchange_loads(report: Vec<u8>) -> Vec<u8>;
    /// Waits for news and gives them.
    async fn poll(request: PollRequest) -> PollAnswer;
    /// Replicates a document; whether it is committed.
    async fn propose_document(document: Document) -> bool;
    /// Takes a [`ReservationRequest`] and gives a [`ReservationAnswer`], both in the form of postcard.
    async fn reserve(request: Vec<u8>) -> Vec<u8>;
    /// Takes heartbeats that another registry received.
    async fn share_events(events: Vec<EndpointEvent>);
}

/// News of an endpoint.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub enum EndpointEvent {
    /// It has left.
    Left {
        /// Start of the incarnation, where known.
        started_at_ms: Option<u64>,
        /// Name of the endpoint.
        id: String,
    },
    /// It was heard.
    Heartbeat(Registration),
}

/// An endpoint as a registry knows it.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// Whether it has not been heard lately.
    pub is_silent: bool,
    /// What it says of itself.
    pub registration: Registration,
}

/// What a subscriber knows, and how long it waits for more.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct PollRequest {
    /// Number of the last change of the directory that it knows.
    pub directory_cursor: u64,
    /// Epoch of the registry that the number belongs to.
    pub directory_epoch: u64,
    /// Version of its document.
    pub document_version: u64,
    /// Longest time to wait for news.
    pub hold_ms: u64,
    /// Name of the subscriber.
    pub instance: String,
    /// Whether it asks for the proof that the document is the newest.
    pub wants_confirmation: bool,
}

/// News since a poll began.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct PollAnswer {
    /// Number of the last change of the directory.
    pub directory_cursor: u64,
    /// Epoch of the registry; another one than that asked for means that `records` are all.
    pub directory_epoch: u64,
    /// Document, if it is newer than the subscriber's.
    pub document: Option<Document>,
    /// Whether the document held was the newest at some time after the poll arrived.
    pub is_confirmed: bool,
    /// Whether the registry leads the group.
    pub is_leader: bool,
    /// Endpoints that changed: [`EndpointRecord`]s in the short form of postcard.
    pub records: Vec<u8>,
    /// Inner addresses of all registries.
    pub registries: Vec<SocketAddr>,
    /// Subscribers that polled lately.
    pub subscribers: u32,
}

/// What runs on one endpoint.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointLoad {
    /// Events that came from it lately.
    pub events: u32,
    /// Time that so many of its events take, at the typical time of one as each instance saw it.
    pub events_us: u64,
    /// Requests that failed there lately.
    pub failures: u32,
    /// Name of the endpoint.
    pub id: String,
    /// What runs there.
    pub load: Load,
    /// Requests that succeeded there lately.
    pub successes: u32,
}

/// What was sent to one service of late.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub name: String,
    /// Sendings beyond the first of each request.
    pub retries: u64,
    /// Requests of clients.
    pub requests: u64,
}

/// Endpoints whose sums an instance wants.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubscribedEndpoints {
    /// All.
    #[default]
    All,
    /// Some, by name.
    Named(Vec<String>),
    /// Those that it named last.
    Unchanged,
}

/// What one instance runs and has sent.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
pub struct LoadReport {
    /// Endpoints whose sums it wants.
    pub subscribed_endpoints: SubscribedEndpoints,
    /// Name of the instance.
    pub instance: String,
    /// Its load, sorted by endpoint.
    pub loads: Vec<EndpointLoad>,
    /// Numbers of its reservations that are part of the load or were given up.
    pub reservations: CoveredReservations,
    /// What it has sent, sorted by service.
    pub services: Vec<ServiceLoad>,
}

/// Reservations of an instance that a report of it covers.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CoveredReservations {
    /// Number of its next reservation; all below are covered.
    pub next_number: u64,
    /// Lower numbers that are not covered, as their answers are still awaited.
    pub pending_numbers: Vec<u64>,
}

/// Asks for room on one of some endpoints.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ReservationRequest {
    /// What the request needs.
    pub demand: Demand,
    /// Name of the instance that asks.
    pub instance: String,
    /// Number of the reservation at that instance.
    pub number: u64,
    /// Endpoints that suit it.
    pub options: Vec<ReservationOption>,
}

/// An endpoint that suits a request.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ReservationOption {
    /// The endpoint, without its load.
    pub candidate: Candidate,
    /// Its name.
    pub id: String,
}

/// What came of asking for room.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReservationAnswer {
    /// None of the endpoints has room.
    Full,
    /// The request is expected at the option of this position.
    Reserved(usize),
    /// The registry does not know the loads yet.
    LoadsUnknown,
}

/// What all instances run.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AggregatedLoads {
    /// Whether the endpoints that it follows have to be named, as the registry does not know them.
    pub needs_endpoint_names: bool,
    /// Instances that reported lately.
    pub instances: u32,
    /// Sums, sorted by endpoint.
    pub loads: Vec<EndpointLoad>,
    /// Sums, sorted by service.
    pub services: Vec<ServiceLoad>,
}
