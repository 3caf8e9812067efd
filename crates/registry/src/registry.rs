use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use names::InstanceName;
use slog::{Logger, debug, info};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::connection::{RpcConnection, call_context};
use crate::group::{Group, instance_name};
use crate::proposer::Proposer;
use crate::publisher::Publisher;
use crate::read_index::ReadIndexBatcher;
use crate::server::Server;
use crate::version_register::VersionRegister;
use crate::{
    CatalogHistory, Document, EndpointEvent, EndpointState, Error, LoadAggregator, RecordOutcome,
    Registration, RegistryCommand, RegistrySettings, StreamOrigin,
};

/// Time limit for replicating or reading a document; clients try another registry after a second.
const DOCUMENT_TIMEOUT_MS: u64 = 900;

/// Delay before a document is read again.
const DOCUMENT_RETRY_DELAY_MS: u64 = 30;

/// Time for which endpoint events are batched before they are forwarded; far shorter than the time
/// between two heartbeats of an endpoint.
const FORWARD_INTERVAL_MS: u64 = 50;

/// Time limit for transferring the leadership.
const LEADERSHIP_TRANSFER_TIMEOUT_MS: u64 = 500;

/// Attempts to forward a batch of endpoint events to one registry.
const FORWARD_ATTEMPTS: u32 = 2;

/// Time limit for forwarding endpoint events to one registry.
const FORWARD_TIMEOUT_MS: u64 = 500;

/// Running registry: a member of the replicated group that serves subscribers.
pub struct Registry {
    forwarded_events: mpsc::UnboundedSender<EndpointEvent>,
    group: Arc<Group>,
    log: Logger,
    proposer: Arc<Proposer>,
    publisher: Arc<Publisher>,
    read_index: Arc<ReadIndexBatcher>,
    server: AbortHandle,
    version_register: Arc<VersionRegister>,
}

impl Registry {
    /// Opens the data folder, joins the group and serves other instances.
    ///
    /// # Errors
    ///
    /// Fails if the data folder is damaged, or the inner address cannot be listened on.
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
        let catalog_history = CatalogHistory::new(Arc::clone(&settings.decoder), &log);
        let group = Group::open(settings)?;
        let read_index = Arc::new(ReadIndexBatcher::new(&group, address.port()));
        let proposer = Arc::new(Proposer::new(&group, &read_index, &log));
        let version_register = Arc::new(VersionRegister::new(&group, &proposer, &log));
        let publisher = Publisher::spawn(
            &group,
            &read_index,
            address.port(),
            heartbeat_interval_ms,
            catalog_history,
            &version_register,
        );
        let server = Server {
            group: Arc::clone(&group),
            load_aggregator: Arc::new(Mutex::new(LoadAggregator::default())),
            log: log.clone(),
            publisher: Arc::clone(&publisher),
            read_index: Arc::clone(&read_index),
            stream_origins: Arc::default(),
            version_register: Arc::clone(&version_register),
        };
        let server = server.bind(listen).await?;
        let (forwarded_events, queued_events) = mpsc::unbounded_channel();
        let forwarder = EventForwarder {
            address,
            connections: Vec::new(),
            log: log.clone(),
            publisher: Arc::clone(&publisher),
            seeds,
        };
        tokio::spawn(forwarder.run(queued_events));
        Ok(Self {
            forwarded_events,
            group,
            log,
            proposer,
            publisher,
            read_index,
            server,
            version_register,
        })
    }

    /// Replicates a document; returns once it, or one with a higher version, is committed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if no quorum commits it in time; it may still be committed.
    pub async fn replicate_document(&self, document: Document) -> Result<(), Error> {
        let version = document.version;
        let started_at = Instant::now();
        let command = RegistryCommand::PutDocument(document);
        let outcome = self.proposer.propose(&command, DOCUMENT_TIMEOUT_MS).await;
        info!(self.log, "document proposed"; "version" => version,
            "is_committed" => outcome.is_ok(), "duration_ms" => elapsed_ms(started_at));
        outcome
    }

    /// Reads the newest document of the group.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if no quorum confirms in time that it is the newest.
    pub async fn read_newest_document(&self) -> Result<Document, Error> {
        let started_at = Instant::now();
        while !self.read_index.confirm_newest().await {
            if elapsed_ms(started_at) >= DOCUMENT_TIMEOUT_MS {
                return Err(Error::Unavailable {
                    timeout_ms: DOCUMENT_TIMEOUT_MS,
                });
            }
            sleep(Duration::from_millis(DOCUMENT_RETRY_DELAY_MS)).await;
        }
        Ok(self.group.document().borrow().clone())
    }

    /// Records a heartbeat, publishes it to subscribers and forwards it to the other registries. The
    /// first heartbeat of a software version is recorded once the group knows the version.
    ///
    /// # Errors
    ///
    /// Fails while this registry is cut off from the group: subscribers might not get the event.
    pub async fn record_heartbeat(
        &self,
        registration: Registration,
    ) -> Result<RecordOutcome, Error> {
        self.check_connected()?;
        if registration.state == EndpointState::Ready {
            let origin = StreamOrigin {
                service: registration.service.clone(),
                software_version: registration.software_version.clone(),
            };
            let is_present = || self.publisher.is_version_present(&origin);
            self.version_register.add(&origin, is_present).await?;
        }
        let (id, state) = (registration.id.clone(), registration.state);
        let software_version = registration.software_version.clone();
        let event = EndpointEvent::Heartbeat(registration);
        let outcome = self.publisher.record_event(event.clone());
        self.forward(event);
        if outcome != RecordOutcome::Refreshed {
            info!(self.log, "endpoint heartbeat received"; "endpoint" => id, "state" => ?state,
                "software_version" => software_version, "recorded" => ?outcome);
        }
        Ok(outcome)
    }

    /// Records that an endpoint has left, publishes it to subscribers and forwards it to the other
    /// registries.
    ///
    /// # Errors
    ///
    /// Fails while this registry is cut off from the group: subscribers might not get the event.
    pub fn record_leave(
        &self,
        id: &str,
        started_at_ms: Option<u64>,
    ) -> Result<RecordOutcome, Error> {
        self.check_connected()?;
        let event = EndpointEvent::Left {
            started_at_ms,
            id: id.to_owned(),
        };
        let outcome = self.publisher.record_event(event.clone());
        self.forward(event);
        info!(self.log, "endpoint left"; "endpoint" => id, "recorded" => ?outcome);
        Ok(outcome)
    }

    /// Stops the registry at once, and waits until the data folder is released.
    pub async fn close(self) {
        self.server.abort();
        self.group.close().await;
    }

    /// Names of the voters, as known to this registry; empty while its group is stopped.
    pub async fn voters(&self) -> BTreeSet<InstanceName> {
        let Some(handle) = self.group.handle() else {
            return BTreeSet::new();
        };
        let Ok(status) = handle.status().await else {
            return BTreeSet::new();
        };
        let voters = status.replica.membership.voters().iter();
        voters.map(|voter| voter.name.clone()).collect()
    }

    /// Transfers the leadership to another voter if this instance leads; call it before a stop.
    pub async fn transfer_leadership(&self) {
        let Some(handle) = self.group.handle() else {
            return;
        };
        if !handle.leader_status().borrow().is_leader {
            return;
        }
        let Ok(status) = handle.status().await else {
            return;
        };
        let own_name = &status.replica.member.name;
        let followers = status.replica.followers.iter();
        let most_advanced = followers
            .filter(|follower| follower.member.name != *own_name)
            .max_by_key(|follower| follower.match_index);
        let Some(to) = most_advanced.map(|follower| follower.member.name.clone()) else {
            return;
        };
        info!(self.log, "handing leadership over"; "to" => %to);
        if let Err(error) = handle.transfer_leadership(to).await {
            info!(self.log, "leadership not handed over"; "error" => %error);
            return;
        }
        let mut leader_status = handle.leader_status();
        let time = Duration::from_millis(LEADERSHIP_TRANSFER_TIMEOUT_MS);
        // If the transfer does not finish in time, the other voters elect a leader.
        let _ = timeout(time, leader_status.wait_for(|status| !status.is_leader)).await;
    }

    fn check_connected(&self) -> Result<(), Error> {
        match self.group.leader() {
            (false, None) => Err(Error::Unavailable { timeout_ms: 0 }),
            _ => Ok(()),
        }
    }

    fn forward(&self, event: EndpointEvent) {
        // The receiving task runs as long as the runtime, so this does not fail before.
        let _ = self.forwarded_events.send(event);
    }
}

/// Task that forwards endpoint events to the other registries in batches.
struct EventForwarder {
    address: SocketAddr,
    connections: Vec<Arc<RpcConnection>>,
    log: Logger,
    publisher: Arc<Publisher>,
    seeds: Vec<SocketAddr>,
}

impl EventForwarder {
    async fn run(mut self, mut queued_events: mpsc::UnboundedReceiver<EndpointEvent>) {
        let mut events = Vec::new();
        while queued_events.recv_many(&mut events, usize::MAX).await > 0 {
            let batch = std::mem::take(&mut events);
            self.update_connections();
            for connection in &self.connections {
                let (connection, log) = (Arc::clone(connection), self.log.clone());
                tokio::spawn(forward_batch(connection, batch.clone(), log));
            }
            sleep(Duration::from_millis(FORWARD_INTERVAL_MS)).await;
        }
    }

    fn update_connections(&mut self) {
        let mut registries = self.publisher.registries();
        registries.extend(&self.seeds);
        registries.sort_unstable();
        registries.dedup();
        let own_name = instance_name(&self.address);
        registries.retain(|address| instance_name(address) != own_name);
        self.connections
            .retain(|connection| registries.binary_search(&connection.address()).is_ok());
        for address in registries {
            let mut connections = self.connections.iter();
            if !connections.any(|connection| connection.address() == address) {
                self.connections.push(Arc::new(RpcConnection::new(address)));
            }
        }
    }
}

/// Forwards events to a registry. A second attempt opens a new connection, as the known one may have
/// failed since the last batch; events that arrive twice change nothing.
async fn forward_batch(connection: Arc<RpcConnection>, events: Vec<EndpointEvent>, log: Logger) {
    for _ in 0..FORWARD_ATTEMPTS {
        let client = match connection.connect().await {
            Ok(client) => client,
            Err(error) => {
                debug!(log, "endpoint events not forwarded"; "error" => %error);
                return;
            }
        };
        let context = call_context(FORWARD_TIMEOUT_MS);
        let Err(error) = client.forward_events(context, events.clone()).await else {
            return;
        };
        let error = connection.disconnect_after(&error);
        debug!(log, "endpoint events not forwarded"; "error" => %error);
    }
}

/// Time since an instant, in whole milliseconds.
pub(crate) fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).expect("durations fit")
}
