use std::net::SocketAddr;

use crate::{PartState, PublishedPart};

/// Accused parts of several registries, merged by a subscriber.
///
/// A part is quarantined if any registry says so. What a connected registry publishes replaces what
/// it published before. A registry that restarts has forgotten its quarantines, and one that is not
/// connected cannot end them; so theirs stay for their remaining time.
#[derive(Debug, Default)]
pub struct PartView {
    /// Quarantines of earlier epochs of registries.
    orphans: Vec<ViewedPart>,
    /// Sorted by address of the registry.
    registries: Vec<RegistryParts>,
}

/// Parts of one registry.
#[derive(Debug)]
struct RegistryParts {
    address: SocketAddr,
    epoch: u64,
    is_connected: bool,
    /// Sorted by part.
    parts: Vec<ViewedPart>,
    version: u64,
}

#[derive(Debug, Clone, Copy)]
struct ViewedPart {
    part: u64,
    /// End of the quarantine on the subscriber's clock; `None` if the part is only watched.
    quarantine_ends_at_ms: Option<u64>,
}

/// Whether a request may run, by the parts of its prompt.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum PartAdmission {
    /// No part is quarantined.
    Admitted,
    /// A quarantine has ended, and a registry has to grant the request a probe.
    NeedsProbe {
        /// Part whose quarantine has ended.
        part: u64,
    },
    /// A part is quarantined.
    Refused {
        /// Part that is quarantined for the longest.
        part: u64,
        /// Remaining time of its quarantine.
        remaining_ms: u64,
    },
}

impl PartView {
    /// Epoch of a registry, and version of its parts in this view.
    #[must_use]
    pub fn position(&self, registry: SocketAddr) -> (u64, u64) {
        match self.find_registry(registry) {
            Ok(at) => (self.registries[at].epoch, self.registries[at].version),
            Err(_) => (0, 0),
        }
    }

    /// Applies all parts that a registry publishes, sorted.
    pub fn update(
        &mut self,
        now_ms: u64,
        registry: SocketAddr,
        (epoch, version): (u64, u64),
        published: &[PublishedPart],
    ) {
        let viewed = published.iter().map(|published| ViewedPart {
            part: published.part,
            quarantine_ends_at_ms: match published.state {
                PartState::Watched => None,
                PartState::Quarantined { remaining_ms } => Some(now_ms + remaining_ms),
            },
        });
        let new = RegistryParts {
            address: registry,
            epoch,
            is_connected: true,
            parts: viewed.collect(),
            version,
        };
        match self.find_registry(registry) {
            Ok(at) => {
                let old = std::mem::replace(&mut self.registries[at], new);
                if old.epoch == epoch {
                    self.apply_releases(&old.parts, at);
                } else {
                    self.orphans.extend(old.parts);
                }
            }
            Err(at) => self.registries.insert(at, new),
        }
        self.forget_ended(now_ms);
    }

    /// Applies that a registry answered without a change of its parts.
    pub fn connect(&mut self, registry: SocketAddr) {
        if let Ok(at) = self.find_registry(registry) {
            self.registries[at].is_connected = true;
        }
    }

    /// Applies that a registry is not connected.
    pub fn disconnect(&mut self, registry: SocketAddr) {
        if let Ok(at) = self.find_registry(registry) {
            self.registries[at].is_connected = false;
        }
    }

    /// Whether a request with these parts may run.
    #[must_use]
    pub fn admission(&self, now_ms: u64, parts: &[u64]) -> PartAdmission {
        let mut admission = PartAdmission::Admitted;
        let mut longest = (0, 0);
        let listed = self.registries.iter().flat_map(|registry| {
            let found = parts.iter().filter_map(|part| registry.find(*part));
            found.map(|viewed| (viewed, registry.is_connected))
        });
        let orphans = self.orphans.iter();
        let orphans = orphans.filter(|orphan| parts.contains(&orphan.part));
        for (viewed, is_connected) in listed.chain(orphans.map(|orphan| (orphan, false))) {
            let Some(ends_at_ms) = viewed.quarantine_ends_at_ms else {
                continue;
            };
            let part = viewed.part;
            if is_connected {
                admission = PartAdmission::NeedsProbe { part };
            }
            longest = longest.max((ends_at_ms.saturating_sub(now_ms), part));
        }
        let (remaining_ms, part) = longest;
        if remaining_ms > 0 {
            return PartAdmission::Refused { part, remaining_ms };
        }
        admission
    }

    /// Those of a request's parts whose sound answers registries want to know.
    #[must_use]
    pub fn accused(&self, parts: &[u64]) -> Vec<u64> {
        let is_accused = |part: &u64| {
            let mut registries = self.registries.iter();
            registries.any(|registry| registry.is_connected && registry.find(*part).is_some())
        };
        parts.iter().copied().filter(is_accused).collect()
    }

    /// Ends the quarantines that connected registries cannot end, of parts that the registry at
    /// `at` has released.
    fn apply_releases(&mut self, old_parts: &[ViewedPart], at: usize) {
        let new = &self.registries[at];
        let is_quarantined = |viewed: &ViewedPart| viewed.quarantine_ends_at_ms.is_some();
        let released: Vec<u64> = old_parts
            .iter()
            .filter(|old| is_quarantined(old) && !new.find(old.part).is_some_and(is_quarantined))
            .map(|old| old.part)
            .collect();
        let is_kept = |viewed: &ViewedPart| !released.contains(&viewed.part);
        self.orphans.retain(is_kept);
        for registry in &mut self.registries {
            if !registry.is_connected {
                registry.parts.retain(is_kept);
            }
        }
    }

    /// Forgets quarantines that have ended, unless a connected registry publishes them.
    fn forget_ended(&mut self, now_ms: u64) {
        let lasts = |viewed: &ViewedPart| {
            let ends_at_ms = viewed.quarantine_ends_at_ms;
            ends_at_ms.is_some_and(|ends_at_ms| ends_at_ms > now_ms)
        };
        self.orphans.retain(lasts);
        self.registries
            .retain(|registry| registry.is_connected || registry.parts.iter().any(lasts));
    }

    fn find_registry(&self, address: SocketAddr) -> Result<usize, usize> {
        self.registries
            .binary_search_by_key(&address, |registry| registry.address)
    }
}

impl RegistryParts {
    fn find(&self, part: u64) -> Option<&ViewedPart> {
        let found = self.parts.binary_search_by_key(&part, |viewed| viewed.part);
        found.ok().map(|at| &self.parts[at])
    }
}
