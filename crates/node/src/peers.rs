//! Connections to other instances, opened on first use and again after a failure.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use names::InstanceName;
use protocol::{FleetKey, InnerClient, Traffic, connect};
use tarpc::context::Context;

use crate::error::Error;
use crate::holdings::Holdings;
use crate::settings::Peer;

/// Connections by the name of the instance.
#[derive(Debug)]
pub(crate) struct Peers {
    connections: Mutex<Vec<Connection>>,
    holdings: Arc<Holdings>,
    key: FleetKey,
    known: Vec<Peer>,
    traffic: Arc<Traffic>,
}

#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    client: InnerClient,
    name: InstanceName,
}

impl Peers {
    pub(crate) fn new(
        known: &[Peer],
        key: &FleetKey,
        holdings: &Arc<Holdings>,
        traffic: &Arc<Traffic>,
    ) -> Self {
        Self {
            connections: Mutex::new(Vec::new()),
            holdings: Arc::clone(holdings),
            key: key.clone(),
            known: known.to_vec(),
            traffic: Arc::clone(traffic),
        }
    }

    /// A connection to an instance.
    ///
    /// # Errors
    ///
    /// Fails if the instance is unknown or cannot be reached.
    pub(crate) async fn client(&self, name: &InstanceName) -> Result<InnerClient, Error> {
        let address = self.address(name).ok_or_else(|| Error::UnknownInstance {
            instance: name.clone(),
        })?;
        if let Some(client) = self.connected(name, address) {
            return Ok(client);
        }
        let client = connect(address, &self.key, &self.traffic).await?;
        self.keep(name, address, &client);
        Ok(client)
    }

    /// Drops the connection to an instance after a call on it failed.
    pub(crate) fn failed(&self, name: &InstanceName) {
        self.lock().retain(|connection| connection.name != *name);
    }

    fn address(&self, name: &InstanceName) -> Option<SocketAddr> {
        let held = self.holdings.lock();
        if let Some(member) = held.roster.get(name) {
            return Some(member.inner_address);
        }
        self.known
            .iter()
            .find(|peer| peer.name == *name)
            .map(|peer| peer.address)
    }

    fn connected(&self, name: &InstanceName, address: SocketAddr) -> Option<InnerClient> {
        self.lock()
            .iter()
            .find(|connection| connection.name == *name && connection.address == address)
            .map(|connection| connection.client.clone())
    }

    fn keep(&self, name: &InstanceName, address: SocketAddr, client: &InnerClient) {
        let mut connections = self.lock();
        connections.retain(|connection| connection.name != *name);
        connections.push(Connection {
            address,
            client: client.clone(),
            name: name.clone(),
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Context of a call that is given up after `timeout_ms`.
pub(crate) fn within(timeout_ms: u64) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    context
}
