use std::net::SocketAddr;

use crate::{EndpointState, Record, Registration};

/// Endpoints as a subscriber knows them from several registries.
///
/// Of what the registries say of an endpoint, the latest incarnation and the most advanced state
/// hold. An endpoint is silent where no registry has heard it lately.
#[derive(Debug, Default)]
pub struct DirectoryView {
    /// Sorted by address of the registry.
    sources: Vec<Source>,
}

#[derive(Debug)]
struct Source {
    cursor: u64,
    epoch: u64,
    is_connected: bool,
    /// Sorted by id.
    records: Vec<Record>,
    registry: SocketAddr,
}

/// An endpoint with whether it is heard.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Endpoint {
    /// Whether no registry has heard it lately.
    pub is_silent: bool,
    /// What it says of itself.
    pub registration: Registration,
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
    pub fn update(&mut self, registry: SocketAddr, epoch: u64, cursor: u64, records: Vec<Record>) {
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
        if source.epoch != epoch {
            source.records.clear();
        }
        source.epoch = epoch;
        source.cursor = cursor;
        source.is_connected = true;
        for record in records {
            source.put(record);
        }
    }

    /// Notes that a registry is out of reach; what it said stays, but not that endpoints live.
    pub fn disconnect(&mut self, registry: SocketAddr) {
        if let Ok(at) = self.find(registry) {
            self.sources[at].is_connected = false;
        }
    }

    /// All endpoints that have not left, sorted by id.
    #[must_use]
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let mut merged: Vec<Endpoint> = Vec::new();
        let is_any_connected = self.sources.iter().any(|source| source.is_connected);
        for source in &self.sources {
            let is_heard = source.is_connected || !is_any_connected;
            for record in &source.records {
                merge(&mut merged, record, is_heard);
            }
        }
        end_reused_addresses(&mut merged);
        merged.retain(|endpoint| endpoint.registration.state != EndpointState::Gone);
        merged
    }

    fn find(&self, registry: SocketAddr) -> Result<usize, usize> {
        self.sources
            .binary_search_by_key(&registry, |source| source.registry)
    }
}

impl Source {
    fn put(&mut self, record: Record) {
        let id = &record.registration.id;
        let found = self
            .records
            .binary_search_by(|known| known.registration.id.cmp(id));
        match found {
            Ok(at) => self.records[at] = record,
            Err(at) => self.records.insert(at, record),
        }
    }
}

fn merge(merged: &mut Vec<Endpoint>, record: &Record, is_heard: bool) {
    let registration = &record.registration;
    let found = merged.binary_search_by(|known| known.registration.id.cmp(&registration.id));
    let is_silent = record.is_silent || !is_heard;
    match found {
        Ok(at) => {
            let known = &mut merged[at];
            if known.registration.born_ms == registration.born_ms {
                known.is_silent &= is_silent;
            }
            if rank(&known.registration) < rank(registration) {
                known.registration = registration.clone();
            }
        }
        Err(at) => {
            let endpoint = Endpoint {
                is_silent,
                registration: registration.clone(),
            };
            merged.insert(at, endpoint);
        }
    }
}

fn rank(registration: &Registration) -> (u64, EndpointState, u64) {
    (
        registration.born_ms,
        registration.state,
        registration.sequence,
    )
}

/// Of incarnations at one address, only the latest can live.
fn end_reused_addresses(endpoints: &mut [Endpoint]) {
    let mut latest: Vec<(SocketAddr, u64)> = endpoints
        .iter()
        .map(|endpoint| {
            let registration = &endpoint.registration;
            (registration.address, registration.born_ms)
        })
        .collect();
    latest.sort_unstable();
    for endpoint in endpoints {
        let registration = &mut endpoint.registration;
        let after = latest.partition_point(|known| known.0 <= registration.address);
        if latest[after - 1].1 > registration.born_ms {
            registration.state = EndpointState::Gone;
        }
    }
}
