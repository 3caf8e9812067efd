use std::net::SocketAddr;
use std::sync::Arc;

use crate::{EndpointRecord, EndpointState, Registration};

/// Endpoints as a subscriber knows them from several registries.
///
/// Of what the registries say of an endpoint, the latest incarnation and the most advanced state
/// hold. An endpoint is silent where no registry has heard it lately.
///
/// Pattern: all endpoints of a large fleet register again at once, and the news come from every
/// registry in many small parts. Only what a part names is merged anew; the rest is shared.
#[derive(Debug, Default)]
pub struct DirectoryView {
    /// Endpoints by what all sources say, also those that left; sorted by id.
    merged: Vec<EndpointView>,
    /// Sorted by address of the registry.
    sources: Vec<Source>,
}

#[derive(Debug)]
struct Source {
    cursor: u64,
    epoch: u64,
    is_connected: bool,
    /// Sorted by id.
    records: Vec<EndpointView>,
    registry: SocketAddr,
}

/// An endpoint with whether it is heard.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct EndpointView {
    /// Whether no registry has heard it lately.
    pub is_silent: bool,
    /// What it says of itself.
    pub registration: Arc<Registration>,
}

impl DirectoryView {
    /// Position up to which a registry's changes are known: its epoch and change number.
    #[must_use]
    pub fn position(&self, registry: SocketAddr) -> (u64, u64) {
        match self.find(registry) {
            Ok(at) => (self.sources[at].epoch, self.sources[at].cursor),
            Err(_) => (0, 0),
        }
    }

    /// Takes the changes that a registry sent; of a new epoch, they are all that it knows.
    pub fn update(
        &mut self,
        registry: SocketAddr,
        epoch: u64,
        cursor: u64,
        records: Vec<EndpointRecord>,
    ) {
        let is_any_connected = self.is_any_connected();
        let at = self.find(registry).unwrap_or_else(|at| {
            let source = Source {
                cursor: 0,
                epoch,
                is_connected: true,
                records: Vec::new(),
                registry,
            };
            self.sources.insert(at, source);
            at
        });
        let source = &mut self.sources[at];
        let is_all_new = source.epoch != epoch || !source.is_connected || !is_any_connected;
        if source.epoch != epoch {
            source.records.clear();
        }
        source.epoch = epoch;
        source.cursor = cursor;
        source.is_connected = true;
        let mut changed = Vec::new();
        for record in records {
            changed.push(record.registration.id.clone());
            source.put(record);
        }
        if is_all_new {
            self.merge_all();
            return;
        }
        for id in changed {
            self.merge(&id);
        }
    }

    /// Notes that a registry is out of reach; what it said stays, but not that endpoints live.
    pub fn disconnect(&mut self, registry: SocketAddr) {
        if let Ok(at) = self.find(registry) {
            self.sources[at].is_connected = false;
            self.merge_all();
        }
    }

    /// All endpoints that have not left, sorted by id.
    #[must_use]
    pub fn endpoints(&self) -> Vec<EndpointView> {
        let mut endpoints = self.merged.clone();
        end_reused_addresses(&mut endpoints);
        endpoints.retain(|endpoint| endpoint.registration.state != EndpointState::Gone);
        endpoints
    }

    fn is_any_connected(&self) -> bool {
        self.sources.iter().any(|source| source.is_connected)
    }

    fn merge_all(&mut self) {
        let records = self.sources.iter().flat_map(|source| &source.records);
        let mut ids: Vec<String> = records
            .map(|record| record.registration.id.clone())
            .collect();
        ids.sort_unstable();
        ids.dedup();
        self.merged.clear();
        for id in ids {
            self.merge(&id);
        }
    }

    /// Merges what the sources say of one endpoint.
    fn merge(&mut self, id: &str) {
        let is_any_connected = self.is_any_connected();
        let mut merged: Option<EndpointView> = None;
        for source in &self.sources {
            let Ok(at) = position(&source.records, id) else {
                continue;
            };
            let mut record = source.records[at].clone();
            record.is_silent |= is_any_connected && !source.is_connected;
            merged = Some(match merged {
                Some(known) => known.with(record),
                None => record,
            });
        }
        match (position(&self.merged, id), merged) {
            (Ok(at), Some(endpoint)) => self.merged[at] = endpoint,
            (Err(at), Some(endpoint)) => self.merged.insert(at, endpoint),
            (_, None) => {}
        }
    }

    fn find(&self, registry: SocketAddr) -> Result<usize, usize> {
        self.sources
            .binary_search_by_key(&registry, |source| source.registry)
    }
}

impl Source {
    fn put(&mut self, record: EndpointRecord) {
        let record = EndpointView {
            is_silent: record.is_silent,
            registration: Arc::new(record.registration),
        };
        match position(&self.records, &record.registration.id) {
            Ok(at) => self.records[at] = record,
            Err(at) => self.records.insert(at, record),
        }
    }
}

impl EndpointView {
    /// What holds, where another registry says something else.
    fn with(self, other: Self) -> Self {
        let is_same = self.registration.started_at_ms == other.registration.started_at_ms;
        let (older, latest) = if rank(&self.registration) < rank(&other.registration) {
            (self, other)
        } else {
            (other, self)
        };
        Self {
            is_silent: latest.is_silent && (older.is_silent || !is_same),
            registration: latest.registration,
        }
    }
}

fn position(endpoints: &[EndpointView], id: &str) -> Result<usize, usize> {
    endpoints.binary_search_by(|known| known.registration.id.as_str().cmp(id))
}

fn rank(registration: &Registration) -> (u64, EndpointState, u64) {
    (
        registration.started_at_ms,
        registration.state,
        registration.sequence,
    )
}

/// Of incarnations at one address, only the latest can live.
fn end_reused_addresses(endpoints: &mut [EndpointView]) {
    let mut latest: Vec<(SocketAddr, u64)> = endpoints
        .iter()
        .map(|endpoint| {
            let registration = &endpoint.registration;
            (registration.address, registration.started_at_ms)
        })
        .collect();
    latest.sort_unstable();
    for endpoint in endpoints {
        let registration = &mut endpoint.registration;
        let after = latest.partition_point(|known| known.0 <= registration.address);
        if latest[after - 1].1 > registration.started_at_ms {
            Arc::make_mut(registration).state = EndpointState::Gone;
        }
    }
}
