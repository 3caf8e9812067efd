//! Keeps the replicated group of this instance open.
//!
//! A journal that fails ends the group; it is opened again after a pause, from what the disk holds.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agreement::Envelope;
use control::{GroupHandle, Settings};
use names::InstanceName;
use slog::{error, info};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::membership::{GroupMembers, next_voter_change};
use crate::transport::VoterTransport;
use crate::{Document, DocumentStateMachine, Error, RegistrySettings};

/// Time between two looks at the members.
const LOOK_INTERVAL_MS: u64 = 200;

/// Time before a group whose journal failed is opened again; a full or failing disk needs longer
/// to recover than this costs.
const REOPEN_PAUSE_MS: u64 = 500;

/// Time between two looks whether others still use a group that closes.
const CLOSE_PAUSE_MS: u64 = 10;

/// Shortest time without a leader before an election: several round trips between regions and
/// syncs of a slow disk.
const ELECTION_TIMEOUT_MS: u64 = 300;

/// Time between two heartbeats of the leader.
const HEARTBEAT_INTERVAL_MS: u64 = 75;

/// Silence after which a voter may be replaced by a successor; some election timeouts.
const SILENT_AFTER_MS: u64 = 1_000;

/// Longest document, with room above the longest body that clients send.
const DOCUMENT_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Documents in the log before a snapshot replaces them; bounds the journal where they are long.
const COMPACT_AFTER_ENTRIES: u64 = 64;

/// The group, while it is open.
pub(crate) struct Group {
    control: Mutex<Option<Arc<GroupHandle>>>,
    /// Latest document that was applied in any opening.
    document: watch::Sender<Document>,
    is_closed: AtomicBool,
    settings: RegistrySettings,
    transport: Arc<VoterTransport>,
}

impl Group {
    pub(crate) fn open(settings: RegistrySettings) -> Result<Arc<Self>, Error> {
        let transport = VoterTransport::new(settings.inner_address.port(), &settings.log);
        let (document, _) = watch::channel(Document::default());
        let group = Arc::new(Self {
            control: Mutex::new(None),
            document,
            is_closed: AtomicBool::new(false),
            settings,
            transport: Arc::new(transport),
        });
        group.reopen()?;
        tokio::spawn(Arc::clone(&group).maintain());
        Ok(group)
    }

    pub(crate) fn control(&self) -> Option<Arc<GroupHandle>> {
        self.lock().clone()
    }

    /// Latest document that this instance has applied.
    pub(crate) fn document(&self) -> watch::Receiver<Document> {
        self.document.subscribe()
    }

    pub(crate) async fn deliver(&self, envelope: Envelope) {
        if let Some(control) = self.control() {
            control.deliver(envelope).await;
        }
    }

    /// Whether this instance leads, and the leader where known.
    pub(crate) fn leader(&self) -> (bool, Option<InstanceName>) {
        match self.control() {
            Some(control) => {
                let role = control.leader_status().borrow().clone();
                (role.is_leader, role.leader)
            }
            None => (false, None),
        }
    }

    /// Names of voters and learners.
    pub(crate) async fn members(&self) -> Vec<InstanceName> {
        let Some(control) = self.control() else {
            return Vec::new();
        };
        let Ok(status) = control.status().await else {
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

    /// Ends this instance's part in the group, and waits until the data folder is free.
    pub(crate) async fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        let Some(mut control) = self.lock().take() else {
            return;
        };
        loop {
            match Arc::try_unwrap(control) {
                Ok(control) => return control.close().await,
                Err(shared) => control = shared,
            }
            sleep(Duration::from_millis(CLOSE_PAUSE_MS)).await;
        }
    }

    fn reopen(&self) -> Result<(), Error> {
        let machine = DocumentStateMachine::new(&self.document);
        let transport = Arc::clone(&self.transport);
        let control = GroupHandle::open(self.control_settings(), Box::new(machine), transport)?;
        *self.lock() = Some(Arc::new(control));
        Ok(())
    }

    fn control_settings(&self) -> Settings {
        let settings = &self.settings;
        let name = instance_name(&settings.inner_address);
        let mut initial: Vec<InstanceName> = settings.seeds.iter().map(instance_name).collect();
        if !settings.is_bootstrapping {
            // The first initial voter by name founds a group, so one that is not named never does.
            initial.retain(|seed| *seed != name);
        }
        Settings {
            command_bytes_max: DOCUMENT_BYTES_MAX,
            compact_after_entries: COMPACT_AFTER_ENTRIES,
            election_timeout_ms: ELECTION_TIMEOUT_MS,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            ..Settings::new(&settings.data_folder, name, initial, settings.log.clone())
        }
    }

    async fn maintain(self: Arc<Self>) {
        loop {
            sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
            if self.is_closed.load(Ordering::Relaxed) {
                return;
            }
            match self.control() {
                Some(control) => self.look_after(&control).await,
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

    async fn look_after(&self, control: &GroupHandle) {
        let status = match control.status().await {
            Ok(status) => status.replica,
            Err(error) => {
                error!(self.settings.log, "group stopped"; "error" => %error);
                *self.lock() = None;
                sleep(Duration::from_millis(REOPEN_PAUSE_MS)).await;
                return;
            }
        };
        if !control.leader_status().borrow().is_leader {
            return;
        }
        let roll = roll(&status);
        let Some(change) = next_voter_change(&roll, self.settings.voters_wanted, SILENT_AFTER_MS)
        else {
            return;
        };
        let text = format!("{change:?}");
        match control.change_membership(change).await {
            Ok(index) => info!(self.settings.log, "members changed"; "change" => text,
                "index" => index.0),
            Err(error) => info!(self.settings.log, "members not changed"; "change" => text,
                "error" => %error),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Arc<GroupHandle>>> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Name of a registry in the group: its IP address, which is all that others know of it.
pub(crate) fn instance_name(address: &std::net::SocketAddr) -> InstanceName {
    InstanceName::new(&address.ip().to_string()).expect("an IPv4 address is a name")
}

fn roll(status: &agreement::ReplicaStatus) -> GroupMembers {
    let age_ms = |name: &InstanceName| {
        let mut followers = status.followers.iter();
        let follower = followers.find(|known| known.member.name == *name);
        follower.map_or(0, |follower| follower.last_response_age_ms)
    };
    let voters = status.membership.voters().iter();
    GroupMembers {
        introduced: status
            .non_members
            .iter()
            .map(|member| member.name.clone())
            .collect(),
        is_settled: status.membership_committed,
        voters: voters
            .map(|voter| (voter.name.clone(), age_ms(&voter.name)))
            .collect(),
    }
}
