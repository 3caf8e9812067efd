use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dispatch::{
    Action, Demand, Dispatcher, End, Event, HeldPermit, ModelIndex, Policy, Profile, RegionIndex,
    Report, Settings,
};
use names::{EndpointId, Epoch, InstanceName, PermitId, RegionName, RequestId};
use protocol::{
    AcquireAnswer, AcquireRequest, AnnounceAnswer, EndpointReport, PermitKey, ProgressAnswer,
    ProgressReport, RunningPermit,
};
use session::{
    Announcement, ENDPOINT_LEASE_MS, EndpointEvent, Endpoints, LoadReport, Offer, Predecessor,
    Shard,
};
use slog::{Logger, info};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use xtra::{Address, Context, Handler, Mailbox, WeakAddress};

use super::holders::{Asker, Holder, Holders};
use super::limits::Rows;
use super::messages::{Acquire, Announce, Overview, Progress, Published, Wake, Withdraw};
use super::waiting::Waiting;
use crate::clock::{Clock, unix_ms};
use crate::holdings::Holdings;
use crate::interner::Interner;
use crate::interval::ADOPTION_MS;

/// Longest time between two looks at leases.
const WAKE_MS_MAX: u64 = 100;

const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;

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
    actions: Vec<Action>,
    clock: Clock,
    dispatcher: Dispatcher,
    /// Set when the instance must not grant any more.
    draining: Arc<AtomicBool>,
    endpoints: Endpoints,
    holders: Holders,
    holdings: Arc<Holdings>,
    identity: Identity,
    last_request: RequestId,
    log: Logger,
    regions: Interner<RegionName>,
    rows: Rows,
    waiting: Waiting,
    wake: watch::Sender<u64>,
}

/// Starts the owner of a shard.
pub(crate) fn spawn(
    identity: Identity,
    holdings: &Arc<Holdings>,
    draining: &Arc<AtomicBool>,
    clock: Clock,
    log: &Logger,
) -> Address<ShardOwner> {
    let (address, mailbox) = Mailbox::unbounded();
    let (wake, wakes) = watch::channel(0);
    let owner = ShardOwner::new(identity, holdings, draining, clock, log, wake);
    tokio::spawn(xtra::run(mailbox, owner));
    tokio::spawn(run_timer(address.downgrade(), clock, wakes));
    tokio::spawn(follow(address.downgrade(), Arc::clone(holdings)));
    address
}

/// Tells the owner of every change of the published state.
async fn follow(owner: WeakAddress<ShardOwner>, holdings: Arc<Holdings>) {
    let mut changes = holdings.changes();
    while changes.changed().await.is_ok() {
        if owner.send(Published).await.is_err() {
            return;
        }
    }
}

/// Wakes the owner when it asked for it, and at least every `WAKE_MS_MAX`.
async fn run_timer(owner: WeakAddress<ShardOwner>, clock: Clock, mut wakes: watch::Receiver<u64>) {
    loop {
        let wake_us = *wakes.borrow_and_update();
        let left_us = wake_us.saturating_sub(clock.now_us());
        let changed = timeout(Duration::from_micros(left_us), wakes.changed()).await;
        match changed {
            Ok(Ok(())) => continue,
            Ok(Err(_)) => return,
            Err(_) => {}
        }
        if owner.send(Wake).await.is_err() {
            return;
        }
        // An owner that asks for a time in the past must not keep the timer spinning.
        sleep(Duration::from_millis(1)).await;
    }
}

impl ShardOwner {
    fn new(
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
        dispatcher.hold_until(clock.now_us() + wait_ms * MICROSECONDS_PER_MILLISECOND);
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

    fn acquire(&mut self, acquire: Acquire) -> Option<RequestId> {
        let Acquire { answer, request } = acquire;
        if !self.is_owner() || request.epoch != self.identity.epoch {
            // The asker may be gone already.
            let _ = answer.send(AcquireAnswer::NotOwner);
            return None;
        }
        let demand = self.demand(&request);
        self.last_request.0 += 1;
        let number = self.last_request;
        let asker = Asker {
            instance: request.instance,
        };
        self.holders.heard(self.clock.now_ms(), &asker.instance);
        self.waiting.push(number, asker, answer);
        self.decide(Event::Requested {
            demand: &demand,
            request: number,
        });
        Some(number)
    }

    fn adopt(&mut self, now_ms: u64, instance: &InstanceName, running: &RunningPermit) {
        let Some(endpoint) = self.endpoint_id(running) else {
            return;
        };
        let last = self.dispatcher.permits().map(|view| view.permit).max();
        let permit = PermitId(last.max(self.holders.last()).map_or(0, |last| last.0) + 1);
        self.last_request.0 += 1;
        let held = HeldPermit {
            demand: Demand {
                customer: self.rows.customer(&running.customer),
                deadline_us: self.clock.now_us(),
                kind: self.rows.kind(&running.kind),
                max_tokens: running.max_tokens,
                model: ModelIndex(0),
                prefix_hashes: Vec::new(),
                prompt_tokens: running.prompt_tokens,
                region: RegionIndex(0),
                urgent: false,
            },
            endpoint,
            generated_tokens: running.generated_tokens,
            permit,
            request: self.last_request,
        };
        self.dispatcher.adopt(self.clock.now_us(), &[held]);
        self.holders.insert(Holder {
            granted_ms: now_ms,
            instance: instance.clone(),
            key: running.permit,
            permit,
            request: self.last_request,
            revoked: false,
        });
    }

    fn announce(&mut self, announce: &Announce) -> AnnounceAnswer {
        if !self.is_owner() {
            return AnnounceAnswer::NotOwner;
        }
        let now_ms = self.clock.now_ms();
        let Announce {
            announcement,
            endpoint,
        } = announce;
        let Ok(events) = self.endpoints.announce(now_ms, endpoint, announcement) else {
            return AnnounceAnswer::Outdated;
        };
        for event in events {
            self.endpoint_event(event);
        }
        self.report_load(announce);
        AnnounceAnswer::Held {
            lease_ms: ENDPOINT_LEASE_MS,
        }
    }

    fn decide(&mut self, event: Event<'_>) {
        let now_us = self.clock.now_us();
        self.dispatcher.handle(now_us, event, &mut self.actions);
        self.carry_out();
    }

    fn carry_out(&mut self) {
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

    fn demand(&mut self, request: &AcquireRequest) -> Demand {
        Demand {
            customer: self.rows.customer(&request.customer),
            deadline_us: self.clock.now_us() + request.wait_ms * MICROSECONDS_PER_MILLISECOND,
            kind: self.rows.kind(&request.kind),
            max_tokens: request.max_tokens,
            model: ModelIndex(0),
            prefix_hashes: request.prefix_hashes.clone(),
            prompt_tokens: request.prompt_tokens,
            region: RegionIndex(self.regions.number(&request.region)),
            urgent: request.urgent,
        }
    }

    fn endpoint_event(&mut self, event: EndpointEvent) {
        match event {
            EndpointEvent::Announced(endpoint) => {
                let Some(profile) = self.profile(endpoint) else {
                    return;
                };
                self.decide(Event::Announced {
                    endpoint,
                    profile: &profile,
                });
            }
            EndpointEvent::Lapsed(endpoint) => {
                info!(self.log, "endpoint lapsed"; "shard" => %self.identity.shard, "endpoint" => endpoint.0);
                self.decide(Event::Lapsed { endpoint });
                self.forget_ended();
            }
            EndpointEvent::Leaving(endpoint) => self.decide(Event::Leaving { endpoint }),
        }
    }

    fn endpoint_id(&self, running: &RunningPermit) -> Option<EndpointId> {
        self.endpoints
            .iter()
            .find(|endpoint| endpoint.name == running.endpoint)
            .map(|endpoint| endpoint.id)
    }

    fn expire(&mut self) {
        let now_ms = self.clock.now_ms();
        for event in self.endpoints.expire(now_ms) {
            self.endpoint_event(event);
        }
        for permit in self.holders.lapse(now_ms) {
            self.finish(permit, End::Failed, 0);
        }
        let turned = self
            .holdings
            .table(|items| self.rows.turned(unix_ms(), items));
        if !turned.is_empty() {
            self.decide(Event::Limits { limits: &turned });
        }
    }

    fn finish(&mut self, permit: PermitId, end: End, generated_tokens: u32) {
        self.decide(Event::Finished {
            end,
            generated_tokens,
            permit,
        });
    }

    fn forget_ended(&mut self) {
        let mut live: Vec<PermitId> = self.dispatcher.permits().map(|view| view.permit).collect();
        live.sort_unstable();
        self.holders
            .retain(|permit| live.binary_search(&permit).is_ok());
    }

    fn grant(&mut self, id: EndpointId, permit: PermitId, priority: i32, number: RequestId) {
        let waiting = self.waiting.remove(number);
        let endpoint = self.endpoints.get(id);
        let (Some(waiting), Some(endpoint), true) = (waiting, endpoint, self.is_owner()) else {
            self.finish(permit, End::Cancelled, 0);
            return;
        };
        let granted = AcquireAnswer::Granted {
            address: endpoint.announcement.address,
            endpoint: endpoint.name.clone(),
            permit,
            priority,
            region: endpoint.announcement.region.clone(),
        };
        if waiting.answer.send(granted).is_err() {
            self.finish(permit, End::Cancelled, 0);
            return;
        }
        self.holders.insert(Holder {
            granted_ms: self.clock.now_ms(),
            instance: waiting.asker.instance,
            key: PermitKey {
                epoch: self.identity.epoch,
                permit,
            },
            permit,
            request: number,
            revoked: false,
        });
    }

    fn is_owner(&self) -> bool {
        let Identity {
            incarnation,
            instance,
            shard,
            ..
        } = &self.identity;
        !self.draining.load(Ordering::SeqCst) && self.holdings.owns(shard, instance, *incarnation)
    }

    fn profile(&mut self, id: EndpointId) -> Option<Profile> {
        let announcement = &self.endpoints.get(id)?.announcement;
        let region = RegionIndex(self.regions.number(&announcement.region));
        Some(profile(&announcement.offer, region))
    }

    fn progress(&mut self, report: &ProgressReport) -> ProgressAnswer {
        if !self.is_owner() || report.epoch != self.identity.epoch {
            return ProgressAnswer::NotOwner;
        }
        let now_ms = self.clock.now_ms();
        self.holders.heard(now_ms, &report.instance);
        for ended in &report.ended {
            if let Some(permit) = self.holders.by_key(ended.permit) {
                self.holders.remove(permit);
                self.finish(permit, ended.end, ended.generated_tokens);
            }
        }
        for running in &report.running {
            match self.holders.by_key(running.permit) {
                Some(permit) => self.decide(Event::Progressed {
                    generated_tokens: running.generated_tokens,
                    permit,
                }),
                None => self.adopt(now_ms, &report.instance, running),
            }
        }
        self.finish_unconfirmed(now_ms, report);
        ProgressAnswer::Taken {
            revoked: self.holders.revoked(&report.instance),
        }
    }

    /// Ends permits whose grant never reached the instance that asked.
    fn finish_unconfirmed(&mut self, now_ms: u64, report: &ProgressReport) {
        let named: Vec<PermitKey> = report
            .running
            .iter()
            .map(|running| running.permit)
            .collect();
        let unconfirmed = self.holders.unconfirmed(now_ms, &report.instance, &named);
        for permit in unconfirmed {
            self.holders.remove(permit);
            self.finish(permit, End::Cancelled, 0);
        }
    }

    fn refuse(&mut self, number: RequestId, answer: AcquireAnswer) {
        if let Some(waiting) = self.waiting.remove(number) {
            // An asker that is gone needs no answer.
            let _ = waiting.answer.send(answer);
        }
    }

    fn report_load(&mut self, announce: &Announce) {
        let Announcement { cache, report, .. } = &announce.announcement;
        let id = self
            .endpoints
            .iter()
            .find(|endpoint| endpoint.name == announce.endpoint)
            .map(|endpoint| endpoint.id);
        let Some(endpoint) = id else {
            return;
        };
        if let Some(load) = report {
            self.decide(Event::Reported {
                age_us: load.age_ms * MICROSECONDS_PER_MILLISECOND,
                endpoint,
                report: &load_of(load),
            });
        }
        if let Some(news) = cache {
            self.decide(Event::Cached {
                endpoint,
                hashes: &hashes(&news.added),
            });
            self.decide(Event::Evicted {
                endpoint,
                hashes: &hashes(&news.evicted),
            });
        }
    }

    /// Takes back a permit; its request is asked for again by the instance that held it.
    fn revoke(&mut self, permit: PermitId) {
        if let Some(request) = self.holders.revoke(permit) {
            self.decide(Event::Withdrawn { request });
        }
    }

    fn schedule(&self) {
        let latest_us = self.clock.now_us() + WAKE_MS_MAX * MICROSECONDS_PER_MILLISECOND;
        let wake_us = self
            .dispatcher
            .wake_us()
            .map_or(latest_us, |us| us.min(latest_us));
        self.wake.send_replace(wake_us);
    }

    fn take_rows(&mut self) {
        let (publication, revision) = self.holdings.table_since(self.rows.revision);
        let Some(publication) = publication else {
            return;
        };
        self.rows.revision = revision;
        let limits = self
            .holdings
            .table(|items| self.rows.changed(unix_ms(), items, &publication));
        self.decide(Event::Limits { limits: &limits });
    }

    fn reports(&self) -> Vec<EndpointReport> {
        let now_ms = self.clock.now_ms();
        self.endpoints
            .iter()
            .map(|endpoint| EndpointReport {
                age_ms: now_ms.saturating_sub(endpoint.heard_ms),
                announcement: Announcement {
                    cache: None,
                    ..endpoint.announcement.clone()
                },
                endpoint: endpoint.name.clone(),
                shard: self.identity.shard.clone(),
            })
            .collect()
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
            self.decide(Event::Withdrawn { request });
            self.schedule();
        }
    }
}

fn hashes(texts: &[String]) -> Vec<u64> {
    const HEXADECIMAL: u32 = 16;
    texts
        .iter()
        .filter_map(|text| u64::from_str_radix(text, HEXADECIMAL).ok())
        .collect()
}

fn load_of(report: &LoadReport) -> Report {
    Report {
        memory_used_tokens: report.memory_used_tokens,
        preemptions: report.preemptions,
        running: report.running,
        token_interval_us: report.token_interval_us,
        waiting: report.waiting,
    }
}

fn profile(offer: &Offer, region: RegionIndex) -> Profile {
    match offer {
        Offer::Engine(engine) => Profile {
            block_tokens: engine.block_tokens,
            memory_tokens: engine.memory_tokens,
            model: ModelIndex(0),
            region,
            sequences_max: engine.sequences_max,
        },
        Offer::Service(service) => Profile {
            block_tokens: 0,
            memory_tokens: u64::MAX,
            model: ModelIndex(0),
            region,
            sequences_max: service.calls_max,
        },
    }
}
