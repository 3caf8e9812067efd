use crate::{EndpointRecord, EndpointState, Registration, StreamOrigin};

/// Time for which an incarnation is kept after its last heartbeat, also if it left. Late heartbeats
/// of it arrive within seconds.
const RETENTION_MS: u64 = 120_000;

/// Endpoints known to one registry from their heartbeats.
///
/// Incarnations are ordered by their start, heartbeats of one incarnation by their sequence number,
/// and the state of an incarnation only advances. So heartbeats may be late, duplicated or in any
/// order.
#[derive(Debug, Default)]
pub struct Directory {
    /// Number of the latest change.
    cursor: u64,
    /// Sorted by id.
    entries: Vec<DirectoryEntry>,
}

/// Latest registration of one endpoint.
#[derive(Debug)]
struct DirectoryEntry {
    /// Number of the latest change of this entry.
    change_number: u64,
    is_silent: bool,
    last_heartbeat_ms: u64,
    registration: Registration,
}

/// Effect of a heartbeat or leave on a [`Directory`].
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum RecordOutcome {
    /// The directory has changed, and subscribers have to be notified.
    Changed,
    /// Ignored, because it is older than the entry.
    Outdated,
    /// Only the time of the last heartbeat has changed.
    Refreshed,
}

impl Directory {
    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, now_ms: u64, registration: Registration) -> RecordOutcome {
        if !self.claim_address(&registration) {
            return RecordOutcome::Outdated;
        }
        let cursor = self.cursor + 1;
        match self.find(&registration.id) {
            Ok(index) => {
                let outcome = self.entries[index].update(now_ms, cursor, registration);
                if outcome == RecordOutcome::Changed {
                    self.cursor = cursor;
                }
                outcome
            }
            Err(index) => {
                let entry = DirectoryEntry {
                    change_number: cursor,
                    is_silent: false,
                    last_heartbeat_ms: now_ms,
                    registration,
                };
                self.entries.insert(index, entry);
                self.cursor = cursor;
                RecordOutcome::Changed
            }
        }
    }

    /// Marks an incarnation as gone; without `started_at_ms`, the latest known one.
    pub fn record_leave(&mut self, id: &str, started_at_ms: Option<u64>) -> RecordOutcome {
        let Ok(index) = self.find(id) else {
            return RecordOutcome::Outdated;
        };
        let registration = &self.entries[index].registration;
        let is_other_incarnation =
            started_at_ms.is_some_and(|started_at_ms| started_at_ms != registration.started_at_ms);
        if is_other_incarnation || registration.state == EndpointState::Gone {
            return RecordOutcome::Outdated;
        }
        self.mark_gone(index);
        RecordOutcome::Changed
    }

    /// Marks endpoints as silent whose last heartbeat is older than `silent_after_ms`, and removes
    /// those without a heartbeat for the retention time.
    ///
    /// Returns whether subscribers have to be notified.
    pub fn expire(&mut self, now_ms: u64, silent_after_ms: u64) -> bool {
        let cursor_before = self.cursor;
        for entry in &mut self.entries {
            let age_ms = now_ms.saturating_sub(entry.last_heartbeat_ms);
            if !entry.is_silent && age_ms > silent_after_ms {
                entry.is_silent = true;
                self.cursor += 1;
                entry.change_number = self.cursor;
            }
        }
        self.entries
            .retain(|entry| now_ms.saturating_sub(entry.last_heartbeat_ms) < RETENTION_MS);
        self.cursor > cursor_before
    }

    /// Number of the latest change.
    #[must_use]
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Endpoints whose latest change has a higher number than `cursor`.
    #[must_use]
    pub fn changes_since(&self, cursor: u64) -> Vec<EndpointRecord> {
        self.entries
            .iter()
            .filter(|entry| entry.change_number > cursor)
            .map(|entry| EndpointRecord {
                is_silent: entry.is_silent,
                registration: entry.registration.clone(),
            })
            .collect()
    }

    /// Registration of the latest incarnation of an endpoint.
    #[must_use]
    pub fn registration(&self, id: &str) -> Option<&Registration> {
        let index = self.find(id).ok()?;
        Some(&self.entries[index].registration)
    }

    /// Whether an endpoint of a software version has not left.
    #[must_use]
    pub fn has_version(&self, origin: &StreamOrigin) -> bool {
        self.entries.iter().any(|entry| {
            let registration = &entry.registration;
            registration.state != EndpointState::Gone
                && registration.service == origin.service
                && registration.software_version == origin.software_version
        })
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.registration.id.as_str().cmp(id))
    }

    /// Marks older incarnations of other endpoints at the same address as gone.
    ///
    /// Returns false if another endpoint at the address is at least as recent.
    fn claim_address(&mut self, registration: &Registration) -> bool {
        for index in 0..self.entries.len() {
            let other = &self.entries[index].registration;
            let shares_address = other.address == registration.address
                && other.id != registration.id
                && other.state != EndpointState::Gone;
            if !shares_address {
                continue;
            }
            if other.started_at_ms >= registration.started_at_ms {
                return false;
            }
            self.mark_gone(index);
        }
        true
    }

    fn mark_gone(&mut self, index: usize) {
        self.cursor += 1;
        self.entries[index].change_number = self.cursor;
        self.entries[index].registration.state = EndpointState::Gone;
    }
}

impl DirectoryEntry {
    fn update(&mut self, now_ms: u64, cursor: u64, received: Registration) -> RecordOutcome {
        let known = &self.registration;
        if received.started_at_ms < known.started_at_ms {
            return RecordOutcome::Outdated;
        }
        if received.started_at_ms > known.started_at_ms {
            self.registration = received;
            return self.record_change(now_ms, cursor);
        }
        let advances = received.state > known.state;
        if known.state == EndpointState::Gone || received.sequence < known.sequence && !advances {
            return RecordOutcome::Outdated;
        }
        let state = known.state.max(received.state);
        let sequence = known.sequence.max(received.sequence);
        let is_unchanged = known.address == received.address
            && known.service == received.service
            && known.slots == received.slots
            && known.software_version == received.software_version
            && known.state == state
            && (known.cold_left_ms > 0) == (received.cold_left_ms > 0);
        self.registration = Registration {
            sequence,
            state,
            ..received
        };
        if is_unchanged && !self.is_silent {
            self.last_heartbeat_ms = now_ms;
            return RecordOutcome::Refreshed;
        }
        self.record_change(now_ms, cursor)
    }

    fn record_change(&mut self, now_ms: u64, cursor: u64) -> RecordOutcome {
        self.change_number = cursor;
        self.is_silent = false;
        self.last_heartbeat_ms = now_ms;
        RecordOutcome::Changed
    }
}
