//! Keeps the instance subscribed: leads where it can, else renews from a publisher.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use names::{InstanceName, LogIndex};
use protocol::{SyncAnswer, SyncRequest};
use session::{Heartbeat, Member, MemberState, UPSTREAM_TIMEOUT_MS, UpstreamSelector};
use slog::{Logger, error, info, warn};
use telemetry::Metrics;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::holdings::Holdings;
use crate::peers::{Peers, within};
use crate::publication::Publication;

/// Time between two turns of the leader.
const LEAD_INTERVAL_MS: u64 = 100;

/// Time before another try when no publisher could be found.
const RETRY_MS: u64 = 50;

/// Time before a superseded run asks again.
const SUPERSEDED_RETRY_MS: u64 = 500;

/// What the subscribing task works on.
#[derive(Debug)]
pub(crate) struct Subscription {
    pub(crate) clock: Clock,
    pub(crate) draining: Arc<AtomicBool>,
    pub(crate) holdings: Arc<Holdings>,
    pub(crate) log: Logger,
    pub(crate) member: Member,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) publication: Arc<Publication>,
    pub(crate) voters: Vec<InstanceName>,
}

impl Subscription {
    /// Stays subscribed until the task is dropped.
    pub(crate) async fn run(self) {
        let mut upstream = UpstreamSelector::new(&self.member.name);
        let mut last: Option<InstanceName> = None;
        loop {
            self.metrics
                .set_table_revision(self.holdings.lock().feed.revision().0);
            if self.publication.lead(&self.heartbeat()).await {
                last = None;
                self.wait_as_leader().await;
                continue;
            }
            let Some(publisher) = self.choose(&upstream) else {
                upstream.forget_failures();
                sleep(Duration::from_millis(RETRY_MS)).await;
                continue;
            };
            if last.as_ref() != Some(&publisher) {
                info!(self.log, "subscribing"; "publisher" => %publisher);
                last = Some(publisher.clone());
            }
            self.renew(&mut upstream, &publisher).await;
        }
    }

    fn choose(&self, upstream: &UpstreamSelector) -> Option<InstanceName> {
        let held = self.holdings.lock();
        upstream.choose(
            self.clock.now_ms(),
            &held.roster,
            &self.voters,
            held.leader.as_ref(),
        )
    }

    fn heartbeat(&self) -> Heartbeat {
        let state = if self.draining.load(Ordering::SeqCst) {
            MemberState::Draining
        } else {
            MemberState::Serving
        };
        Heartbeat {
            age_ms: 0,
            applied: LogIndex(self.holdings.lock().feed.revision().0),
            member: Member {
                state,
                ..self.member.clone()
            },
        }
    }

    async fn renew(&self, upstream: &mut UpstreamSelector, publisher: &InstanceName) {
        let sent_ms = self.clock.now_ms();
        match self.ask(publisher, upstream.wait_ms()).await {
            Some(SyncAnswer::NotPublisher { leader }) => {
                upstream.record_failure(self.clock.now_ms(), publisher);
                self.learn_leader(upstream, leader);
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
            Some(SyncAnswer::Superseded) => {
                error!(self.log, "superseded by another run"; "instance" => %self.member.name);
                self.holdings.lock().lease.revoke();
                sleep(Duration::from_millis(SUPERSEDED_RETRY_MS)).await;
            }
            Some(SyncAnswer::Update(update)) => {
                upstream.record_answer(publisher);
                self.holdings.apply(sent_ms, update);
            }
            None => {
                warn!(self.log, "publisher silent"; "publisher" => %publisher);
                upstream.record_failure(self.clock.now_ms(), publisher);
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }

    async fn ask(&self, publisher: &InstanceName, wait_ms: u64) -> Option<SyncAnswer> {
        let client = self.peers.client(publisher).await.ok()?;
        let request = self.request(wait_ms);
        let answer = client.sync(within(UPSTREAM_TIMEOUT_MS), request).await;
        answer.inspect_err(|_| self.peers.failed(publisher)).ok()
    }

    /// Prefers the leader that a publisher named, even if it failed before.
    fn learn_leader(&self, upstream: &mut UpstreamSelector, leader: Option<InstanceName>) {
        let mut held = self.holdings.lock();
        if leader.is_some() && held.leader != leader {
            upstream.forget_failures();
            held.leader = leader;
        }
    }

    fn request(&self, wait_ms: u64) -> SyncRequest {
        let own = self.heartbeat();
        let mut heartbeats = self.publication.heartbeats();
        heartbeats.retain(|heartbeat| heartbeat.member.name != own.member.name);
        heartbeats.insert(0, own);
        let held = self.holdings.lock();
        SyncRequest {
            assignments_index: held.assignments.applied(),
            heartbeats,
            roster_epoch: held.roster.epoch(),
            roster_version: held.roster.version(),
            table_revision: LogIndex(held.feed.revision().0),
            wait_ms,
            unowned_shards: held.wanted.clone(),
        }
    }

    async fn wait_as_leader(&self) {
        let mut changes = self.holdings.changes();
        let interval = Duration::from_millis(LEAD_INTERVAL_MS);
        // Either news or the next turn ends the wait.
        let _ = timeout(interval, changes.changed()).await;
    }
}
