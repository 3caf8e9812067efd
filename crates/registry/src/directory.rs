use crate::{EndpointRecord, EndpointState, Registration};

/// Time after which an incarnation that has left or fallen silent is forgotten; late heartbeats of
/// it are expected within seconds.
const RETENTION_MS: u64 = 120_000;

/// Endpoints as one registry knows them from heartbeats.
///
/// Incarnations are ordered by their start, heartbeats of one incarnation by their number, and the
/// state of an incarnation only advances. So heartbeats may come late, twice and in any order.
#[derive(Debug, Default)]
pub struct Directory {
    /// Number of the last change.
    cursor: u64,
    /// Sorted by id.
    known: Vec<Known>,
}

#[derive(Debug)]
struct Known {
    changed_at: u64,
    heard_ms: u64,
    is_silent: bool,
    registration: Registration,
}

/// What a heartbeat did.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum RecordOutcome {
    /// Subscribers have to know.
    Changed,
    /// An older incarnation or heartbeat; without effect.
    Outdated,
    /// The endpoint lives; nothing else is new.
    Refreshed,
}

impl Directory {
    /// Takes a heartbeat.
    pub fn record_heartbeat(&mut self, now_ms: u64, registration: Registration) -> RecordOutcome {
        if !self.claim_address(&registration) {
            return RecordOutcome::Outdated;
        }
        let cursor = self.cursor + 1;
        match self.position(&registration.id) {
            Ok(at) => {
                let recorded = self.known[at].update(now_ms, cursor, registration);
                if recorded == RecordOutcome::Changed {
                    self.cursor = cursor;
                }
                recorded
            }
            Err(at) => {
                let known = Known {
                    changed_at: cursor,
                    heard_ms: now_ms,
                    is_silent: false,
                    registration,
                };
                self.known.insert(at, known);
                self.cursor = cursor;
                RecordOutcome::Changed
            }
        }
    }

    /// Marks an incarnation as gone; without its start, the one that is known.
    pub fn record_leave(&mut self, id: &str, started_at_ms: Option<u64>) -> RecordOutcome {
        let Ok(at) = self.position(id) else {
            return RecordOutcome::Outdated;
        };
        let registration = &self.known[at].registration;
        let is_other =
            started_at_ms.is_some_and(|started_at_ms| started_at_ms != registration.started_at_ms);
        if is_other || registration.state == EndpointState::Gone {
            return RecordOutcome::Outdated;
        }
        self.mark_gone(at);
        RecordOutcome::Changed
    }

    /// Marks endpoints as silent that were last heard before a time; forgets those long gone.
    ///
    /// Returns whether subscribers have to know.
    pub fn expire(&mut self, now_ms: u64, silent_after_ms: u64) -> bool {
        let before = self.cursor;
        for known in &mut self.known {
            let age_ms = now_ms.saturating_sub(known.heard_ms);
            if !known.is_silent && age_ms > silent_after_ms {
                known.is_silent = true;
                self.cursor += 1;
                known.changed_at = self.cursor;
            }
        }
        self.known
            .retain(|known| now_ms.saturating_sub(known.heard_ms) < RETENTION_MS);
        self.cursor > before
    }

    /// Number of the last change.
    #[must_use]
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Endpoints that changed after a change number.
    #[must_use]
    pub fn changes_since(&self, cursor: u64) -> Vec<EndpointRecord> {
        self.known
            .iter()
            .filter(|known| known.changed_at > cursor)
            .map(|known| EndpointRecord {
                is_silent: known.is_silent,
                registration: known.registration.clone(),
            })
            .collect()
    }

    /// Latest heartbeat of an endpoint.
    #[must_use]
    pub fn registration(&self, id: &str) -> Option<&Registration> {
        let at = self.position(id).ok()?;
        Some(&self.known[at].registration)
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.known
            .binary_search_by(|known| known.registration.id.as_str().cmp(id))
    }

    /// Whether the address is this incarnation's; ends older incarnations that had it.
    fn claim_address(&mut self, registration: &Registration) -> bool {
        for at in 0..self.known.len() {
            let other = &self.known[at].registration;
            let shares = other.address == registration.address
                && other.id != registration.id
                && other.state != EndpointState::Gone;
            if !shares {
                continue;
            }
            if other.started_at_ms >= registration.started_at_ms {
                return false;
            }
            self.mark_gone(at);
        }
        true
    }

    fn mark_gone(&mut self, at: usize) {
        self.cursor += 1;
        self.known[at].changed_at = self.cursor;
        self.known[at].registration.state = EndpointState::Gone;
    }
}

impl Known {
    fn update(&mut self, now_ms: u64, cursor: u64, heard: Registration) -> RecordOutcome {
        let known = &self.registration;
        if heard.started_at_ms < known.started_at_ms {
            return RecordOutcome::Outdated;
        }
        if heard.started_at_ms > known.started_at_ms {
            self.registration = heard;
            return self.changed(now_ms, cursor);
        }
        let advances = heard.state > known.state;
        if known.state == EndpointState::Gone || heard.sequence < known.sequence && !advances {
            return RecordOutcome::Outdated;
        }
        let state = known.state.max(heard.state);
        let sequence = known.sequence.max(heard.sequence);
        let is_same = known.address == heard.address
            && known.service == heard.service
            && known.slots == heard.slots
            && known.state == state
            && (known.cold_left_ms > 0) == (heard.cold_left_ms > 0);
        self.registration = Registration {
            sequence,
            state,
            ..heard
        };
        if is_same && !self.is_silent {
            self.heard_ms = now_ms;
            return RecordOutcome::Refreshed;
        }
        self.changed(now_ms, cursor)
    }

    fn changed(&mut self, now_ms: u64, cursor: u64) -> RecordOutcome {
        self.changed_at = cursor;
        self.heard_ms = now_ms;
        self.is_silent = false;
        RecordOutcome::Changed
    }
}
