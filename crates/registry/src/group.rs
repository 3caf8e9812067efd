//! Keeps the replicated group of this instance open, and its membership complete.
//!
//! A failed journal stops the group. After a delay, the group is reopened from the state on disk.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agreement::Envelope;
use control::{GroupHandle, Settings};
use names::InstanceName;
use slog::{error, info};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::membership::{GroupMembers, next_voter_change};
use crate::transport::VoterTransport;
use crate::{Document, Error, RegistrySettings, RegistryStateMachine, SoftwareVersions};

/// Time between two checks of the group and its members.
const MAINTENANCE_INTERVAL_MS: u64 = 200;

/// Delay before the group is reopened after its journal failed. It is short beside the time that a
/// full or failing disk needs to recover.
const REOPEN_DELAY_MS: u64 = 500;

/// Time between two checks whether the handle of a closing group is still in use.
const CLOSE_POLL_INTERVAL_MS: u64 = 10;

/// Shortest time without a leader before an election: several round trips between regions, and
/// several syncs of a slow disk.
const ELECTION_TIMEOUT_MS: u64 = 300;

/// Time between two heartbeats of the leader.
const HEARTBEAT_INTERVAL_MS: u64 = 75;

/// Time without a response after which a voter may be replaced: a few election timeouts.
const SILENT_AFTER_MS: u64 = 1_000;

/// Largest document; more than the largest body that clients send.
const DOCUMENT_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Bytes of documents in the log before a snapshot replaces them: an eighth of the smallest disk.
const COMPACT_AFTER_BYTES: u64 = 16 * 1024 * 1024;

/// Documents in the log before a snapshot replaces them.
const COMPACT_AFTER_ENTRIES: u64 = 64;

/// Replicated group of this instance, which is reopened after a journal failure.
pub(crate) struct Group {
    /// Latest document applied since the start of the process, also across reopenings.
    document: watch::Sender<Document>,
    /// `None` while the group is stopped.
    handle: Mutex<Option<Arc<GroupHandle>>>,
    is_closed: AtomicBool,
    settings: RegistrySettings,
    /// Software versions as of the latest applied change.
    software_versions: watch::Sender<SoftwareVersions>,
    transport: Arc<VoterTransport>,
}

impl Group {
    pub(crate) fn open(settings: RegistrySettings) -> Result<Arc<Self>, Error> {
        let transport = VoterTransport::new(settings.inner_address.port(), &settings.log);
        let (document, _) = watch::channel(Document::default());
        let group = Arc::new(Self {
            document,
            handle: Mutex::new(None),
            is_closed: AtomicBool::new(false),
            settings,
            software_versions: watch::channel(SoftwareVersions::default()).0,
            transport: Arc::new(transport),
        });
        group.reopen()?;
        tokio::spawn(Arc::clone(&group).run_maintenance());
        Ok(group)
    }

    /// Handle of the group; `None` while it is stopped.
    pub(crate) fn handle(&self) -> Option<Arc<GroupHandle>> {
        self.lock().clone()
    }

    /// Latest document that this instance has applied.
    pub(crate) fn document(&self) -> watch::Receiver<Document> {
        self.document.subscribe()
    }

    /// Software versions as far as this instance has applied the log.
    pub(crate) fn software_versions(&self) -> watch::Receiver<SoftwareVersions> {
        self.software_versions.subscribe()
    }

    pub(crate) async fn deliver(&self, envelope: Envelope) {
        if let Some(handle) = self.handle() {
            handle.deliver(envelope).await;
        }
    }

    /// Whether this instance leads, and the name of the leader if known.
    pub(crate) fn leader(&self) -> (bool, Option<InstanceName>) {
        match self.handle() {
            Some(handle) => {
                let status = handle.leader_status().borrow().clone();
                (status.is_leader, status.leader)
            }
            None => (false, None),
        }
    }

    /// Names of voters and learners.
    pub(crate) async fn members(&self) -> Vec<InstanceName> {
        let Some(handle) = self.handle() else {
            return Vec::new();
        };
        let Ok(status) = handle.status().await else {
            return Vec::new();
        };
        let membership = &status.replica.membership;
        let learners = membership.learners().iter();
        let learners = learners.map(|learner| learner.member.name.clone());
        let voters = membership.voters().iter();
        voters
            .map(|voter| voter.name.clone())
            .chain(learners)
            .collect()
    }

    /// Stops the group on this instance, and waits until the data folder is released.
    pub(crate) async fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        let Some(mut handle) = self.lock().take() else {
            return;
        };
        loop {
            match Arc::try_unwrap(handle) {
                Ok(handle) => return handle.close().await,
                Err(in_use) => handle = in_use,
            }
            sleep(Duration::from_millis(CLOSE_POLL_INTERVAL_MS)).await;
        }
    }

    fn reopen(&self) -> Result<(), Error> {
        let state_machine = RegistryStateMachine::new(&self.document, &self.software_versions);
        let transport = Arc::clone(&self.transport);
        let handle = GroupHandle::open(self.group_settings(), Box::new(state_machine), transport)?;
        *self.lock() = Some(Arc::new(handle));
        Ok(())
    }

    fn group_settings(&self) -> Settings {
        let settings = &self.settings;
        let name = instance_name(&settings.inner_address);
        let mut initial_voters: Vec<InstanceName> =
            settings.seeds.iter().map(instance_name).collect();
        if !settings.is_bootstrapping {
            // Only the first initial voter by name bootstraps a group, so an instance that is not
            // on its own list never does.
            initial_voters.retain(|seed| *seed != name);
        }
        Settings {
            command_bytes_max: DOCUMENT_BYTES_MAX,
            compact_after_bytes: COMPACT_AFTER_BYTES,
            compact_after_entries: COMPACT_AFTER_ENTRIES,
            election_timeout_ms: ELECTION_TIMEOUT_MS,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            ..Settings::new(
                &settings.data_folder,
                name,
                initial_voters,
                settings.log.clone(),
            )
        }
    }

    async fn run_maintenance(self: Arc<Self>) {
        loop {
            sleep(Duration::from_millis(MAINTENANCE_INTERVAL_MS)).await;
            if self.is_closed.load(Ordering::Relaxed) {
                return;
            }
            match self.handle() {
                Some(handle) => self.maintain_members(&handle).await,
                None => self.try_reopen(),
            }
        }
    }

    fn try_reopen(&self) {
        match self.reopen() {
            Ok(()) => info!(self.settings.log, "journal opened again"),
            Err(error) => error!(self.settings.log, "journal not opened"; "error" => %error),
        }
    }

    async fn maintain_members(&self, handle: &GroupHandle) {
        let status = match handle.status().await {
            Ok(status) => status.replica,
            Err(error) => {
                error!(self.settings.log, "group stopped"; "error" => %error);
                *self.lock() = None;
                sleep(Duration::from_millis(REOPEN_DELAY_MS)).await;
                return;
            }
        };
        if !handle.leader_status().borrow().is_leader {
            return;
        }
        let members = group_members(&status);
        let Some(change) =
            next_voter_change(&members, self.settings.voters_wanted, SILENT_AFTER_MS)
        else {
            return;
        };
        let change_text = format!("{change:?}");
        match handle.change_membership(change).await {
            Ok(index) => info!(self.settings.log, "members changed"; "change" => change_text,
                "index" => index.0),
            Err(error) => info!(self.settings.log, "members not changed"; "change" => change_text,
                "error" => %error),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<GroupHandle>>> {
        self.handle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Name of a registry in the group: its IP address, the only property that others know of it.
pub(crate) fn instance_name(address: &std::net::SocketAddr) -> InstanceName {
    InstanceName::new(&address.ip().to_string()).expect("an IPv4 address is a name")
}

fn group_members(status: &agreement::ReplicaStatus) -> GroupMembers {
    let age_ms = |name: &InstanceName| {
        let mut followers = status.followers.iter();
        let follower = followers.find(|follower| follower.member.name == *name);
        follower.map_or(0, |follower| follower.last_response_age_ms)
    };
    let voters = status.membership.voters().iter();
    GroupMembers {
        is_committed: status.membership_committed,
        non_members: status
            .non_members
            .iter()
            .map(|member| member.name.clone())
            .collect(),
        voters: voters
            .map(|voter| (voter.name.clone(), age_ms(&voter.name)))
            .collect(),
    }
}
