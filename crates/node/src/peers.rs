//! Connections to other instances, opened on first use and reopened after a failure.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use names::InstanceName;
use protocol::{FleetKey, InnerClient, Traffic, connect};
use tarpc::context::Context;

use crate::error::Error;
use crate::published_state::PublishedState;
use crate::settings::Peer;

/// Connections to other instances, at most one per name.
#[derive(Debug)]
pub(crate) struct Peers {
    configured: Vec<Peer>,
    connections: Mutex<Vec<Connection>>,
    fleet_key: FleetKey,
    published: Arc<PublishedState>,
    traffic: Arc<Traffic>,
}

/// An open connection to one instance.
#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    client: InnerClient,
    name: InstanceName,
}

impl Peers {
    pub(crate) fn new(
        configured: &[Peer],
        fleet_key: &FleetKey,
        published: &Arc<PublishedState>,
        traffic: &Arc<Traffic>,
    ) -> Self {
        Self {
            configured: configured.to_vec(),
            connections: Mutex::new(Vec::new()),
            fleet_key: fleet_key.clone(),
            published: Arc::clone(published),
            traffic: Arc::clone(traffic),
        }
    }

    /// Client of an instance; connects if no connection is open.
    ///
    /// # Errors
    ///
    /// Fails if no address of the instance is known or the connection fails.
    pub(crate) async fn client(&self, name: &InstanceName) -> Result<InnerClient, Error> {
        let address = self.address(name).ok_or_else(|| Error::UnknownInstance {
            instance: name.clone(),
        })?;
        if let Some(client) = self.existing_client(name, address) {
            return Ok(client);
        }
        let client = connect(address, &self.fleet_key, &self.traffic).await?;
        self.store(name, address, &client);
        Ok(client)
    }

    /// Drops the connection to an instance after a call on it failed.
    pub(crate) fn disconnect(&self, name: &InstanceName) {
        self.lock().retain(|connection| connection.name != *name);
    }

    fn address(&self, name: &InstanceName) -> Option<SocketAddr> {
        let published = self.published.lock();
        if let Some(member) = published.roster.get(name) {
            return Some(member.inner_address);
        }
        self.configured
            .iter()
            .find(|peer| peer.name == *name)
            .map(|peer| peer.address)
    }

    fn existing_client(&self, name: &InstanceName, address: SocketAddr) -> Option<InnerClient> {
        self.lock()
            .iter()
            .find(|connection| connection.name == *name && connection.address == address)
            .map(|connection| connection.client.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn store(&self, name: &InstanceName, address: SocketAddr, client: &InnerClient) {
        let mut connections = self.lock();
        connections.retain(|connection| connection.name != *name);
        connections.push(Connection {
            address,
            client: client.clone(),
            name: name.clone(),
        });
    }
}

/// Context of a call that fails after `timeout_ms`.
pub(crate) fn context_with_timeout(timeout_ms: u64) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    context
}
