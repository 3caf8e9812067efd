//! The owner's leases of its endpoints.

use names::{EndpointId, EndpointName};

use crate::{Announcement, ENDPOINT_LEASE_MS, Error};

/// An endpoint under lease.
#[derive(Debug)]
pub struct Endpoint {
    /// The last announcement taken.
    pub announcement: Announcement,
    /// When that was.
    pub heard_ms: u64,
    /// Number of the endpoint's incarnation within its owner.
    pub id: EndpointId,
    /// Its name.
    pub name: EndpointName,
}

/// What an announcement or the passing of time did.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum EndpointEvent {
    /// An endpoint is ready.
    Announced(EndpointId),
    /// An endpoint's lease lapsed or its incarnation ended.
    Lapsed(EndpointId),
    /// An endpoint takes no new work.
    Leaving(EndpointId),
}

/// Endpoints under lease, sorted by name.
#[derive(Debug, Default)]
pub struct Endpoints {
    endpoints: Vec<Endpoint>,
    last_id: u64,
}

impl Endpoints {
    /// Takes an announcement; every incarnation of an endpoint gets a number of its own.
    ///
    /// # Errors
    ///
    /// Refuses an announcement older than the last one taken of the endpoint.
    pub fn announce(
        &mut self,
        now_ms: u64,
        name: &EndpointName,
        announcement: &Announcement,
    ) -> Result<Vec<EndpointEvent>, Error> {
        let mut events = Vec::new();
        if let Ok(position) = self.position(name) {
            let known = &self.endpoints[position];
            let known_key = (known.announcement.incarnation, known.announcement.sequence);
            if (announcement.incarnation, announcement.sequence) < known_key {
                return Err(Error::Outdated {
                    endpoint: name.clone(),
                    incarnation: announcement.incarnation,
                    sequence: announcement.sequence,
                });
            }
            if known.announcement.incarnation != announcement.incarnation {
                events.push(EndpointEvent::Lapsed(known.id));
                self.endpoints.remove(position);
            }
        }
        let id = self.set(now_ms, name, announcement);
        events.push(if announcement.takes_work() {
            EndpointEvent::Announced(id)
        } else {
            EndpointEvent::Leaving(id)
        });
        Ok(events)
    }

    /// Removes endpoints whose lease has lapsed.
    pub fn expire(&mut self, now_ms: u64) -> Vec<EndpointEvent> {
        let live = |endpoint: &Endpoint| endpoint.heard_ms + ENDPOINT_LEASE_MS > now_ms;
        let lapsed = self
            .endpoints
            .iter()
            .filter(|endpoint| !live(endpoint))
            .map(|endpoint| EndpointEvent::Lapsed(endpoint.id))
            .collect();
        self.endpoints.retain(live);
        lapsed
    }

    /// The endpoint with that number.
    #[must_use]
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.iter().find(|endpoint| endpoint.id == id)
    }

    /// All endpoints under lease, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    fn position(&self, name: &EndpointName) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|endpoint| endpoint.name.cmp(name))
    }

    fn set(&mut self, now_ms: u64, name: &EndpointName, news: &Announcement) -> EndpointId {
        match self.position(name) {
            Ok(position) => {
                let endpoint = &mut self.endpoints[position];
                endpoint.announcement = news.clone();
                endpoint.heard_ms = now_ms;
                endpoint.id
            }
            Err(position) => {
                self.last_id += 1;
                let id = EndpointId(self.last_id);
                self.endpoints.insert(
                    position,
                    Endpoint {
                        announcement: news.clone(),
                        heard_ms: now_ms,
                        id,
                        name: name.clone(),
                    },
                );
                id
            }
        }
    }
}
