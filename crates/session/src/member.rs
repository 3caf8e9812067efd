use std::net::SocketAddr;

use names::{DataCentreName, Incarnation, InstanceName, RegionName};
use serde::{Deserialize, Serialize};

/// Description of one instance, as sent in its heartbeats.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Number that grows with each process start of the instance.
    pub incarnation: Incarnation,
    /// Address for connections from other instances.
    pub inner_address: SocketAddr,
    /// Its name from the settings.
    pub name: InstanceName,
    /// Its region.
    pub region: RegionName,
    /// Roles of the instance.
    pub roles: Vec<Role>,
    /// Random number of the process; distinguishes processes of one name and incarnation.
    pub start_nonce: u64,
    /// Whether it accepts new work.
    pub state: MemberState,
}

impl Member {
    /// Whether the instance serves and has the dispatch role.
    #[must_use]
    pub fn can_own_shards(&self) -> bool {
        self.state == MemberState::Serving && self.roles.contains(&Role::Dispatch)
    }

    /// Sort key of the processes of one name; the latest has the greatest key.
    pub(crate) fn start_key(&self) -> (Incarnation, u64) {
        (self.incarnation, self.start_nonce)
    }
}

/// Whether an instance accepts new work.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberState {
    /// Finishes running requests and accepts no new work.
    Draining,
    /// Accepts new work.
    Serving,
}

/// Function of an instance in the deployment.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// Votes in the consensus on the replicated state.
    Control,
    /// Owns shards of endpoints.
    Dispatch,
    /// Serves client requests.
    Entry,
}
