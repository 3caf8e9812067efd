//! Leases of endpoints at the owner of their shard.
//!
//! The sequence of the last announcement is kept for [`ENDED_ENDPOINT_RETENTION_MS`] after a lease
//! lapsed, so that a delayed announcement does not bring the endpoint back.

use names::{EndpointId, EndpointName, Incarnation};

use crate::{Announcement, ENDED_ENDPOINT_RETENTION_MS, ENDPOINT_LEASE_MS, Error};

/// An endpoint under lease.
#[derive(Debug)]
pub struct Endpoint {
    /// Time of the last accepted announcement.
    pub announced_ms: u64,
    /// The last accepted announcement.
    pub announcement: Announcement,
    /// Number of the endpoint's incarnation within its owner.
    pub id: EndpointId,
    /// Its name.
    pub name: EndpointName,
}

/// Effect of an announcement or of a lapsed lease.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum EndpointEvent {
    /// An endpoint accepts work.
    Announced(EndpointId),
    /// An endpoint's lease lapsed or its incarnation ended.
    Lapsed(EndpointId),
    /// An endpoint accepts no new work.
    Leaving(EndpointId),
}

/// Endpoint that ended, retained so that its outdated announcements are rejected.
#[derive(Debug)]
struct EndedEndpoint {
    key: AnnouncementKey,
    name: EndpointName,
    retained_until_ms: u64,
}

/// Incarnation and sequence of an announcement; a later announcement has a greater key.
type AnnouncementKey = (Incarnation, u64);

/// Endpoints under lease, sorted by name.
#[derive(Debug, Default)]
pub struct Endpoints {
    /// Endpoints whose lease lapsed recently, sorted by name.
    ended: Vec<EndedEndpoint>,
    live: Vec<Endpoint>,
    last_id: u64,
}

impl Endpoint {
    fn key(&self) -> AnnouncementKey {
        (self.announcement.incarnation, self.announcement.sequence)
    }
}

impl Endpoints {
    /// Records an announcement; each incarnation of an endpoint gets its own [`EndpointId`].
    ///
    /// # Errors
    ///
    /// Fails if the announcement is older than the endpoint's last accepted one.
    pub fn announce(
        &mut self,
        now_ms: u64,
        name: &EndpointName,
        announcement: &Announcement,
    ) -> Result<Vec<EndpointEvent>, Error> {
        let key = (announcement.incarnation, announcement.sequence);
        if self.last_key(now_ms, name).is_some_and(|last| key < last) {
            return Err(Error::Outdated {
                endpoint: name.clone(),
                incarnation: announcement.incarnation,
                sequence: announcement.sequence,
            });
        }
        let mut events = Vec::new();
        if let Ok(position) = self.position(name) {
            let known = &self.live[position];
            if known.announcement.incarnation != announcement.incarnation {
                events.push(EndpointEvent::Lapsed(known.id));
                self.live.remove(position);
            }
        }
        let id = self.set(now_ms, name, announcement);
        events.push(if announcement.accepts_work() {
            EndpointEvent::Announced(id)
        } else {
            EndpointEvent::Leaving(id)
        });
        Ok(events)
    }

    /// Removes endpoints whose lease has lapsed.
    pub fn expire(&mut self, now_ms: u64) -> Vec<EndpointEvent> {
        self.ended.retain(|ended| ended.retained_until_ms > now_ms);
        let has_lapsed = |endpoint: &Endpoint| endpoint.announced_ms + ENDPOINT_LEASE_MS <= now_ms;
        let lapsed: Vec<Endpoint> = self
            .live
            .extract_if(.., |endpoint| has_lapsed(endpoint))
            .collect();
        lapsed
            .into_iter()
            .map(|endpoint| {
                let id = endpoint.id;
                self.retain_ended(now_ms, endpoint);
                EndpointEvent::Lapsed(id)
            })
            .collect()
    }

    /// The leased endpoint with that number.
    #[must_use]
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.live.iter().find(|endpoint| endpoint.id == id)
    }

    /// All endpoints under lease, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.live.iter()
    }

    /// Key of the last accepted announcement; `None` if it is no longer retained.
    fn last_key(&self, now_ms: u64, name: &EndpointName) -> Option<AnnouncementKey> {
        if let Ok(position) = self.position(name) {
            return Some(self.live[position].key());
        }
        let position = self.ended_position(name).ok()?;
        let ended = &self.ended[position];
        (ended.retained_until_ms > now_ms).then_some(ended.key)
    }

    fn ended_position(&self, name: &EndpointName) -> Result<usize, usize> {
        self.ended.binary_search_by(|ended| ended.name.cmp(name))
    }

    fn position(&self, name: &EndpointName) -> Result<usize, usize> {
        self.live
            .binary_search_by(|endpoint| endpoint.name.cmp(name))
    }

    fn retain_ended(&mut self, now_ms: u64, endpoint: Endpoint) {
        let ended = EndedEndpoint {
            key: endpoint.key(),
            name: endpoint.name,
            retained_until_ms: now_ms + ENDED_ENDPOINT_RETENTION_MS,
        };
        match self.ended_position(&ended.name) {
            Ok(position) => self.ended[position] = ended,
            Err(position) => self.ended.insert(position, ended),
        }
    }

    fn set(&mut self, now_ms: u64, name: &EndpointName, announcement: &Announcement) -> EndpointId {
        match self.position(name) {
            Ok(position) => {
                let endpoint = &mut self.live[position];
                endpoint.announcement = announcement.clone();
                endpoint.announced_ms = now_ms;
                endpoint.id
            }
            Err(position) => {
                self.last_id += 1;
                let id = EndpointId(self.last_id);
                self.live.insert(
                    position,
                    Endpoint {
                        announcement: announcement.clone(),
                        announced_ms: now_ms,
                        id,
                        name: name.clone(),
                    },
                );
                id
            }
        }
    }
}
