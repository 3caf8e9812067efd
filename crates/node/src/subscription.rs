//! Keeps the published state current: as leader from the log, otherwise from a publisher.

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
use crate::peers::{Peers, context_with_timeout};
use crate::published_state::PublishedState;
use crate::state_publisher::StatePublisher;

/// Longest time between two rounds of the leader.
const LEADER_ROUND_INTERVAL_MS: u64 = 100;

/// Time before the next attempt if no publisher answered.
const RETRY_INTERVAL_MS: u64 = 50;

/// Time before a superseded instance sends the next request.
const SUPERSEDED_RETRY_INTERVAL_MS: u64 = 500;

/// Task that renews the copy of the published state and the configuration lease.
#[derive(Debug)]
pub(crate) struct Subscription {
    pub(crate) clock: Clock,
    pub(crate) draining: Arc<AtomicBool>,
    pub(crate) log: Logger,
    pub(crate) member: Member,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) published: Arc<PublishedState>,
    pub(crate) state_publisher: Arc<StatePublisher>,
    pub(crate) voters: Vec<InstanceName>,
}

impl Subscription {
    /// Renews the subscription until the task is dropped.
    pub(crate) async fn run(self) {
        let mut upstream = UpstreamSelector::new(&self.member.name);
        let mut last_publisher: Option<InstanceName> = None;
        loop {
            self.metrics
                .set_table_revision(self.published.lock().table_view.revision().0);
            if self
                .state_publisher
                .run_leader_round(&self.heartbeat())
                .await
            {
                last_publisher = None;
                self.wait_as_leader().await;
                continue;
            }
            let Some(publisher) = self.choose_publisher(&upstream) else {
                upstream.clear_failures();
                sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
                continue;
            };
            if last_publisher.as_ref() != Some(&publisher) {
                info!(self.log, "subscribing"; "publisher" => %publisher);
                last_publisher = Some(publisher.clone());
            }
            self.renew(&mut upstream, &publisher).await;
        }
    }

    fn choose_publisher(&self, upstream: &UpstreamSelector) -> Option<InstanceName> {
        let published = self.published.lock();
        upstream.choose(
            self.clock.now_ms(),
            &published.roster,
            &self.voters,
            published.leader.as_ref(),
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
            applied_revision: LogIndex(self.published.lock().table_view.revision().0),
            member: Member {
                state,
                ..self.member.clone()
            },
        }
    }

    async fn renew(&self, upstream: &mut UpstreamSelector, publisher: &InstanceName) {
        let sent_ms = self.clock.now_ms();
        match self.sync(publisher, upstream.wait_ms()).await {
            Some(SyncAnswer::NotPublisher { leader }) => {
                upstream.record_failure(self.clock.now_ms(), publisher);
                self.record_leader(upstream, leader);
                sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
            }
            Some(SyncAnswer::Superseded) => {
                error!(self.log, "superseded by another process of the same name"; "instance" => %self.member.name);
                self.published.lock().lease.revoke();
                sleep(Duration::from_millis(SUPERSEDED_RETRY_INTERVAL_MS)).await;
            }
            Some(SyncAnswer::Update(update)) => {
                upstream.record_answer(publisher);
                self.published.apply(sent_ms, update);
            }
            None => {
                warn!(self.log, "publisher silent"; "publisher" => %publisher);
                upstream.record_failure(self.clock.now_ms(), publisher);
                sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
            }
        }
    }

    async fn sync(&self, publisher: &InstanceName, wait_ms: u64) -> Option<SyncAnswer> {
        let client = self.peers.client(publisher).await.ok()?;
        let request = self.request(wait_ms);
        let answer = client
            .sync(context_with_timeout(UPSTREAM_TIMEOUT_MS), request)
            .await;
        answer
            .inspect_err(|_| self.peers.disconnect(publisher))
            .ok()
    }

    /// Stores the leader that a publisher named; a new one clears the failures, to be tried again.
    fn record_leader(&self, upstream: &mut UpstreamSelector, leader: Option<InstanceName>) {
        let mut published = self.published.lock();
        if leader.is_some() && published.leader != leader {
            upstream.clear_failures();
            published.leader = leader;
        }
    }

    fn request(&self, wait_ms: u64) -> SyncRequest {
        let own = self.heartbeat();
        let mut heartbeats = self.state_publisher.heartbeats();
        heartbeats.retain(|heartbeat| heartbeat.member.name != own.member.name);
        heartbeats.insert(0, own);
        let published = self.published.lock();
        SyncRequest {
            assignments_index: published.assignments.applied_index(),
            heartbeats,
            roster_epoch: published.roster.epoch(),
            roster_version: published.roster.version(),
            table_revision: LogIndex(published.table_view.revision().0),
            unowned_shards: published.unowned_shards.clone(),
            wait_ms,
        }
    }

    async fn wait_as_leader(&self) {
        let mut changes = self.published.changes();
        let interval = Duration::from_millis(LEADER_ROUND_INTERVAL_MS);
        // The wait ends at a change or with the interval.
        let _ = timeout(interval, changes.changed()).await;
    }
}
