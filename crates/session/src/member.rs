use std::net::SocketAddr;

use names::{DataCentreName, Incarnation, InstanceName, RegionName};
use serde::{Deserialize, Serialize};

/// One instance, as it describes itself.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Which run of the instance this is.
    pub incarnation: Incarnation,
    /// Where other instances reach it.
    pub inner_address: SocketAddr,
    /// Its name from the settings.
    pub name: InstanceName,
    /// Its region.
    pub region: RegionName,
    /// What it does.
    pub roles: Vec<Role>,
    /// Random number of the run; tells two instances of one name and incarnation apart.
    pub start_nonce: u64,
    /// Whether it takes new work.
    pub state: MemberState,
}

impl Member {
    /// Whether the instance may own shards.
    #[must_use]
    pub fn can_own_shards(&self) -> bool {
        self.state == MemberState::Serving && self.roles.contains(&Role::Dispatch)
    }

    /// Orders the runs of one name, the latest last.
    pub(crate) fn start_key(&self) -> (Incarnation, u64) {
        (self.incarnation, self.start_nonce)
    }
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberState {
    /// Finishes what it runs and takes nothing new.
    Draining,
    /// Takes new work.
    Serving,
}

/// What an instance does.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// Votes on the replicated state.
    Control,
    /// Owns shards of endpoints.
    Dispatch,
    /// Serves callers.
    Entry,
}
