//! Permits that this instance holds, and their reports to the owners of the shards.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use names::Epoch;
use protocol::{EndedPermit, PermitKey, PermitProgress, ProgressReport, RunningPermit};
use session::Shard;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Most ended permits kept per shard while its owner cannot be reached; the oldest are dropped.
const ENDED_MAX: usize = 65_536;

/// Running permits, and ended permits that have not been reported to their owner.
#[derive(Debug, Default)]
pub(crate) struct HeldPermits {
    end_notify: Notify,
    /// Sorted by shard.
    shards: Mutex<Vec<ShardPermits>>,
}

/// Permits of one shard.
#[derive(Debug)]
struct ShardPermits {
    /// Epoch of the last known owner.
    epoch: Option<Epoch>,
    ended: Vec<EndedPermit>,
    running: Vec<TrackedPermit>,
    shard: Shard,
}

/// A running permit with its progress.
#[derive(Debug)]
struct TrackedPermit {
    /// Set when the next full report has to describe the permit to its owner.
    is_unknown_to_owner: bool,
    permit: RunningPermit,
    progress: Arc<AtomicU32>,
    revoked: CancellationToken,
}

/// Contents of a report to the owner of one shard.
#[derive(Debug)]
pub(crate) struct ShardReport {
    pub(crate) ended: Vec<EndedPermit>,
    /// Descriptions of the permits that the owner does not know.
    pub(crate) requested: Vec<RunningPermit>,
    /// All running permits; absent if only ended permits are reported.
    pub(crate) running: Option<Vec<PermitProgress>>,
    pub(crate) shard: Shard,
}

impl HeldPermits {
    /// Adds a running permit; `progress` counts its tokens, and a revocation cancels `revoked`.
    pub(crate) fn add(
        &self,
        shard: &Shard,
        permit: RunningPermit,
        progress: &Arc<AtomicU32>,
        revoked: &CancellationToken,
    ) {
        let mut shards = self.lock();
        let position = match shards.binary_search_by(|permits| permits.shard.cmp(shard)) {
            Ok(position) => position,
            Err(position) => {
                shards.insert(position, ShardPermits::new(shard));
                position
            }
        };
        shards[position].running.push(TrackedPermit {
            is_unknown_to_owner: false,
            permit,
            progress: Arc::clone(progress),
            revoked: revoked.clone(),
        });
    }

    /// Waits until a permit ends.
    pub(crate) async fn wait_ended(&self) {
        self.end_notify.notified().await;
    }

    /// Records the end of a permit.
    pub(crate) fn record_end(&self, shard: &Shard, ended: EndedPermit) {
        let mut shards = self.lock();
        if let Some(permits) = find_shard(&mut shards, shard) {
            permits
                .running
                .retain(|running| running.permit.permit != ended.permit);
            permits.ended.push(ended);
            let surplus = permits.ended.len().saturating_sub(ENDED_MAX);
            permits.ended.drain(..surplus);
        }
        drop(shards);
        self.end_notify.notify_one();
    }

    /// Reports of ended permits only, one for each shard that has any.
    pub(crate) fn ended_reports(&self) -> Vec<ShardReport> {
        self.lock()
            .iter()
            .filter(|permits| !permits.ended.is_empty())
            .map(ShardPermits::ended_report)
            .collect()
    }

    /// Reports of all shards with their running and ended permits.
    pub(crate) fn full_reports(&self) -> Vec<ShardReport> {
        self.lock()
            .iter()
            .filter(|permits| !permits.ended.is_empty() || !permits.running.is_empty())
            .map(ShardPermits::full_report)
            .collect()
    }

    /// Shards that permits were granted for.
    pub(crate) fn shards(&self) -> Vec<Shard> {
        self.lock()
            .iter()
            .map(|permits| permits.shard.clone())
            .collect()
    }

    /// Number of running permits.
    pub(crate) fn running_count(&self) -> usize {
        self.lock()
            .iter()
            .map(|permits| permits.running.len())
            .sum()
    }

    /// Records the current owner of a shard; a new owner gets descriptions of all earlier permits.
    pub(crate) fn record_owner(&self, shard: &Shard, epoch: Epoch) {
        let mut shards = self.lock();
        let Some(permits) = find_shard(&mut shards, shard) else {
            return;
        };
        if permits.epoch.replace(epoch) == Some(epoch) {
            return;
        }
        for running in &mut permits.running {
            running.is_unknown_to_owner = running.permit.permit.epoch != epoch;
        }
    }

    /// Records which permits the owner does not know.
    pub(crate) fn record_unknown(&self, shard: &Shard, unknown: &[PermitKey]) {
        let mut shards = self.lock();
        let Some(permits) = find_shard(&mut shards, shard) else {
            return;
        };
        for running in &mut permits.running {
            running.is_unknown_to_owner = unknown.contains(&running.permit.permit);
        }
    }

    /// Cancels the permits that their owner revoked.
    pub(crate) fn revoke(&self, shard: &Shard, revoked: &[PermitKey]) {
        let mut shards = self.lock();
        let Some(permits) = find_shard(&mut shards, shard) else {
            return;
        };
        permits
            .running
            .iter()
            .filter(|running| revoked.contains(&running.permit.permit))
            .for_each(|running| running.revoked.cancel());
    }

    /// Removes the ended permits of a report that the owner has accepted.
    pub(crate) fn remove_reported(&self, report: &ProgressReport) {
        let mut shards = self.lock();
        if let Some(permits) = find_shard(&mut shards, &report.shard) {
            let is_reported = |ended: &EndedPermit| {
                report
                    .ended
                    .iter()
                    .any(|reported| reported.permit == ended.permit)
            };
            permits.ended.retain(|ended| !is_reported(ended));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ShardPermits>> {
        self.shards.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ShardPermits {
    fn new(shard: &Shard) -> Self {
        Self {
            epoch: None,
            ended: Vec::new(),
            running: Vec::new(),
            shard: shard.clone(),
        }
    }

    fn ended_report(&self) -> ShardReport {
        ShardReport {
            ended: self.ended.clone(),
            requested: Vec::new(),
            running: None,
            shard: self.shard.clone(),
        }
    }

    fn full_report(&self) -> ShardReport {
        let requested = self
            .running
            .iter()
            .filter(|running| running.is_unknown_to_owner);
        ShardReport {
            requested: requested.map(TrackedPermit::to_running_permit).collect(),
            running: Some(self.running.iter().map(TrackedPermit::progress).collect()),
            ..self.ended_report()
        }
    }
}

impl TrackedPermit {
    fn to_running_permit(&self) -> RunningPermit {
        RunningPermit {
            generated_tokens: self.progress.load(Ordering::Relaxed),
            ..self.permit.clone()
        }
    }

    fn progress(&self) -> PermitProgress {
        PermitProgress {
            generated_tokens: self.progress.load(Ordering::Relaxed),
            permit: self.permit.permit,
        }
    }
}

/// Permits of a shard, if any were granted.
fn find_shard<'a>(shards: &'a mut [ShardPermits], shard: &Shard) -> Option<&'a mut ShardPermits> {
    let position = shards
        .binary_search_by(|permits| permits.shard.cmp(shard))
        .ok()?;
    Some(&mut shards[position])
}
