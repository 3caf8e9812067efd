use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use names::InstanceName;
use slog::{Logger, debug, info};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::group::{Group, instance_name};
use crate::link::{Link, within};
use crate::publisher::Publisher;
use crate::read_index::ReadIndexBatcher;
use crate::server::Server;
use crate::{
    Document, DocumentStateMachine, EndpointEvent, Error, LoadAggregator, RecordOutcome,
    Registration, RegistrySettings,
};

/// Longest time for replicating a document; callers move on to another registry after a second.
const ACCEPT_TIMEOUT_MS: u64 = 900;

/// Time before a document is proposed again, to the next leader.
const ACCEPT_PAUSE_MS: u64 = 30;

/// Heartbeats wait this long to be shared together; far less than the time between two of them.
const SHARE_INTERVAL_MS: u64 = 50;

/// Longest time for handing leadership over.
const HAND_OVER_TIMEOUT_MS: u64 = 500;

/// Longest time for sharing heartbeats with one registry.
const SHARE_TIMEOUT_MS: u64 = 500;

/// Handle of a running registry.
pub struct Registry {
    group: Arc<Group>,
    log: Logger,
    prover: Arc<ReadIndexBatcher>,
    publisher: Arc<Publisher>,
    server: AbortHandle,
    shared: mpsc::UnboundedSender<EndpointEvent>,
}

impl Registry {
    /// Opens the data folder, joins the group and serves other instances.
    ///
    /// # Errors
    ///
    /// Refuses a damaged data folder, and an address that cannot be listened on.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub async fn open(settings: RegistrySettings) -> Result<Self, Error> {
        let address = settings.inner_address;
        let listen = settings.inner_listen.unwrap_or(address);
        let log = settings.log.clone();
        let heartbeat_interval_ms = settings.heartbeat_interval_ms;
        let seeds = settings.seeds.clone();
        let group = Group::open(settings)?;
        let prover = Arc::new(ReadIndexBatcher::new(&group, address.port()));
        let publisher = Publisher::spawn(&group, &prover, address.port(), heartbeat_interval_ms);
        let server = Server {
            group: Arc::clone(&group),
            loads: Arc::new(Mutex::new(LoadAggregator::default())),
            log: log.clone(),
            prover: Arc::clone(&prover),
            publisher: Arc::clone(&publisher),
        };
        let server = server.bind(listen).await?;
        let (shared, waiting) = mpsc::unbounded_channel();
        let exchange = Sharer {
            address,
            links: Vec::new(),
            log: log.clone(),
            publisher: Arc::clone(&publisher),
            seeds,
        };
        tokio::spawn(exchange.run(waiting));
        Ok(Self {
            group,
            log,
            prover,
            publisher,
            server,
            shared,
        })
    }

    /// Replicates a document; returns once it, or one with a higher version, is committed.
    ///
    /// # Errors
    ///
    /// Fails where no quorum commits in time; the document may be committed all the same.
    pub async fn replicate_document(&self, document: Document) -> Result<(), Error> {
        let time = Duration::from_millis(ACCEPT_TIMEOUT_MS);
        let version = document.version;
        let began = Instant::now();
        let accepted = timeout(time, async {
            while !self.propose(&document).await {
                sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        });
        let outcome = accepted.await;
        info!(self.log, "document proposed"; "version" => version,
            "is_committed" => outcome.is_ok(), "duration_ms" => elapsed_ms(began));
        outcome.map_err(|_| Error::Unavailable {
            timeout_ms: ACCEPT_TIMEOUT_MS,
        })
    }

    /// Newest document of the whole group.
    ///
    /// # Errors
    ///
    /// Fails where no quorum confirms in time that it is the newest.
    pub async fn read_newest_document(&self) -> Result<Document, Error> {
        let began = Instant::now();
        while !self.prover.confirm_document().await {
            if elapsed_ms(began) >= ACCEPT_TIMEOUT_MS {
                return Err(Error::Unavailable {
                    timeout_ms: ACCEPT_TIMEOUT_MS,
                });
            }
            sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
        }
        Ok(self.group.document().borrow().clone())
    }

    /// Takes a heartbeat and tells it to subscribers and other registries.
    ///
    /// # Errors
    ///
    /// Fails while this registry is cut off from the group, as subscribers may not hear of it.
    pub fn record_heartbeat(&self, registration: Registration) -> Result<RecordOutcome, Error> {
        self.check_connected()?;
        let (id, state) = (registration.id.clone(), registration.state);
        let notice = EndpointEvent::Heartbeat(registration);
        let recorded = self.publisher.record(notice.clone());
        self.share(notice);
        if recorded != RecordOutcome::Refreshed {
            info!(self.log, "endpoint heard"; "endpoint" => id, "state" => ?state,
                "recorded" => ?recorded);
        }
        Ok(recorded)
    }

    /// Takes the leave of an endpoint and tells it to subscribers and other registries.
    ///
    /// # Errors
    ///
    /// Fails while this registry is cut off from the group, as subscribers may not hear of it.
    pub fn record_leave(
        &self,
        id: &str,
        started_at_ms: Option<u64>,
    ) -> Result<RecordOutcome, Error> {
        self.check_connected()?;
        let notice = EndpointEvent::Left {
            started_at_ms,
            id: id.to_owned(),
        };
        let recorded = self.publisher.record(notice.clone());
        self.share(notice);
        info!(self.log, "endpoint left"; "endpoint" => id, "recorded" => ?recorded);
        Ok(recorded)
    }

    /// Stops at once, and waits until the data folder is free.
    pub async fn close(self) {
        self.server.abort();
        self.group.close().await;
    }

    /// Voters of the group, as this registry knows them.
    pub async fn voters(&self) -> BTreeSet<InstanceName> {
        let Some(control) = self.group.control() else {
            return BTreeSet::new();
        };
        let Ok(status) = control.status().await else {
            return BTreeSet::new();
        };
        let voters = status.replica.membership.voters().iter();
        voters.map(|voter| voter.name.clone()).collect()
    }

    /// Hands leadership to another voter before this one stops.
    pub async fn transfer_leadership(&self) {
        let Some(control) = self.group.control() else {
            return;
        };
        if !control.leader_status().borrow().is_leader {
            return;
        }
        let Ok(status) = control.status().await else {
            return;
        };
        let own = &status.replica.member.name;
        let followers = status.replica.followers.iter();
        let latest = followers
            .filter(|follower| follower.member.name != *own)
            .max_by_key(|follower| follower.match_index);
        let Some(to) = latest.map(|follower| follower.member.name.clone()) else {
            return;
        };
        info!(self.log, "handing leadership over"; "to" => %to);
        if let Err(error) = control.transfer_leadership(to).await {
            info!(self.log, "leadership not handed over"; "error" => %error);
            return;
        }
        let mut role = control.leader_status();
        let time = Duration::from_millis(HAND_OVER_TIMEOUT_MS);
        // Without a successor in time, the others elect one.
        let _ = timeout(time, role.wait_for(|role| !role.is_leader)).await;
    }

    fn check_connected(&self) -> Result<(), Error> {
        match self.group.leader() {
            (false, None) => Err(Error::Unavailable { timeout_ms: 0 }),
            _ => Ok(()),
        }
    }

    fn share(&self, notice: EndpointEvent) {
        // The receiver lives as long as the registry's runtime.
        let _ = self.shared.send(notice);
    }

    async fn propose(&self, document: &Document) -> bool {
        let Some(link) = self.prover.leader().await else {
            let Some(control) = self.group.control() else {
                return false;
            };
            return control
                .propose(DocumentStateMachine::encode_command(document))
                .await
                .is_ok();
        };
        let Ok(client) = link.client().await else {
            return false;
        };
        let proposed = client.propose_document(within(ACCEPT_TIMEOUT_MS), document.clone());
        match proposed.await {
            Ok(is_committed) => is_committed,
            Err(error) => {
                debug!(self.log, "document not passed on"; "error" => %link.error(&error));
                false
            }
        }
    }
}

/// Passes heartbeats on to the other registries.
struct Sharer {
    address: SocketAddr,
    links: Vec<Arc<Link>>,
    log: Logger,
    publisher: Arc<Publisher>,
    seeds: Vec<SocketAddr>,
}

impl Sharer {
    async fn run(mut self, mut waiting: mpsc::UnboundedReceiver<EndpointEvent>) {
        let mut notices = Vec::new();
        while waiting.recv_many(&mut notices, usize::MAX).await > 0 {
            let batch = std::mem::take(&mut notices);
            self.update_links();
            for link in &self.links {
                let (link, log) = (Arc::clone(link), self.log.clone());
                tokio::spawn(share(link, batch.clone(), log));
            }
            sleep(Duration::from_millis(SHARE_INTERVAL_MS)).await;
        }
    }

    fn update_links(&mut self) {
        let mut registries = self.publisher.registries();
        registries.extend(&self.seeds);
        registries.sort_unstable();
        registries.dedup();
        let own = instance_name(&self.address);
        registries.retain(|address| instance_name(address) != own);
        self.links
            .retain(|link| registries.binary_search(&link.address()).is_ok());
        for address in registries {
            if !self.links.iter().any(|link| link.address() == address) {
                self.links.push(Arc::new(Link::new(address)));
            }
        }
    }
}

async fn share(link: Arc<Link>, notices: Vec<EndpointEvent>, log: Logger) {
    let client = match link.client().await {
        Ok(client) => client,
        Err(error) => {
            debug!(log, "heartbeats not shared"; "error" => %error);
            return;
        }
    };
    if let Err(error) = client.share_events(within(SHARE_TIMEOUT_MS), notices).await {
        debug!(log, "heartbeats not shared"; "error" => %link.error(&error));
    }
}

/// Whole ms since a time.
pub(crate) fn elapsed_ms(began: Instant) -> u64 {
    u64::try_from(began.elapsed().as_millis()).expect("durations fit")
}
