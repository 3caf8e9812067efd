//! Requests for permits, and the lives of permits.

use dispatch::{Demand, Event, ModelIndex, PermitEnd, RegionIndex, ReportedPermit};
use names::{EndpointId, InstanceName, PermitId, RequestId};
use protocol::{
    AcquireAnswer, AcquireRequest, PermitKey, PermitProgress, ProgressAnswer, ProgressReport,
    RunningPermit,
};

use super::actor::{MICROSECONDS_PER_MILLISECOND, ShardOwner};
use super::holders::{Asker, Holder};
use super::messages::Acquire;

impl ShardOwner {
    pub(super) fn acquire(&mut self, acquire: Acquire) -> Option<RequestId> {
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
        self.decide(Event::RequestArrived {
            demand: &demand,
            request: number,
        });
        Some(number)
    }

    pub(super) fn adopt(&mut self, now_ms: u64, instance: &InstanceName, running: &RunningPermit) {
        let Some(endpoint) = self.endpoint_id(running) else {
            return;
        };
        let last = self.dispatcher.permits().map(|view| view.permit).max();
        let permit = PermitId(last.max(self.holders.last()).map_or(0, |last| last.0) + 1);
        self.last_request.0 += 1;
        let held = ReportedPermit {
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
        self.dispatcher.adopt_permits(self.clock.now_us(), &[held]);
        self.holders.insert(Holder {
            granted_ms: now_ms,
            instance: instance.clone(),
            key: running.permit,
            permit,
            request: self.last_request,
            revoked: false,
        });
    }

    pub(super) fn demand(&mut self, request: &AcquireRequest) -> Demand {
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

    pub(super) fn finish(&mut self, permit: PermitId, end: PermitEnd, generated_tokens: u32) {
        self.decide(Event::PermitEnded {
            end,
            generated_tokens,
            permit,
        });
    }

    /// Ends permits whose grant never reached the instance that asked.
    fn finish_unconfirmed(
        &mut self,
        now_ms: u64,
        instance: &InstanceName,
        running: &[PermitProgress],
    ) {
        let mut named: Vec<PermitKey> = running.iter().map(|progress| progress.permit).collect();
        named.sort_unstable();
        for permit in self.holders.unconfirmed(now_ms, instance, &named) {
            self.holders.remove(permit);
            self.finish(permit, PermitEnd::Cancelled, 0);
        }
    }

    pub(super) fn forget_ended(&mut self) {
        let mut live: Vec<PermitId> = self.dispatcher.permits().map(|view| view.permit).collect();
        live.sort_unstable();
        self.holders
            .retain(|permit| live.binary_search(&permit).is_ok());
    }

    pub(super) fn grant(
        &mut self,
        id: EndpointId,
        permit: PermitId,
        priority: i32,
        number: RequestId,
    ) {
        let waiting = self.waiting.remove(number);
        let endpoint = self.endpoints.get(id);
        let (Some(waiting), Some(endpoint), true) = (waiting, endpoint, self.is_owner()) else {
            self.finish(permit, PermitEnd::Cancelled, 0);
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
            self.finish(permit, PermitEnd::Cancelled, 0);
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

    pub(super) fn progress(&mut self, report: &ProgressReport) -> ProgressAnswer {
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
        for asked in &report.requested {
            if self.holders.by_key(asked.permit).is_none() {
                self.adopt(now_ms, &report.instance, asked);
            }
        }
        let unknown = match &report.running {
            Some(running) => self.take_progress(now_ms, &report.instance, running),
            None => Vec::new(),
        };
        ProgressAnswer::Accepted {
            revoked: self.holders.revoked(&report.instance),
            unknown,
        }
    }

    /// Takes the list of all permits that an instance uses; gives those that are not known.
    fn take_progress(
        &mut self,
        now_ms: u64,
        instance: &InstanceName,
        running: &[PermitProgress],
    ) -> Vec<PermitKey> {
        let mut unknown = Vec::new();
        for progress in running {
            match self.holders.by_key(progress.permit) {
                Some(permit) => self.decide(Event::GenerationProgressed {
                    generated_tokens: progress.generated_tokens,
                    permit,
                }),
                None => unknown.push(progress.permit),
            }
        }
        self.finish_unconfirmed(now_ms, instance, running);
        unknown
    }

    pub(super) fn refuse(&mut self, number: RequestId, answer: AcquireAnswer) {
        if let Some(waiting) = self.waiting.remove(number) {
            // An asker that is gone needs no answer.
            let _ = waiting.answer.send(answer);
        }
    }

    /// Takes back a permit; its request is asked for again by the instance that held it.
    pub(super) fn revoke(&mut self, permit: PermitId) {
        if let Some(request) = self.holders.revoke(permit) {
            self.decide(Event::RequestWithdrawn { request });
        }
    }
}
