//! Finds the parts of prompts that crash the endpoints which answer them.
//!
//! A request accuses the parts of its prompt if its endpoint failed before the request proved that
//! it can be answered. A crash alone accuses all parts that ran there, so a part is quarantined
//! only after several crashes, of different incarnations of endpoints and at different times,
//! without a sound answer between them. A sound answer clears its parts at any time.
//!
//! A quarantine ends in a probation, in which one request at a time may try the part. A crash of
//! this probe starts a longer quarantine. It accuses the probe's other parts too, as the quarantined
//! one may be sound; those that are answer soundly in other requests.

use serde::{Deserialize, Serialize};

/// Parts that are remembered.
const PARTS_MAX: usize = 1_024;

/// Endpoints that are remembered of one part.
const ENDPOINTS_MAX: usize = 16;

/// Accusations without a sound answer between them after which a part is quarantined.
const ACCUSATIONS_MAX: u32 = 3;

/// Time in which several accusations of a part count as one: endpoints that lose their power or
/// network together accuse whatever ran on them.
const SAME_EVENT_MS: u64 = 250;

/// Duration of a part's first quarantine.
const QUARANTINE_MS_FIRST: u64 = 20_000;

/// Factor by which the next quarantine is longer, after a probe crashed.
const QUARANTINE_GROWTH: u64 = 3;

/// Longest quarantine.
const QUARANTINE_MS_MAX: u64 = 600_000;

/// Time for which no other probe starts beside one that has not ended.
const PROBE_MS: u64 = 10_000;

/// Time without an accusation or a quarantine after which a part is forgotten.
const RETENTION_MS: u64 = 600_000;

/// Crash of an endpoint before a request there proved sound.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accusation {
    /// Endpoint that crashed.
    pub endpoint: AccusingEndpoint,
    /// Parts of the request's prompt, in the prompt's order.
    pub parts: Vec<u64>,
}

/// One incarnation of an endpoint.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccusingEndpoint {
    /// Name of the endpoint.
    pub id: String,
    /// Start of the incarnation, in ms since the Unix epoch.
    pub started_at_ms: u64,
}

/// Accusations and sound answers that an instance reports together.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// Crashes, oldest first.
    pub accusations: Vec<Accusation>,
    /// Name of the reporting instance.
    pub instance: String,
    /// Parts of prompts that were answered soundly.
    pub sound_parts: Vec<u64>,
}

/// Part that instances have to know about.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishedPart {
    /// Id of the part.
    pub part: u64,
    /// State of the part.
    pub state: PartState,
}

/// State of a part that was accused.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum PartState {
    /// Too few accusations for a quarantine; sound answers are to be reported.
    Watched,
    /// Requests with the part are refused; after the remaining time, probes are allowed.
    Quarantined {
        /// Remaining time of the quarantine; 0 in the probation.
        remaining_ms: u64,
    },
}

/// Change of a part, for the log.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum PartChange {
    /// A crash was counted.
    Accused {
        /// Accusations since the last sound answer.
        accusations: u32,
        /// Id of the part.
        part: u64,
    },
    /// The part was quarantined.
    Quarantined {
        /// Probes that crashed since the first quarantine.
        crashed_probes: u32,
        /// Duration of the quarantine.
        duration_ms: u64,
        /// Names of the endpoints that crashed since the last sound answer, oldest first.
        endpoint_ids: Vec<String>,
        /// Id of the part.
        part: u64,
    },
    /// The part is no longer accused: it answered soundly, or another part explains its crashes.
    Released {
        /// Whether another part explains its crashes.
        is_explained: bool,
        /// Whether it was quarantined.
        is_quarantined: bool,
        /// Id of the part.
        part: u64,
    },
}

/// Parts that are accused of crashing endpoints, as known to one registry.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    /// Sorted by part.
    entries: Vec<Entry>,
    /// Parts that are probed although nothing is known of them, with the end of the probe; another
    /// registry has them in quarantine.
    unknown_probes: Vec<(u64, u64)>,
    /// Increases with every change of the published parts.
    version: u64,
}

/// What is known of one part.
#[derive(Debug)]
struct Entry {
    accusations: u32,
    /// Time of the last accusation that was counted.
    counted_at_ms: u64,
    /// Endpoints that crashed since the last sound answer.
    endpoints: Vec<AccusingEndpoint>,
    last_accused_ms: u64,
    last_sound_ms: Option<u64>,
    part: u64,
    quarantine: Option<Quarantine>,
}

/// Quarantine of a part, with the probation after it.
#[derive(Debug, Clone, Copy)]
struct Quarantine {
    crashed_probes: u32,
    ends_at_ms: u64,
    /// Time until which a granted probe keeps others away.
    probe_until_ms: u64,
}

impl PartChange {
    /// Whether the change begins or ends a quarantine.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::Accused { .. } => false,
            Self::Quarantined { .. } => true,
            Self::Released { is_quarantined, .. } => *is_quarantined,
        }
    }
}

impl PartQuarantine {
    /// Applies a crash, and returns what it changed.
    pub fn accuse(&mut self, now_ms: u64, accusation: &Accusation) -> Vec<PartChange> {
        let Accusation { endpoint, parts } = accusation;
        let mut changes = Vec::new();
        let is_quarantined = |part: &u64| {
            let found = self.find(*part).ok();
            found.is_some_and(|at| self.entries[at].quarantine.is_some())
        };
        let (quarantined, others): (Vec<u64>, Vec<u64>) =
            parts.iter().partition(|part| is_quarantined(part));
        if quarantined.is_empty() && !self.is_explained(endpoint) {
            changes.extend(self.accuse_unquarantined(now_ms, endpoint, &others));
        }
        let mut is_probe = false;
        for &part in &quarantined {
            let entry = self.entry(now_ms, part);
            entry.remember(endpoint);
            if let Some(change) = entry.extend_quarantine(now_ms) {
                is_probe = true;
                changes.push(change);
            }
        }
        for &part in &quarantined {
            if let Ok(at) = self.find(part) {
                changes.extend(self.clear_explained(at));
            }
        }
        if is_probe {
            // Another part may have crashed the probe, and the quarantined one may be sound.
            changes.extend(self.accuse_unquarantined(now_ms, endpoint, &others));
        }
        self.version += u64::from(!changes.is_empty());
        changes
    }

    /// Counts a crash against parts that are not quarantined, and quarantines the most suspect one.
    fn accuse_unquarantined(
        &mut self,
        now_ms: u64,
        endpoint: &AccusingEndpoint,
        parts: &[u64],
    ) -> Vec<PartChange> {
        let mut changes = Vec::new();
        for &part in parts {
            let entry = self.entry(now_ms, part);
            if entry.count(now_ms, endpoint) {
                changes.push(PartChange::Accused {
                    accusations: entry.accusations,
                    part,
                });
            }
        }
        if let Some(at) = self.most_suspect(parts) {
            let entry = &mut self.entries[at];
            changes.push(entry.quarantine(now_ms, 0));
            changes.extend(self.clear_explained(at));
        }
        changes
    }

    /// Clears a part that was answered soundly, and returns what this changed.
    pub fn record_sound(&mut self, now_ms: u64, part: u64) -> Option<PartChange> {
        let at = self.find(part).ok()?;
        let entry = &mut self.entries[at];
        entry.last_sound_ms = Some(now_ms);
        if entry.accusations == 0 {
            return None;
        }
        self.version += 1;
        Some(entry.release(false))
    }

    /// Grants a request the probe of its parts; `false` if one of them is quarantined or is being
    /// probed.
    pub fn grant_probe(&mut self, now_ms: u64, parts: &[u64]) -> bool {
        let known = parts.iter().filter_map(|&part| self.find(part).ok());
        let known: Vec<usize> = known.collect();
        let is_forgotten = known
            .iter()
            .all(|&at| self.entries[at].quarantine.is_none());
        if is_forgotten {
            return self.grant_unknown_probe(now_ms, parts);
        }
        let is_allowed = |at: &usize| {
            let quarantine = self.entries[*at].quarantine.as_ref();
            quarantine.is_none_or(|quarantine| {
                quarantine.ends_at_ms.max(quarantine.probe_until_ms) <= now_ms
            })
        };
        if !known.iter().all(is_allowed) {
            return false;
        }
        for at in known {
            if let Some(quarantine) = &mut self.entries[at].quarantine {
                quarantine.probe_until_ms = now_ms + PROBE_MS;
            }
        }
        true
    }

    /// Grants a probe of parts that only other registries have in quarantine.
    fn grant_unknown_probe(&mut self, now_ms: u64, parts: &[u64]) -> bool {
        self.unknown_probes.retain(|probe| probe.1 > now_ms);
        let is_probed = |part: &u64| self.unknown_probes.iter().any(|probe| probe.0 == *part);
        if parts.iter().any(is_probed) || self.unknown_probes.len() + parts.len() > PARTS_MAX {
            return false;
        }
        let probes = parts.iter().map(|&part| (part, now_ms + PROBE_MS));
        self.unknown_probes.extend(probes);
        true
    }

    /// Forgets parts that were not accused for long.
    pub fn expire(&mut self, now_ms: u64) {
        let published_count = self.published(now_ms).count();
        self.entries
            .retain(|entry| entry.used_until_ms() + RETENTION_MS > now_ms);
        self.version += u64::from(self.published(now_ms).count() != published_count);
    }

    /// Parts that instances have to know about, sorted.
    pub fn published(&self, now_ms: u64) -> impl Iterator<Item = PublishedPart> {
        let accused = self.entries.iter().filter(|entry| entry.accusations > 0);
        accused.map(move |entry| PublishedPart {
            part: entry.part,
            state: entry.state(now_ms),
        })
    }

    /// Number that increases with every change of the published parts, except by time alone.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    fn find(&self, part: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&part, |entry| entry.part)
    }

    /// Entry of a part; a new one may replace the least important entry.
    fn entry(&mut self, now_ms: u64, part: u64) -> &mut Entry {
        let at = self.find(part).unwrap_or_else(|at| {
            let at = self
                .make_room()
                .map_or(at, |removed| at - usize::from(removed < at));
            self.entries.insert(at, Entry::new(now_ms, part));
            at
        });
        &mut self.entries[at]
    }

    /// Removes an entry if there are too many; returns its position.
    fn make_room(&mut self) -> Option<usize> {
        if self.entries.len() < PARTS_MAX {
            return None;
        }
        // Requests with a quarantined part are refused, so it is accused the least.
        let importance = |at: &usize| {
            let entry = &self.entries[*at];
            (entry.quarantine.is_some(), entry.last_accused_ms)
        };
        let at = (0..self.entries.len()).min_by_key(importance)?;
        self.entries.remove(at);
        Some(at)
    }

    /// Whether a quarantined part crashed the endpoint, so that its other parts are not to blame.
    fn is_explained(&self, endpoint: &AccusingEndpoint) -> bool {
        let quarantined = self
            .entries
            .iter()
            .filter(|entry| entry.quarantine.is_some());
        let mut explained = quarantined.flat_map(|entry| &entry.endpoints);
        explained.any(|known| known == endpoint)
    }

    /// Clears the parts that only some of the crashes of the quarantined part at `at` accuse. A part
    /// that all of them accuse may be the one to blame.
    fn clear_explained(&mut self, at: usize) -> Vec<PartChange> {
        let endpoints = self.entries[at].endpoints.clone();
        let is_explained = |entry: &&mut Entry| {
            let mut accusers = entry.endpoints.iter();
            entry.accusations > 0
                && entry.endpoints.len() < endpoints.len()
                && accusers.all(|endpoint| endpoints.contains(endpoint))
        };
        let explained = self.entries.iter_mut().filter(is_explained);
        explained.map(|entry| entry.release(true)).collect()
    }

    /// Position of the part to quarantine after a crash of a request with these parts.
    ///
    /// A part that crashes endpoints is accused by each crash. Other parts of its requests are
    /// accused by fewer, or answer soundly in other requests.
    fn most_suspect(&self, parts: &[u64]) -> Option<usize> {
        let found = parts.iter().filter_map(|&part| self.find(part).ok());
        found
            .filter(|&at| self.entries[at].accusations >= ACCUSATIONS_MAX)
            .enumerate()
            .max_by_key(|&(order, at)| {
                let entry = &self.entries[at];
                let unsound_since_ms = entry.last_sound_ms.map_or(0, |sound_ms| sound_ms + 1);
                (
                    entry.endpoints.len(),
                    std::cmp::Reverse(unsound_since_ms),
                    order,
                )
            })
            .map(|(_, at)| at)
    }
}

impl Entry {
    fn new(now_ms: u64, part: u64) -> Self {
        Self {
            accusations: 0,
            counted_at_ms: 0,
            endpoints: Vec::new(),
            last_accused_ms: now_ms,
            last_sound_ms: None,
            part,
            quarantine: None,
        }
    }

    /// Applies a crash of an endpoint; returns whether it counts.
    fn count(&mut self, now_ms: u64, endpoint: &AccusingEndpoint) -> bool {
        self.last_accused_ms = now_ms;
        if !self.remember(endpoint) {
            return false;
        }
        if self.accusations > 0 && now_ms < self.counted_at_ms + SAME_EVENT_MS {
            return false;
        }
        self.accusations += 1;
        self.counted_at_ms = now_ms;
        true
    }

    /// Remembers an endpoint that crashed; returns whether it is new.
    fn remember(&mut self, endpoint: &AccusingEndpoint) -> bool {
        let is_new = !self.endpoints.contains(endpoint);
        if is_new && self.endpoints.len() < ENDPOINTS_MAX {
            self.endpoints.push(endpoint.clone());
        }
        is_new
    }

    fn release(&mut self, is_explained: bool) -> PartChange {
        self.accusations = 0;
        self.endpoints.clear();
        PartChange::Released {
            is_explained,
            is_quarantined: self.quarantine.take().is_some(),
            part: self.part,
        }
    }

    fn quarantine(&mut self, now_ms: u64, crashed_probes: u32) -> PartChange {
        let growth = QUARANTINE_GROWTH.saturating_pow(crashed_probes);
        let duration_ms = QUARANTINE_MS_FIRST.saturating_mul(growth);
        let duration_ms = duration_ms.min(QUARANTINE_MS_MAX);
        self.quarantine = Some(Quarantine {
            crashed_probes,
            ends_at_ms: now_ms + duration_ms,
            probe_until_ms: 0,
        });
        PartChange::Quarantined {
            crashed_probes,
            duration_ms,
            endpoint_ids: self
                .endpoints
                .iter()
                .map(|endpoint| endpoint.id.clone())
                .collect(),
            part: self.part,
        }
    }

    /// Quarantines the part again if it crashed in its probation. Within the quarantine, only
    /// requests that were sent before it crash.
    fn extend_quarantine(&mut self, now_ms: u64) -> Option<PartChange> {
        self.last_accused_ms = now_ms;
        let quarantine = self.quarantine?;
        if now_ms < quarantine.ends_at_ms {
            return None;
        }
        Some(self.quarantine(now_ms, quarantine.crashed_probes.saturating_add(1)))
    }

    /// Time of the last accusation, or the end of the quarantine if it is later.
    fn used_until_ms(&self) -> u64 {
        let quarantine = self.quarantine.as_ref();
        let ends_at_ms = quarantine.map_or(0, |quarantine| quarantine.ends_at_ms);
        self.last_accused_ms.max(ends_at_ms)
    }

    fn state(&self, now_ms: u64) -> PartState {
        match &self.quarantine {
            Some(quarantine) => PartState::Quarantined {
                remaining_ms: quarantine.ends_at_ms.saturating_sub(now_ms),
            },
            None => PartState::Watched,
        }
    }
}
