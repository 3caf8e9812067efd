//! Confirms that the local state is the newest, in rounds that concurrent requests share.
//!
//! A round is a read index: a quorum confirms the leader by answering its heartbeats, then this
//! instance applies everything that was committed when the round began. A request is answered by a
//! round that began after it. Rounds begin at a minimum interval, so their number does not grow
//! with the number of subscribers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until, timeout};

use crate::connection::{RpcConnection, call_context};
use crate::group::Group;

/// Shortest time between the starts of two rounds; a tenth of the time after which subscribers
/// request the next confirmation.
const ROUND_INTERVAL_MS: u64 = 50;

/// Time limit of one round: some round trips between regions.
const ROUND_TIMEOUT_MS: u64 = 300;

/// Shares read-index rounds among the concurrent requests of one registry.
pub(crate) struct ReadIndexBatcher {
    group: Arc<Group>,
    inner_port: u16,
    last_round: Mutex<Option<Round>>,
    leader_connection: Mutex<Option<Arc<RpcConnection>>>,
}

/// Finished read-index round.
#[derive(Debug, Clone, Copy)]
struct Round {
    is_confirmed: bool,
    started_at: Instant,
}

impl ReadIndexBatcher {
    pub(crate) fn new(group: &Arc<Group>, inner_port: u16) -> Self {
        Self {
            group: Arc::clone(group),
            inner_port,
            last_round: Mutex::new(None),
            leader_connection: Mutex::new(None),
        }
    }

    /// Whether the local replicated state was the newest at some time after the call.
    pub(crate) async fn confirm_newest(&self) -> bool {
        let requested_at = Instant::now();
        let mut last_round = self.last_round.lock().await;
        if let Some(round) = *last_round {
            if round.started_at >= requested_at {
                return round.is_confirmed;
            }
            sleep_until(round.started_at + Duration::from_millis(ROUND_INTERVAL_MS)).await;
        }
        let started_at = Instant::now();
        let time = Duration::from_millis(ROUND_TIMEOUT_MS);
        let is_confirmed = timeout(time, self.run_round())
            .await
            .ok()
            .flatten()
            .is_some();
        *last_round = Some(Round {
            is_confirmed,
            started_at,
        });
        is_confirmed
    }

    /// Read index, after a quorum has confirmed the leadership of this instance.
    pub(crate) async fn confirm_leadership(&self) -> Option<u64> {
        let handle = self.group.handle()?;
        if !handle.leader_status().borrow().is_leader {
            return None;
        }
        let time = Duration::from_millis(ROUND_TIMEOUT_MS);
        let read_index = timeout(time, handle.read_index()).await.ok()?;
        read_index.ok().map(|index| index.0)
    }

    /// Connection to the leader, if another instance leads.
    pub(crate) async fn leader(&self) -> Option<Arc<RpcConnection>> {
        let (is_leader, name) = self.group.leader();
        if is_leader {
            return None;
        }
        let ip = name?.as_str().parse().ok()?;
        let address = SocketAddr::new(ip, self.inner_port);
        let mut current = self.leader_connection.lock().await;
        match &*current {
            Some(connection) if connection.address() == address => Some(Arc::clone(connection)),
            _ => {
                let connection = Arc::new(RpcConnection::new(address));
                *current = Some(Arc::clone(&connection));
                Some(connection)
            }
        }
    }

    async fn run_round(&self) -> Option<()> {
        let handle = self.group.handle()?;
        let index = match self.leader().await {
            Some(leader) => {
                let client = leader.connect().await.ok()?;
                let context = call_context(ROUND_TIMEOUT_MS);
                let answer = client.confirm_leadership(context).await;
                answer
                    .map_err(|error| leader.disconnect_after(&error))
                    .ok()??
            }
            None => self.confirm_leadership().await?,
        };
        let mut applied = handle.applied_index();
        applied.wait_for(|applied| applied.0 >= index).await.ok()?;
        Some(())
    }
}
