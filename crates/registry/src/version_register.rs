//! Keeps the replicated software versions complete, and drops those that are gone.
//!
//! A heartbeat of a version that is new here is recorded only once the version is committed, so no
//! endpoint gets a request before its version is known to the group. The leader removes a version once
//! none of its endpoints has been present for longer than clients wait for a stream.

use std::sync::{Arc, Mutex, PoisonError};

use slog::{Logger, info};
use tokio::sync::Mutex as AsyncMutex;

use crate::group::Group;
use crate::proposer::Proposer;
use crate::stream_origins::RETENTION_MS;
use crate::{Error, RegistryCommand, StreamOrigin, VersionChange, VersionEntry};

/// Time limit for adding a version. Endpoints try another registry after a second.
const ADD_TIMEOUT_MS: u64 = 700;

/// Time limit for removing a version; it is tried again later.
const REMOVE_TIMEOUT_MS: u64 = 700;

/// Adds and removes the replicated software versions for one registry.
pub(crate) struct VersionRegister {
    /// Held while a version is added, so that the heartbeats of many endpoints add it once.
    adding: AsyncMutex<()>,
    group: Arc<Group>,
    /// Versions and when one of their endpoints was last present, sorted by version.
    last_present: Mutex<Vec<(StreamOrigin, u64)>>,
    log: Logger,
    proposer: Arc<Proposer>,
}

impl VersionRegister {
    pub(crate) fn new(group: &Arc<Group>, proposer: &Arc<Proposer>, log: &Logger) -> Self {
        Self {
            adding: AsyncMutex::default(),
            group: Arc::clone(group),
            last_present: Mutex::default(),
            log: log.clone(),
            proposer: Arc::clone(proposer),
        }
    }

    /// Returns once a version is in the replicated set. One that is not present in the directory of this
    /// registry is added again, as another instance may be about to remove it.
    pub(crate) async fn add(
        &self,
        origin: &StreamOrigin,
        is_present: impl Fn() -> bool,
    ) -> Result<(), Error> {
        let is_added = || is_present() && self.contains(origin);
        if is_added() {
            return Ok(());
        }
        let _adding = self.adding.lock().await;
        if is_added() {
            return Ok(());
        }
        let change = VersionChange::Added(origin.clone());
        let command = RegistryCommand::ChangeVersions(change);
        let outcome = self.proposer.propose(&command, ADD_TIMEOUT_MS).await;
        info!(self.log, "software version added"; "service" => &origin.service,
            "software_version" => &origin.software_version, "is_committed" => outcome.is_ok());
        outcome
    }

    /// Origin of all streams of a service that clients may still resume, as far as this instance has
    /// applied the log.
    pub(crate) fn only_origin(&self, service: &str) -> Option<StreamOrigin> {
        let versions = self.group.software_versions();
        let versions = versions.borrow();
        versions.only_origin(service).cloned()
    }

    /// Removes versions none of whose endpoints has been present for long, if this instance leads.
    pub(crate) async fn remove_absent(
        &self,
        now_ms: u64,
        is_present: impl Fn(&StreamOrigin) -> bool,
    ) {
        let entries = self.group.software_versions().borrow().entries().to_vec();
        let absent = self.find_absent(now_ms, &entries, is_present);
        if !self.group.leader().0 {
            return;
        }
        for entry in absent {
            let origin = entry.origin.clone();
            let command = RegistryCommand::ChangeVersions(VersionChange::Removed(entry));
            let outcome = self.proposer.propose(&command, REMOVE_TIMEOUT_MS).await;
            info!(self.log, "software version removed"; "service" => &origin.service,
                "software_version" => &origin.software_version, "is_committed" => outcome.is_ok());
        }
    }

    fn find_absent(
        &self,
        now_ms: u64,
        entries: &[VersionEntry],
        is_present: impl Fn(&StreamOrigin) -> bool,
    ) -> Vec<VersionEntry> {
        let last_present = self.last_present.lock();
        let mut last_present = last_present.unwrap_or_else(PoisonError::into_inner);
        let known = std::mem::take(&mut *last_present);
        let mut absent = Vec::new();
        for entry in entries {
            let origin = &entry.origin;
            let found = known.binary_search_by(|known| known.0.cmp(origin));
            let last_ms = match found {
                Ok(at) if !is_present(origin) => known[at].1,
                // A version that this instance learns of counts as present: it may just have left.
                _ => now_ms,
            };
            if now_ms.saturating_sub(last_ms) >= RETENTION_MS {
                absent.push(entry.clone());
            }
            last_present.push((origin.clone(), last_ms));
        }
        absent
    }

    fn contains(&self, origin: &StreamOrigin) -> bool {
        self.group.software_versions().borrow().contains(origin)
    }
}
