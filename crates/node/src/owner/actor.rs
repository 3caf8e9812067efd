use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use dispatch::{Action, Dispatcher, Event, PermitEnd, Policy, Settings};
use names::{Epoch, InstanceName, RegionName, RequestId};
use protocol::{AcquireAnswer, AnnounceAnswer, EndpointReport, ProgressAnswer};
use session::{Endpoints, Predecessor, Shard};
use slog::{Logger, info};
use tokio::sync::watch;
use xtra::{Context, Handler};

use super::granted_permits::GrantedPermits;
use super::messages::{
    Acquire, Announce, ListEndpoints, ReportProgress, StateChanged, Wake, WithdrawRequest,
};
use super::row_limits::RowLimitsSource;
use super::waiting_requests::WaitingRequests;
use crate::clock::{Clock, unix_ms};
use crate::interner::Interner;
use crate::intervals::PERMIT_ADOPTION_MS;
use crate::published_state::PublishedState;

/// Longest time between two checks of leases.
const WAKE_INTERVAL_MS_MAX: u64 = 100;

pub(super) const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;

/// Shard and epoch that an actor owns, and the instance that runs it.
#[derive(Debug, Clone)]
pub(crate) struct Ownership {
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
    /// Set when the instance drains and must not grant any more.
    pub(super) draining: Arc<AtomicBool>,
    pub(super) endpoints: Endpoints,
    pub(super) granted_permits: GrantedPermits,
    pub(super) last_request: RequestId,
    pub(super) log: Logger,
    pub(super) ownership: Ownership,
    pub(super) published: Arc<PublishedState>,
    pub(super) regions: Interner<RegionName>,
    pub(super) row_limits: RowLimitsSource,
    pub(super) waiting_requests: WaitingRequests,
    pub(super) wake_time_us: watch::Sender<u64>,
}

impl ShardOwner {
    pub(super) fn new(
        ownership: Ownership,
        published: &Arc<PublishedState>,
        draining: &Arc<AtomicBool>,
        clock: Clock,
        log: &Logger,
        wake_time_us: watch::Sender<u64>,
    ) -> Self {
        let mut dispatcher = Dispatcher::new(Settings::default(), ownership.epoch.0);
        let wait_ms = match ownership.predecessor {
            Predecessor::None => 0,
            Predecessor::Lapsed => PERMIT_ADOPTION_MS,
            Predecessor::Live => session::CONFIGURATION_LEASE_MS + PERMIT_ADOPTION_MS,
        };
        dispatcher.delay_grants_until(clock.now_us() + wait_ms * MICROSECONDS_PER_MILLISECOND);
        info!(log, "shard owned"; "shard" => %ownership.shard, "epoch" => ownership.epoch.0);
        let mut owner = Self {
            actions: Vec::new(),
            clock,
            dispatcher,
            draining: Arc::clone(draining),
            endpoints: Endpoints::default(),
            granted_permits: GrantedPermits::default(),
            last_request: RequestId(0),
            log: log.clone(),
            ownership,
            published: Arc::clone(published),
            regions: Interner::new(),
            row_limits: RowLimitsSource::new(),
            waiting_requests: WaitingRequests::default(),
            wake_time_us,
        };
        owner.apply_row_changes();
        owner.schedule_wake();
        owner
    }

    pub(super) fn handle_event(&mut self, event: Event<'_>) {
        let now_us = self.clock.now_us();
        self.dispatcher.handle(now_us, event, &mut self.actions);
        self.execute_actions();
    }

    pub(super) fn execute_actions(&mut self) {
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

    pub(super) fn expire_leases(&mut self) {
        let now_ms = self.clock.now_ms();
        for event in self.endpoints.expire(now_ms) {
            self.handle_endpoint_event(event);
        }
        for permit in self.granted_permits.remove_lapsed(now_ms) {
            self.end_permit(permit, PermitEnd::Failed, 0);
        }
        let due_limits = self
            .published
            .with_table(|items| self.row_limits.limits_of_due_windows(unix_ms(), items));
        if !due_limits.is_empty() {
            self.handle_event(Event::LimitsChanged {
                limits: &due_limits,
            });
        }
    }

    pub(super) fn is_owner(&self) -> bool {
        let Ownership {
            incarnation,
            instance,
            shard,
            ..
        } = &self.ownership;
        !self.draining.load(Ordering::SeqCst) && self.published.owns(shard, instance, *incarnation)
    }

    pub(super) fn schedule_wake(&self) {
        let wake_us_max = self.clock.now_us() + WAKE_INTERVAL_MS_MAX * MICROSECONDS_PER_MILLISECOND;
        let wake_us = self
            .dispatcher
            .next_tick_us()
            .map_or(wake_us_max, |tick_us| tick_us.min(wake_us_max));
        self.wake_time_us.send_replace(wake_us);
    }

    pub(super) fn apply_row_changes(&mut self) {
        let (publication, revision) = self.published.table_since(self.row_limits.revision);
        let Some(publication) = publication else {
            return;
        };
        self.row_limits.revision = revision;
        let limits = self.published.with_table(|items| {
            self.row_limits
                .limits_of_changed_rows(unix_ms(), items, &publication)
        });
        self.handle_event(Event::LimitsChanged { limits: &limits });
    }
}

impl Handler<Acquire> for ShardOwner {
    type Return = Option<RequestId>;

    async fn handle(&mut self, message: Acquire, _: &mut Context<Self>) -> Self::Return {
        let request = self.acquire(message);
        self.schedule_wake();
        request
    }
}

impl Handler<Announce> for ShardOwner {
    type Return = AnnounceAnswer;

    async fn handle(&mut self, message: Announce, _: &mut Context<Self>) -> Self::Return {
        let answer = self.announce(&message);
        self.schedule_wake();
        answer
    }
}

impl Handler<ListEndpoints> for ShardOwner {
    type Return = Vec<EndpointReport>;

    async fn handle(&mut self, _: ListEndpoints, _: &mut Context<Self>) -> Self::Return {
        self.endpoint_reports()
    }
}

impl Handler<ReportProgress> for ShardOwner {
    type Return = ProgressAnswer;

    async fn handle(&mut self, message: ReportProgress, _: &mut Context<Self>) -> Self::Return {
        let answer = self.apply_report(&message.0);
        self.schedule_wake();
        answer
    }
}

impl Handler<StateChanged> for ShardOwner {
    type Return = ();

    async fn handle(&mut self, _: StateChanged, context: &mut Context<Self>) {
        let assignment = self.published.assignment(&self.ownership.shard);
        if assignment.is_none_or(|assignment| assignment.epoch != self.ownership.epoch) {
            info!(self.log, "shard lost"; "shard" => %self.ownership.shard, "epoch" => self.ownership.epoch.0);
            context.stop_self();
            return;
        }
        self.apply_row_changes();
        self.schedule_wake();
    }
}

impl Handler<Wake> for ShardOwner {
    type Return = ();

    async fn handle(&mut self, _: Wake, _: &mut Context<Self>) {
        self.expire_leases();
        self.handle_event(Event::Tick);
        self.schedule_wake();
    }
}

impl Handler<WithdrawRequest> for ShardOwner {
    type Return = ();

    async fn handle(&mut self, message: WithdrawRequest, _: &mut Context<Self>) {
        let WithdrawRequest { request } = message;
        if self.waiting_requests.remove(request).is_some() {
            self.handle_event(Event::RequestWithdrawn { request });
            self.schedule_wake();
        }
    }
}
