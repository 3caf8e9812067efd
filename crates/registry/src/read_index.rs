//! Proofs that the document held here is the newest, shared by all who ask at about the same time.
//!
//! A proof is a round of heartbeats that a quorum answers to the leader, after which this instance
//! has applied everything that was committed when the round began. Whoever asks gets a round that
//! began after the question; rounds begin some time apart, so their number does not grow with the
//! number of subscribers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until, timeout};

use crate::group::Group;
use crate::link::{Link, within};

/// Time between the beginnings of two rounds; a tenth of the time after which subscribers ask.
const INTERVAL_MS: u64 = 50;

/// Longest time for one round: some round trips between regions.
const TIMEOUT_MS: u64 = 300;

/// Proofs of one registry.
pub(crate) struct ReadIndexBatcher {
    group: Arc<Group>,
    inner_port: u16,
    last: Mutex<Option<Round>>,
    leader: Mutex<Option<Arc<Link>>>,
}

#[derive(Debug, Clone, Copy)]
struct Round {
    began: Instant,
    is_confirmed: bool,
}

impl ReadIndexBatcher {
    pub(crate) fn new(group: &Arc<Group>, inner_port: u16) -> Self {
        Self {
            group: Arc::clone(group),
            inner_port,
            last: Mutex::new(None),
            leader: Mutex::new(None),
        }
    }

    /// Whether the document held here was the newest at some time after the call.
    pub(crate) async fn confirm_document(&self) -> bool {
        let asked = Instant::now();
        let mut last = self.last.lock().await;
        if let Some(round) = *last {
            if round.began >= asked {
                return round.is_confirmed;
            }
            sleep_until(round.began + Duration::from_millis(INTERVAL_MS)).await;
        }
        let began = Instant::now();
        let time = Duration::from_millis(TIMEOUT_MS);
        let is_confirmed = timeout(time, self.round()).await.ok().flatten().is_some();
        *last = Some(Round {
            began,
            is_confirmed,
        });
        is_confirmed
    }

    /// Position committed when a quorum confirmed that this instance leads.
    pub(crate) async fn confirm_leadership(&self) -> Option<u64> {
        let control = self.group.control()?;
        if !control.leader_status().borrow().is_leader {
            return None;
        }
        let time = Duration::from_millis(TIMEOUT_MS);
        let confirmed = timeout(time, control.read_index()).await.ok()?;
        confirmed.ok().map(|index| index.0)
    }

    /// Connection to the leader, if another instance leads.
    pub(crate) async fn leader(&self) -> Option<Arc<Link>> {
        let (is_leader, name) = self.group.leader();
        if is_leader {
            return None;
        }
        let ip = name?.as_str().parse().ok()?;
        let address = SocketAddr::new(ip, self.inner_port);
        let mut known = self.leader.lock().await;
        match &*known {
            Some(link) if link.address() == address => Some(Arc::clone(link)),
            _ => {
                let link = Arc::new(Link::new(address));
                *known = Some(Arc::clone(&link));
                Some(link)
            }
        }
    }

    async fn round(&self) -> Option<()> {
        let control = self.group.control()?;
        let index = match self.leader().await {
            Some(link) => {
                let client = link.client().await.ok()?;
                let answer = client.confirm_leadership(within(TIMEOUT_MS)).await;
                answer.map_err(|error| link.error(&error)).ok()??
            }
            None => self.confirm_leadership().await?,
        };
        let mut applied = control.applied_index();
        applied.wait_for(|applied| applied.0 >= index).await.ok()?;
        Some(())
    }
}
