use serde::{Deserialize, Serialize};

use crate::StreamOrigin;

/// Software versions of each service that may have begun a stream which a client still resumes.
///
/// The set is replicated, so it outlives the memory of all instances. A version is added before its
/// endpoints get requests, and removed only after its last endpoint has been absent for longer than
/// clients wait for a stream. If a service has one version, all of its streams are of that version.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoftwareVersions {
    /// Sorted by origin.
    entries: Vec<VersionEntry>,
}

/// Software version of a service.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionEntry {
    /// Number of its last addition.
    pub number: u64,
    /// Service and software version.
    pub origin: StreamOrigin,
}

/// Change of [`SoftwareVersions`].
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum VersionChange {
    /// Endpoints of the version have appeared.
    Added(StreamOrigin),
    /// No endpoint of the version has been present for long. The entry is removed unless the version
    /// was added again since.
    Removed(VersionEntry),
}

impl SoftwareVersions {
    /// Applies a change; `number` is greater for later changes.
    pub fn apply(&mut self, number: u64, change: VersionChange) {
        match change {
            VersionChange::Added(origin) => match self.find(&origin) {
                Ok(at) => self.entries[at].number = number,
                Err(at) => self.entries.insert(at, VersionEntry { number, origin }),
            },
            VersionChange::Removed(removed) => {
                if let Ok(at) = self.find(&removed.origin)
                    && self.entries[at].number == removed.number
                {
                    self.entries.remove(at);
                }
            }
        }
    }

    /// Whether the set holds a version.
    #[must_use]
    pub fn contains(&self, origin: &StreamOrigin) -> bool {
        self.find(origin).is_ok()
    }

    /// All versions, sorted.
    #[must_use]
    pub fn entries(&self) -> &[VersionEntry] {
        &self.entries
    }

    /// Origin of all streams of a service, if it has one version.
    #[must_use]
    pub fn only_origin(&self, service: &str) -> Option<&StreamOrigin> {
        let entries = self.entries.iter();
        let mut of_service = entries.filter(|entry| entry.origin.service == service);
        let only = of_service.next()?;
        of_service.next().is_none().then_some(&only.origin)
    }

    fn find(&self, origin: &StreamOrigin) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.origin.cmp(origin))
    }
}
