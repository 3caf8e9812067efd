use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use dispatch::{Action, Dispatcher, Event, PermitEnd, Policy, Settings};
use names::{Epoch, InstanceName, RegionName, RequestId};
use protocol::{AcquireAnswer, AnnounceAnswer, EndpointReport, ProgressAnswer};
use session::{Endpoints, Predecessor, Shard};
use slog::{Logger, info};
use tokio::sync::watch;
use xtra::{Context, Handler};

use super::holders::Holders;
use super::limits::Rows;
use super::messages::{Acquire, Announce, Overview, Progress, Published, Wake, Withdraw};
use super::waiting::Waiting;
use crate::clock::{Clock, unix_ms};
use crate::holdings::Holdings;
use crate::interner::Interner;
use crate::interval::ADOPTION_MS;

/// Longest time between two looks at leases.
const WAKE_MS_MAX: u64 = 100;

pub(super) const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;

/// Which ownership an actor hosts.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) epoch: Epoch,
    pub(crate) incarnation: names::Incarnation,
    pub(crate) instance: InstanceName,
    pub(crate) predecessor: Predecessor,
    pub(crate) shard: Shard,
}

/// Owner of one shard under one epoch.
#[derive(Debug, xtra::Actor)]
pub(crate) struct ShardOwner {
    pub(super) actions: Vec<Action>,
    pub(super) clock: Clock,
    pub(super) dispatcher: Dispatcher,
    /// Set when the instance must not grant any more.
    pub(super) draining: Arc<AtomicBool>,
    pub(super) endpoints: Endpoints,
    pub(super) holders: Holders,
    pub(super) holdings: Arc<Holdings>,
    pub(super) identity: Identity,
    pub(super) last_request: RequestId,
    pub(super) log: Logger,
    pub(super) regions: Interner<RegionName>,
    pub(super) rows: Rows,
    pub(super) waiting: Waiting,
    pub(super) wake: watch::Sender<u64>,
}

impl ShardOwner {
    pub(super) fn new(
        identity: Identity,
        holdings: &Arc<Holdings>,
        draining: &Arc<AtomicBool>,
        clock: Clock,
        log: &Logger,
        wake: watch::Sender<u64>,
    ) -> Self {
        let mut dispatcher = Dispatcher::new(Settings::default(), identity.epoch.0);
        let wait_ms = match identity.predecessor {
            Predecessor::None => 0,
            Predecessor::Lapsed => ADOPTION_MS,
            Predecessor::Live => session::CONFIGURATION_LEASE_MS + ADOPTION_MS,
        };
        dispatcher.delay_grants_until(clock.now_us() + wait_ms * MICROSECONDS_PER_MILLISECOND);
        info!(log, "shard owned"; "shard" => %identity.shard, "epoch" => identity.epoch.0);
        let mut owner = Self {
            actions: Vec::new(),
            clock,
            dispatcher,
            draining: Arc::clone(draining),
            endpoints: Endpoints::default(),
            holders: Holders::default(),
            holdings: Arc::clone(holdings),
            identity,
            last_request: RequestId(0),
            log: log.clone(),
            regions: Interner::new(),
            rows: Rows::new(),
            waiting: Waiting::default(),
            wake,
        };
        owner.take_rows();
        owner.schedule();
        owner
    }

    pub(super) fn decide(&mut self, event: Event<'_>) {
        let now_us = self.clock.now_us();
        self.dispatcher.handle(now_us, event, &mut self.actions);
        self.carry_out();
    }

    pub(super) fn carry_out(&mut self) {
        while let Some(action) = (!self.actions.is_empty()).then(|| self.actions.remove(0)) {
            match action {
                Action::Cancel { permit } => self.revoke(permit),
                Action::Grant {
                    endpoint,
                    permit,
                    priority,
                    request,
                } => self.grant(endpoint, permit, priority, request),
                Action::Refuse {
                    reason,
                    request,
                    retry_after_ms,
                } => self.refuse(
                    request,
                    AcquireAnswer::Refused {
                        reason,
                        retry_after_ms,
                    },
                ),
            }
        }
    }

    pub(super) fn expire(&mut self) {
        let now_ms = self.clock.now_ms();
        for event in self.endpoints.expire(now_ms) {
            self.endpoint_event(event);
        }
        for permit in self.holders.lapse(now_ms) {
            self.finish(permit, PermitEnd::Failed, 0);
        }
        let turned = self
            .holdings
            .table(|items| self.rows.turned(unix_ms(), items));
        if !turned.is_empty() {
            self.decide(Event::LimitsChanged { limits: &turned });
        }
    }

    pub(super) fn is_owner(&self) -> bool {
        let Identity {
            incarnation,
            instance,
            shard,
            ..
        } = &self.identity;
        !self.draining.load(Ordering::SeqCst) && self.holdings.owns(shard, instance, *incarnation)
    }

    pub(super) fn schedule(&self) {
        let latest_us = self.clock.now_us() + WAKE_MS_MAX * MICROSECONDS_PER_MILLISECOND;
        let wake_us = self
            .dispatcher
            .next_tick_us()
            .map_or(latest_us, |us| us.min(latest_us));
        self.wake.send_replace(wake_us);
    }

    pub(super) fn take_rows(&mut self) {
        let (publication, revision) = self.holdings.table_since(self.rows.revision);
        let Some(publication) = publication else {
            return;
        };
        self.rows.revision = revision;
        let limits = self
            .holdings
            .table(|items| self.rows.changed(unix_ms(), items, &publication));
        self.decide(Event::LimitsChanged { limits: &limits });
    }
}

impl Handler<Acquire> for ShardOwner {
    type Return = Option<RequestId>;

    async fn handle(&mut self, message: Acquire, _: &mut Context<Self>) -> Self::Return {
        let request = self.acquire(message);
        self.schedule();
        request
    }
}

impl Handler<Announce> for ShardOwner {
    type Return = AnnounceAnswer;

    async fn handle(&mut self, message: Announce, _: &mut Context<Self>) -> Self::Return {
        let answer = self.announce(&message);
        self.schedule();
        answer
    }
}

impl Handler<Overview> for ShardOwner {
    type Return = Vec<EndpointReport>;

    async fn handle(&mut self, _: Overview, _: &mut Context<Self>) -> Self::Return {
        self.reports()
    }
}

impl Handler<Progress> for ShardOwner {
    type Return = ProgressAnswer;

    async fn handle(&mut self, message: Progress, _: &mut Context<Self>) -> Self::Return {
        let answer = self.progress(&message.0);
        self.schedule();
        answer
    }
}

impl Handler<Published> for ShardOwner {
    type Return = ();

    async fn handle(&mut self, _: Published, context: &mut Context<Self>) {
        let assigned = self.holdings.assignment(&self.identity.shard);
        if assigned.is_none_or(|assigned| assigned.epoch != self.identity.epoch) {
            info!(self.log, "shard lost"; "shard" => %self.identity.shard, "epoch" => self.identity.epoch.0);
            context.stop_self();
            return;
        }
        self.take_rows();
        self.schedule();
    }
}

impl Handler<Wake> for ShardOwner {
    type Return = ();

    async fn handle(&mut self, _: Wake, _: &mut Context<Self>) {
        self.expire();
        self.decide(Event::Tick);
        self.schedule();
    }
}

impl Handler<Withdraw> for ShardOwner {
    type Return = ();

    async fn handle(&mut self, message: Withdraw, _: &mut Context<Self>) {
        let Withdraw { request } = message;
        if self.waiting.remove(request).is_some() {
            self.decide(Event::RequestWithdrawn { request });
            self.schedule();
        }
    }
}
