use std::net::SocketAddr;
use std::path::PathBuf;

use names::{DataCentreName, InstanceName, RegionName};
use protocol::FleetKey;
use session::Role;
use slog::Logger;

/// Settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How clients and operators authenticate.
    pub access: Access,
    /// Listen address for operators.
    pub admin_address: SocketAddr,
    /// Listen address for clients.
    pub client_address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Folder of the replicated state; an instance without one is no voter.
    pub data_folder: Option<PathBuf>,
    /// Time for which a draining instance still accepts requests while the load balancer notices
    /// that it is not ready.
    pub drain_wait_ms: u64,
    /// Listen address for announcements of endpoints.
    pub endpoint_address: SocketAddr,
    /// Secret shared by all instances.
    pub fleet_key: FleetKey,
    /// Listen address for other instances.
    pub inner_address: SocketAddr,
    /// Address that other instances connect to, if it differs from `inner_address`.
    pub inner_advertised: Option<SocketAddr>,
    /// Logger for events.
    pub log: Logger,
    /// Name of the instance.
    pub name: InstanceName,
    /// Instances whose addresses are configured; all voters are among them.
    pub peers: Vec<Peer>,
    /// Region of the instance.
    pub region: RegionName,
    /// Roles of the instance in the deployment.
    pub roles: Vec<Role>,
    /// Shards per region and model or service.
    pub shards_per_offer: u16,
    /// Voters that the deployment was bootstrapped with.
    pub voters: Vec<InstanceName>,
}

/// How an instance authenticates clients and operators.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Access {
    /// No authentication: the key of a client is the customer's name, and operators need no key.
    Insecure,
    /// Keys from the table, and one operator's key from the settings.
    Keys {
        /// Key of an operator with all permissions.
        operator_key: String,
    },
}

/// Another instance.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Peer {
    /// Address on which it listens for other instances.
    pub address: SocketAddr,
    /// Name of the instance.
    pub name: InstanceName,
}
