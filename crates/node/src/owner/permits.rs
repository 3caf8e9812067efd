//! Requests for permits, and grants, reports and ends of permits.

use dispatch::{Demand, Event, ModelIndex, PermitEnd, RegionIndex, ReportedPermit};
use names::{EndpointId, InstanceName, PermitId, RequestId};
use protocol::{
    AcquireAnswer, AcquireRequest, PermitKey, PermitProgress, ProgressAnswer, ProgressReport,
    RunningPermit,
};

use super::actor::{MICROSECONDS_PER_MILLISECOND, ShardOwner};
use super::granted_permits::{GrantedPermit, Requester};
use super::messages::Acquire;

impl ShardOwner {
    pub(super) fn acquire(&mut self, acquire: Acquire) -> Option<RequestId> {
        let Acquire { answer, request } = acquire;
        if !self.is_owner() || request.epoch != self.ownership.epoch {
            // The requester may no longer wait for an answer.
            let _ = answer.send(AcquireAnswer::NotOwner);
            return None;
        }
        let demand = self.demand(&request);
        self.last_request.0 += 1;
        let number = self.last_request;
        let requester = Requester {
            instance: request.instance,
        };
        self.granted_permits
            .record_contact(self.clock.now_ms(), &requester.instance);
        self.waiting_requests.push(number, requester, answer);
        self.handle_event(Event::RequestArrived {
            demand: &demand,
            request: number,
        });
        Some(number)
    }

    /// Adds a running permit that an earlier owner granted.
    pub(super) fn adopt_permit(
        &mut self,
        now_ms: u64,
        instance: &InstanceName,
        running: &RunningPermit,
    ) {
        let Some(endpoint) = self.endpoint_id(running) else {
            return;
        };
        let last = self.dispatcher.permits().map(|view| view.permit).max();
        let permit = PermitId(
            last.max(self.granted_permits.last_id())
                .map_or(0, |last| last.0)
                + 1,
        );
        self.last_request.0 += 1;
        let reported = ReportedPermit {
            demand: Demand {
                customer: self.row_limits.customer_index(&running.customer),
                deadline_us: self.clock.now_us(),
                kind: self.row_limits.kind_index(&running.kind),
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
        self.dispatcher
            .adopt_permits(self.clock.now_us(), &[reported]);
        self.granted_permits.insert(GrantedPermit {
            granted_ms: now_ms,
            instance: instance.clone(),
            key: running.permit,
            permit,
            request: self.last_request,
            revoked: false,
        });
    }

    /// Applies the list of all running permits of an instance; returns the unknown ones.
    fn apply_progress(
        &mut self,
        now_ms: u64,
        instance: &InstanceName,
        running: &[PermitProgress],
    ) -> Vec<PermitKey> {
        let mut unknown = Vec::new();
        for progress in running {
            match self.granted_permits.id_by_key(progress.permit) {
                Some(permit) => self.handle_event(Event::GenerationProgressed {
                    generated_tokens: progress.generated_tokens,
                    permit,
                }),
                None => unknown.push(progress.permit),
            }
        }
        self.end_unconfirmed_permits(now_ms, instance, running);
        unknown
    }

    pub(super) fn apply_report(&mut self, report: &ProgressReport) -> ProgressAnswer {
        if !self.is_owner() || report.epoch != self.ownership.epoch {
            return ProgressAnswer::NotOwner;
        }
        let now_ms = self.clock.now_ms();
        self.granted_permits
            .record_contact(now_ms, &report.instance);
        for ended in &report.ended {
            if let Some(permit) = self.granted_permits.id_by_key(ended.permit) {
                self.granted_permits.remove(permit);
                self.end_permit(permit, ended.end, ended.generated_tokens);
            }
        }
        for requested in &report.requested {
            if self.granted_permits.id_by_key(requested.permit).is_none() {
                self.adopt_permit(now_ms, &report.instance, requested);
            }
        }
        let unknown = match &report.running {
            Some(running) => self.apply_progress(now_ms, &report.instance, running),
            None => Vec::new(),
        };
        ProgressAnswer::Accepted {
            revoked: self.granted_permits.revoked(&report.instance),
            unknown,
        }
    }

    pub(super) fn demand(&mut self, request: &AcquireRequest) -> Demand {
        Demand {
            customer: self.row_limits.customer_index(&request.customer),
            deadline_us: self.clock.now_us() + request.wait_ms * MICROSECONDS_PER_MILLISECOND,
            kind: self.row_limits.kind_index(&request.kind),
            max_tokens: request.max_tokens,
            model: ModelIndex(0),
            prefix_hashes: request.prefix_hashes.clone(),
            prompt_tokens: request.prompt_tokens,
            region: RegionIndex(self.regions.index(&request.region)),
            urgent: request.urgent,
        }
    }

    pub(super) fn end_permit(&mut self, permit: PermitId, end: PermitEnd, generated_tokens: u32) {
        self.handle_event(Event::PermitEnded {
            end,
            generated_tokens,
            permit,
        });
    }

    /// Ends permits whose grant never reached the instance that requested them.
    fn end_unconfirmed_permits(
        &mut self,
        now_ms: u64,
        instance: &InstanceName,
        running: &[PermitProgress],
    ) {
        let mut reported: Vec<PermitKey> = running.iter().map(|progress| progress.permit).collect();
        reported.sort_unstable();
        for permit in self
            .granted_permits
            .list_unconfirmed(now_ms, instance, &reported)
        {
            self.granted_permits.remove(permit);
            self.end_permit(permit, PermitEnd::Cancelled, 0);
        }
    }

    pub(super) fn grant(
        &mut self,
        id: EndpointId,
        permit: PermitId,
        priority: i32,
        number: RequestId,
    ) {
        let waiting = self.waiting_requests.remove(number);
        let endpoint = self.endpoints.get(id);
        let (Some(waiting), Some(endpoint), true) = (waiting, endpoint, self.is_owner()) else {
            self.end_permit(permit, PermitEnd::Cancelled, 0);
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
            self.end_permit(permit, PermitEnd::Cancelled, 0);
            return;
        }
        self.granted_permits.insert(GrantedPermit {
            granted_ms: self.clock.now_ms(),
            instance: waiting.requester.instance,
            key: PermitKey {
                epoch: self.ownership.epoch,
                permit,
            },
            permit,
            request: number,
            revoked: false,
        });
    }

    pub(super) fn refuse(&mut self, number: RequestId, answer: AcquireAnswer) {
        if let Some(waiting) = self.waiting_requests.remove(number) {
            // The requester may no longer wait for an answer.
            let _ = waiting.answer.send(answer);
        }
    }

    /// Removes the permits that the dispatcher has ended.
    pub(super) fn remove_ended_permits(&mut self) {
        let mut live: Vec<PermitId> = self.dispatcher.permits().map(|view| view.permit).collect();
        live.sort_unstable();
        self.granted_permits
            .retain(|permit| live.binary_search(&permit).is_ok());
    }

    /// Revokes a permit; the instance that holds it requests a new one.
    pub(super) fn revoke(&mut self, permit: PermitId) {
        if let Some(request) = self.granted_permits.mark_revoked(permit) {
            self.handle_event(Event::RequestWithdrawn { request });
        }
    }
}
