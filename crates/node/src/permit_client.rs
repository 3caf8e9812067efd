//! Permits for the entry: finds the shards that serve a request and requests permits from their
//! owners.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use entry::dependencies::{
    Permit, PermitEnd, PermitRequest, PermitSource, Refusal, RefusalReason, Target,
};
use names::{CustomerName, EndpointName, InstanceName, KindName, RegionName};
use protocol::{AcquireAnswer, AcquireRequest, EndedPermit, PermitKey, RunningPermit};
use session::{Assignment, OfferName};
use table::RowKey;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::held_permits::HeldPermits;
use crate::published_state::PublishedState;
use crate::shard_router::ShardRouter;

/// Time without an answer of any owner after which a request is refused.
const OWNER_WAIT_MS: u64 = 3_000;

/// Time between two attempts to reach an owner.
const OWNER_RETRY_INTERVAL_MS: u64 = 100;

/// Retry delay for a client that was refused because no owner answered.
const OWNER_RETRY_AFTER_MS: u64 = 2_000;

/// Requests permits from the owners of shards.
pub(crate) struct PermitClient {
    pub(crate) held_permits: Arc<HeldPermits>,
    pub(crate) instance: InstanceName,
    pub(crate) published: Arc<PublishedState>,
    pub(crate) region: RegionName,
    pub(crate) shard_router: Arc<ShardRouter>,
}

/// A permit granted to this instance; dropping it ends it as cancelled.
struct HeldPermit {
    address: SocketAddr,
    endpoint: EndpointName,
    held_permits: Arc<HeldPermits>,
    is_ended: bool,
    key: PermitKey,
    priority: i32,
    progress: Arc<AtomicU32>,
    region: RegionName,
    revoked: CancellationToken,
    shard: session::Shard,
}

/// Result of requesting a permit from each shard once.
enum RoundResult {
    /// One owner granted a permit.
    Granted(Box<dyn Permit>),
    /// No owner answered.
    NoOwner,
    /// Every owner that answered refused.
    Refused(Refusal),
}

#[async_trait]
impl PermitSource for PermitClient {
    async fn acquire(&self, request: &PermitRequest) -> Result<Box<dyn Permit>, Refusal> {
        if !self.is_permitted(&request.customer, &request.kind, &request.target) {
            return Err(refusal(RefusalReason::UnknownRow, 0));
        }
        let deadline = Instant::now() + Duration::from_millis(request.timeout_ms);
        let owner_deadline = deadline.min(Instant::now() + Duration::from_millis(OWNER_WAIT_MS));
        loop {
            let shards = self.shards(&request.target);
            if shards.is_empty() {
                return Err(refusal(RefusalReason::NoEndpoint, OWNER_RETRY_AFTER_MS));
            }
            match self.request_from_shards(&shards, request, deadline).await {
                RoundResult::Granted(permit) => return Ok(permit),
                RoundResult::NoOwner if Instant::now() >= owner_deadline => {
                    return Err(refusal(RefusalReason::NoOwner, OWNER_RETRY_AFTER_MS));
                }
                RoundResult::NoOwner => sleep(Duration::from_millis(OWNER_RETRY_INTERVAL_MS)).await,
                RoundResult::Refused(refusal) => return Err(refusal),
            }
        }
    }
}

impl PermitClient {
    /// Requests a permit from the shards in turn until one grants it.
    async fn request_from_shards(
        &self,
        shards: &[Assignment],
        request: &PermitRequest,
        deadline: Instant,
    ) -> RoundResult {
        let mut earliest: Option<Refusal> = None;
        for assignment in shards {
            let acquire_request = self.acquire_request(assignment, request, deadline);
            match self
                .shard_router
                .acquire(&assignment.owner, acquire_request)
                .await
            {
                Some(answer @ AcquireAnswer::Granted { .. }) => {
                    return self.record_grant(assignment, request, answer);
                }
                Some(AcquireAnswer::Refused {
                    reason,
                    retry_after_ms,
                }) => {
                    let refused = refusal(refusal_reason(reason), retry_after_ms);
                    earliest = Some(earlier(earliest, refused));
                }
                Some(AcquireAnswer::NotOwner) | None => {}
            }
        }
        earliest.map_or(RoundResult::NoOwner, RoundResult::Refused)
    }

    fn acquire_request(
        &self,
        assignment: &Assignment,
        request: &PermitRequest,
        deadline: Instant,
    ) -> AcquireRequest {
        let remaining = deadline.saturating_duration_since(Instant::now());
        AcquireRequest {
            customer: request.customer.clone(),
            epoch: assignment.epoch,
            instance: self.instance.clone(),
            kind: request.kind.clone(),
            max_tokens: request.max_tokens,
            prefix_hashes: request.prefix_hashes.clone(),
            prompt_tokens: request.prompt_tokens,
            region: self.region.clone(),
            shard: assignment.shard.clone(),
            urgent: request.urgent,
            wait_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn record_grant(
        &self,
        assignment: &Assignment,
        request: &PermitRequest,
        answer: AcquireAnswer,
    ) -> RoundResult {
        let AcquireAnswer::Granted {
            address,
            endpoint,
            permit,
            priority,
            region,
        } = answer
        else {
            return RoundResult::NoOwner;
        };
        let key = PermitKey {
            epoch: assignment.epoch,
            permit,
        };
        let held_permit = HeldPermit {
            address,
            endpoint: endpoint.clone(),
            held_permits: Arc::clone(&self.held_permits),
            is_ended: false,
            key,
            priority,
            progress: Arc::new(AtomicU32::new(0)),
            region,
            revoked: CancellationToken::new(),
            shard: assignment.shard.clone(),
        };
        let running = RunningPermit {
            customer: request.customer.clone(),
            endpoint,
            generated_tokens: 0,
            kind: request.kind.clone(),
            max_tokens: request.max_tokens,
            permit: key,
            prompt_tokens: request.prompt_tokens,
        };
        self.held_permits.add(
            &assignment.shard,
            running,
            &held_permit.progress,
            &held_permit.revoked,
        );
        RoundResult::Granted(Box::new(held_permit))
    }

    /// Whether a row permits the customer to use the target.
    fn is_permitted(&self, customer: &CustomerName, kind: &KindName, target: &Target) -> bool {
        let key = RowKey {
            customer: customer.clone(),
            kind: kind.clone(),
        };
        self.published.with_table(|items| {
            items.row(&key).is_some_and(|(row, _)| match target {
                Target::Model(model) => row.models.is_empty() || row.models.contains(model),
                Target::Service(_) => true,
            })
        })
    }

    /// Shards that serve the target; shards of the own region come first.
    fn shards(&self, target: &Target) -> Vec<Assignment> {
        let offer = match target {
            Target::Model(model) => OfferName::Model(model.clone()),
            Target::Service(service) => OfferName::Service(service.clone()),
        };
        let mut shards: Vec<Assignment> = self
            .published
            .lock()
            .assignments
            .iter()
            .filter(|assignment| assignment.shard.offer == offer)
            .cloned()
            .collect();
        shards.sort_by_key(|assignment| assignment.shard.region != self.region);
        shards
    }
}

impl Permit for HeldPermit {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn endpoint(&self) -> &EndpointName {
        &self.endpoint
    }

    fn finish(mut self: Box<Self>, end: PermitEnd, tokens: u32) {
        self.end(end, tokens);
    }

    fn priority(&self) -> i32 {
        self.priority
    }

    fn region(&self) -> Option<&RegionName> {
        Some(&self.region)
    }

    fn report_progress(&mut self, tokens: u32) {
        self.progress.store(tokens, Ordering::Relaxed);
    }

    fn revocation(&self) -> Option<CancellationToken> {
        Some(self.revoked.clone())
    }
}

impl HeldPermit {
    fn end(&mut self, end: PermitEnd, generated_tokens: u32) {
        self.is_ended = true;
        let ended = EndedPermit {
            end: permit_end(end),
            generated_tokens,
            permit: self.key,
        };
        self.held_permits.record_end(&self.shard, ended);
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        if !self.is_ended {
            let tokens = self.progress.load(Ordering::Relaxed);
            self.end(PermitEnd::Cancelled, tokens);
        }
    }
}

fn permit_end(end: PermitEnd) -> dispatch::PermitEnd {
    match end {
        PermitEnd::Cancelled => dispatch::PermitEnd::Cancelled,
        PermitEnd::Completed => dispatch::PermitEnd::Completed,
        PermitEnd::Failed => dispatch::PermitEnd::Failed,
        PermitEnd::Refused => dispatch::PermitEnd::Refused,
    }
}

fn refusal_reason(reason: dispatch::RefusalReason) -> RefusalReason {
    match reason {
        dispatch::RefusalReason::NoEndpoint => RefusalReason::NoEndpoint,
        dispatch::RefusalReason::Overload => RefusalReason::Overload,
        dispatch::RefusalReason::QueueFull => RefusalReason::QueueFull,
        dispatch::RefusalReason::TooLarge => RefusalReason::TooLarge,
        dispatch::RefusalReason::UnknownRow => RefusalReason::UnknownRow,
        dispatch::RefusalReason::WaitedTooLong => RefusalReason::WaitedTooLong,
    }
}

fn refusal(reason: RefusalReason, retry_after_ms: u64) -> Refusal {
    Refusal {
        reason,
        retry_after_ms,
    }
}

/// The refusal with the shorter retry delay.
fn earlier(known: Option<Refusal>, other: Refusal) -> Refusal {
    match known {
        Some(known) if known.retry_after_ms <= other.retry_after_ms => known,
        _ => other,
    }
}
