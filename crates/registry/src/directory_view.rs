use std::net::SocketAddr;
use std::sync::Arc;

use crate::{EndpointRecord, EndpointState, Registration};

/// Directories of several registries, merged by a subscriber.
///
/// For each endpoint, the latest incarnation and its most advanced state are used. An endpoint is
/// silent if no registry has received a recent heartbeat of it.
///
/// All endpoints of a large fleet may register again at once, and the updates arrive from every
/// registry in many small batches. So only the endpoints of a batch are merged again, and the
/// registrations of all others are shared.
#[derive(Debug, Default)]
pub struct DirectoryView {
    /// Merged endpoints, also those that left; sorted by id.
    merged: Vec<EndpointView>,
    /// Sorted by address of the registry.
    registries: Vec<RegistryDirectory>,
}

/// Copy of the directory of one registry.
#[derive(Debug)]
struct RegistryDirectory {
    address: SocketAddr,
    cursor: u64,
    /// Sorted by id.
    endpoints: Vec<EndpointView>,
    epoch: u64,
    is_connected: bool,
}

/// Endpoint as seen by a subscriber.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct EndpointView {
    /// Whether no registry has received a recent heartbeat.
    pub is_silent: bool,
    /// Contents of the latest heartbeat.
    pub registration: Arc<Registration>,
}

impl DirectoryView {
    /// Epoch of a registry, and number of its latest directory change in this view.
    #[must_use]
    pub fn position(&self, registry: SocketAddr) -> (u64, u64) {
        match self.find_registry(registry) {
            Ok(index) => (self.registries[index].epoch, self.registries[index].cursor),
            Err(_) => (0, 0),
        }
    }

    /// Applies directory changes of a registry; in a new epoch, they are its whole directory.
    pub fn update(
        &mut self,
        registry: SocketAddr,
        epoch: u64,
        cursor: u64,
        records: Vec<EndpointRecord>,
    ) {
        let is_any_connected = self.is_any_connected();
        let index = self.find_registry(registry).unwrap_or_else(|index| {
            let directory = RegistryDirectory {
                address: registry,
                cursor: 0,
                endpoints: Vec::new(),
                epoch,
                is_connected: true,
            };
            self.registries.insert(index, directory);
            index
        });
        let directory = &mut self.registries[index];
        let affects_all = directory.epoch != epoch || !directory.is_connected || !is_any_connected;
        if directory.epoch != epoch {
            directory.endpoints.clear();
        }
        directory.epoch = epoch;
        directory.cursor = cursor;
        directory.is_connected = true;
        let mut changed_ids = Vec::new();
        for record in records {
            changed_ids.push(record.registration.id.clone());
            directory.insert_or_replace(record);
        }
        if affects_all {
            self.merge_all();
            return;
        }
        for id in changed_ids {
            self.merge(&id);
        }
    }

    /// Marks a registry as disconnected: its records stay, but no longer show that endpoints live.
    pub fn disconnect(&mut self, registry: SocketAddr) {
        if let Ok(index) = self.find_registry(registry) {
            self.registries[index].is_connected = false;
            self.merge_all();
        }
    }

    /// All endpoints that have not left, sorted by id.
    #[must_use]
    pub fn endpoints(&self) -> Vec<EndpointView> {
        let mut endpoints = self.merged.clone();
        mark_replaced_endpoints_gone(&mut endpoints);
        endpoints.retain(|endpoint| endpoint.registration.state != EndpointState::Gone);
        endpoints
    }

    fn is_any_connected(&self) -> bool {
        self.registries
            .iter()
            .any(|directory| directory.is_connected)
    }

    fn merge_all(&mut self) {
        let directories = self.registries.iter();
        let mut ids: Vec<String> = directories
            .flat_map(|directory| &directory.endpoints)
            .map(|endpoint| endpoint.registration.id.clone())
            .collect();
        ids.sort_unstable();
        ids.dedup();
        self.merged.clear();
        for id in ids {
            self.merge(&id);
        }
    }

    /// Merges the records of all registries for one endpoint.
    fn merge(&mut self, id: &str) {
        let is_any_connected = self.is_any_connected();
        let mut merged: Option<EndpointView> = None;
        for directory in &self.registries {
            let Ok(index) = find_endpoint(&directory.endpoints, id) else {
                continue;
            };
            let mut endpoint = directory.endpoints[index].clone();
            endpoint.is_silent |= is_any_connected && !directory.is_connected;
            merged = Some(match merged {
                Some(other) => other.merge(endpoint),
                None => endpoint,
            });
        }
        match (find_endpoint(&self.merged, id), merged) {
            (Ok(index), Some(endpoint)) => self.merged[index] = endpoint,
            (Err(index), Some(endpoint)) => self.merged.insert(index, endpoint),
            (_, None) => {}
        }
    }

    fn find_registry(&self, registry: SocketAddr) -> Result<usize, usize> {
        self.registries
            .binary_search_by_key(&registry, |directory| directory.address)
    }
}

impl RegistryDirectory {
    fn insert_or_replace(&mut self, record: EndpointRecord) {
        let endpoint = EndpointView {
            is_silent: record.is_silent,
            registration: Arc::new(record.registration),
        };
        match find_endpoint(&self.endpoints, &endpoint.registration.id) {
            Ok(index) => self.endpoints[index] = endpoint,
            Err(index) => self.endpoints.insert(index, endpoint),
        }
    }
}

impl EndpointView {
    /// Merges the views of two registries.
    fn merge(self, other: Self) -> Self {
        let is_same_incarnation =
            self.registration.started_at_ms == other.registration.started_at_ms;
        let (older, latest) = if recency(&self.registration) < recency(&other.registration) {
            (self, other)
        } else {
            (other, self)
        };
        Self {
            is_silent: latest.is_silent && (older.is_silent || !is_same_incarnation),
            registration: latest.registration,
        }
    }
}

fn find_endpoint(endpoints: &[EndpointView], id: &str) -> Result<usize, usize> {
    endpoints.binary_search_by(|endpoint| endpoint.registration.id.as_str().cmp(id))
}

fn recency(registration: &Registration) -> (u64, EndpointState, u64) {
    (
        registration.started_at_ms,
        registration.state,
        registration.sequence,
    )
}

/// Marks endpoints as gone whose address a later incarnation uses; only one can live there.
fn mark_replaced_endpoints_gone(endpoints: &mut [EndpointView]) {
    let mut starts_by_address: Vec<(SocketAddr, u64)> = endpoints
        .iter()
        .map(|endpoint| {
            let registration = &endpoint.registration;
            (registration.address, registration.started_at_ms)
        })
        .collect();
    starts_by_address.sort_unstable();
    for endpoint in endpoints {
        let registration = &mut endpoint.registration;
        let end = starts_by_address.partition_point(|entry| entry.0 <= registration.address);
        if starts_by_address[end - 1].1 > registration.started_at_ms {
            Arc::make_mut(registration).state = EndpointState::Gone;
        }
    }
}
