use std::net::SocketAddr;

use placement::{Candidate, Demand, Load};
use serde::{Deserialize, Serialize};

use crate::{BegunStreams, Document, EndpointLimit, Registration, StreamOrigin, VersionChange};

/// Remote calls between the instances of a deployment. All are served by registries.
#[tarpc::service]
pub(crate) trait RegistryRpc {
    /// Delivers encoded envelopes from another voter.
    async fn deliver_messages(messages: Vec<Vec<u8>>);
    /// Returns the read index, after a quorum has confirmed that the called instance leads.
    async fn confirm_leadership() -> Option<u64>;
    /// Takes a [`LoadReport`] and returns [`AggregatedLoads`], both encoded by postcard: they are
    /// exchanged many times a second, and postcard's form is short.
    async fn exchange_loads(report: Vec<u8>) -> Vec<u8>;
    /// Waits until there are updates for the subscriber, or the hold time is over.
    async fn poll(request: PollRequest) -> PollAnswer;
    /// Returns a chunk of a change of the catalog; `None` if the registry has no catalog.
    async fn read_change(position: ChangePosition) -> Option<ChangeChunk>;
    /// Replicates a document; returns whether it is committed.
    async fn propose_document(document: Document) -> bool;
    /// Takes a [`ReservationRequest`] and returns a [`ReservationAnswer`], both in postcard's form.
    async fn reserve(request: Vec<u8>) -> Vec<u8>;
    /// Takes a list of [`PermitRequest`](crate::PermitRequest) and returns a
    /// [`PermitAnswer`](crate::PermitAnswer) for each, both in postcard's form.
    async fn take_permits(requests: Vec<u8>) -> Vec<u8>;
    /// Records events of endpoints that another registry received.
    async fn forward_events(events: Vec<EndpointEvent>);
    /// Records streams that have begun.
    async fn record_streams(begun: Vec<BegunStreams>);
    /// Returns the origin of the stream that a request began, if it is known.
    async fn find_stream_origin(request_id: String) -> Option<StreamOrigin>;
    /// Takes a [`PartReport`](crate::PartReport) in postcard's form.
    async fn report_parts(report: Vec<u8>);
    /// Returns whether a request may probe these parts of its prompt.
    async fn grant_probe(parts: Vec<u64>) -> bool;
    /// Replicates a change of the software versions; returns whether it is committed.
    async fn propose_version_change(change: VersionChange) -> bool;
    /// Returns the origin of all streams of a service that clients may still resume, if there is only
    /// one and a quorum confirms it.
    async fn find_only_origin(service: String) -> Option<StreamOrigin>;
}

/// Event of an endpoint, as received by a registry and forwarded to the others.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub enum EndpointEvent {
    /// The endpoint has left.
    Left {
        /// Start of the incarnation that left, if known; in ms since the Unix epoch.
        started_at_ms: Option<u64>,
        /// Name of the endpoint.
        id: String,
    },
    /// The endpoint sent a heartbeat.
    Heartbeat(Registration),
}

/// State of an endpoint in the directory of a registry.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// Whether its heartbeats have stopped.
    pub is_silent: bool,
    /// Contents of its latest heartbeat.
    pub registration: Registration,
}

/// Long poll of a subscriber: its current state, and how long it waits for updates.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct PollRequest {
    /// Number of the latest directory change that it has.
    pub directory_cursor: u64,
    /// Epoch of the registry that the number belongs to.
    pub directory_epoch: u64,
    /// Latest version that it has, or that this registry has told it; a newer one is answered at
    /// once.
    pub document_version: u64,
    /// Longest time to wait for updates.
    pub hold_ms: u64,
    /// Name of the subscriber.
    pub instance: String,
    /// Epoch of the registry that `parts_version` belongs to.
    pub parts_epoch: u64,
    /// Version of the accused parts that it has.
    pub parts_version: u64,
    /// Whether it requests a confirmation that the document is the newest.
    pub wants_confirmation: bool,
}

/// Answer to a [`PollRequest`].
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct PollAnswer {
    /// Number of the latest directory change.
    pub directory_cursor: u64,
    /// Epoch of the registry; if it is not the requested one, `records` holds the whole directory.
    pub directory_epoch: u64,
    /// Version of the registry's document; 0 if it has none.
    pub document_version: u64,
    /// Whether the registry's document was the newest at some time after the poll arrived.
    pub is_confirmed: bool,
    /// Whether the registry leads the group.
    pub is_leader: bool,
    /// Accused parts of prompts if the subscriber's version is older: a list of
    /// [`PublishedPart`](crate::PublishedPart) encoded by postcard.
    pub parts: Option<Vec<u8>>,
    /// Version of the accused parts.
    pub parts_version: u64,
    /// Changed endpoints: a list of [`EndpointRecord`] encoded by postcard.
    pub records: Vec<u8>,
    /// Inner addresses of all registries.
    pub registries: Vec<SocketAddr>,
    /// Number of subscribers that polled recently.
    pub subscriber_count: u32,
}

/// Byte of an encoded change, from which a subscriber reads on.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct ChangePosition {
    /// Version that the change was made from; 0 is the empty catalog.
    pub base_version: u64,
    /// Position of the byte.
    pub first_byte: u64,
    /// Version that the change leads to; 0 for the newest.
    pub version: u64,
}

/// Consecutive bytes of a [`CatalogChange`](catalog::CatalogChange) encoded by postcard.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ChangeChunk {
    /// Version that the change was made from; 0 if it holds the whole catalog.
    pub base_version: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Length of the whole change.
    pub change_bytes: u64,
    /// Position of the first of the bytes.
    pub first_byte: u64,
    /// Version that the change leads to.
    pub version: u64,
}

/// Load and recent results of one endpoint, of one instance or aggregated over all.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointLoad {
    /// Recent stream events.
    pub events: u32,
    /// Number of events times the typical interval between two of them; summed over the instances.
    pub events_us: u64,
    /// Recent requests that failed.
    pub failures: u32,
    /// Name of the endpoint.
    pub id: String,
    /// Load by the requests in flight.
    pub load: Load,
    /// Recent requests that succeeded.
    pub successes: u32,
}

/// Recent requests and retries to one service.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub name: String,
    /// Attempts beyond the first of each request.
    pub retries: u64,
    /// Requests of clients.
    pub requests: u64,
}

/// Endpoints whose aggregated load an instance subscribes to.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubscribedEndpoints {
    /// All endpoints.
    #[default]
    All,
    /// The named endpoints; the names are sorted.
    Named(Vec<String>),
    /// The same endpoints as in the previous report.
    Unchanged,
}

/// Load of one instance, sent regularly to the aggregating registry.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
pub struct LoadReport {
    /// Endpoints whose aggregated load is returned.
    pub subscribed_endpoints: SubscribedEndpoints,
    /// Name of the instance.
    pub instance: String,
    /// What responses told it of limits.
    pub limits: Vec<EndpointLimit>,
    /// Load of its requests, sorted by endpoint.
    pub loads: Vec<EndpointLoad>,
    /// Its reservations that are part of the load or were given up.
    pub reservations: CoveredReservations,
    /// Its requests and retries, sorted by service.
    pub services: Vec<ServiceLoad>,
}

/// Reservations of an instance that its [`LoadReport`] already covers.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CoveredReservations {
    /// Number of its next reservation. All lower numbers are covered, except the pending ones.
    pub next_number: u64,
    /// Numbers whose answers have not arrived, so that they are not covered; sorted.
    pub pending_numbers: Vec<u64>,
}

/// Request to reserve capacity on one of several endpoints.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ReservationRequest {
    /// Resources that the generation needs.
    pub demand: Demand,
    /// Name of the requesting instance.
    pub instance: String,
    /// Number of the reservation at that instance.
    pub number: u64,
    /// Endpoints that can run the generation.
    pub options: Vec<ReservationOption>,
}

/// Endpoint on which a [`ReservationRequest`] may be granted.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ReservationOption {
    /// Properties of the endpoint, without its load.
    pub candidate: Candidate,
    /// Name of the endpoint.
    pub id: String,
}

/// Answer to a [`ReservationRequest`].
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReservationAnswer {
    /// No endpoint has free capacity.
    Full,
    /// Capacity is reserved on the option with this index.
    Reserved(usize),
    /// The registry has not received the loads of all instances yet.
    LoadsUnknown,
}

/// Aggregated load of all instances, the answer to a [`LoadReport`].
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AggregatedLoads {
    /// Whether the next report has to name the endpoints, because the registry does not know them.
    pub needs_endpoint_names: bool,
    /// Number of instances that reported recently.
    pub instances: u32,
    /// Limits of the subscribed endpoints that have named one.
    pub limits: Vec<EndpointLimit>,
    /// Load of each subscribed endpoint, sorted by endpoint.
    pub loads: Vec<EndpointLoad>,
    /// Requests and retries of each service, sorted by service.
    pub services: Vec<ServiceLoad>,
}
