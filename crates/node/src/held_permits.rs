//! Permits that this instance uses, and their reports to the owners of the shards.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use names::Epoch;
use protocol::{EndedPermit, PermitKey, PermitProgress, ProgressReport, RunningPermit};
use session::Shard;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Most ended permits kept for an owner that cannot be reached.
const ENDED_MAX: usize = 65_536;

/// Permits in use and ended ones that no owner has heard of yet.
#[derive(Debug, Default)]
pub(crate) struct HeldPermits {
    book: Mutex<Vec<ShardPermits>>,
    ended: Notify,
}

#[derive(Debug)]
struct ShardPermits {
    /// Ownership that has heard of the permits.
    epoch: Option<Epoch>,
    ended: Vec<EndedPermit>,
    running: Vec<TrackedPermit>,
    shard: Shard,
}

#[derive(Debug)]
struct TrackedPermit {
    /// Whether the owner does not know the permit and asked about it.
    asked: bool,
    permit: RunningPermit,
    progress: Arc<AtomicU32>,
    revoked: CancellationToken,
}

/// News of one shard's permits.
#[derive(Debug)]
pub(crate) struct ShardReport {
    pub(crate) asked: Vec<RunningPermit>,
    pub(crate) ended: Vec<EndedPermit>,
    pub(crate) running: Option<Vec<PermitProgress>>,
    pub(crate) shard: Shard,
}

impl HeldPermits {
    /// Adds a permit; tokens are counted through `progress`.
    pub(crate) fn add(
        &self,
        shard: &Shard,
        permit: RunningPermit,
        progress: &Arc<AtomicU32>,
        revoked: &CancellationToken,
    ) {
        let mut book = self.lock();
        let position = match book.binary_search_by(|permits| permits.shard.cmp(shard)) {
            Ok(position) => position,
            Err(position) => {
                book.insert(position, ShardPermits::new(shard));
                position
            }
        };
        book[position].running.push(TrackedPermit {
            asked: false,
            permit,
            progress: Arc::clone(progress),
            revoked: revoked.clone(),
        });
    }

    /// Waits until a permit ends.
    pub(crate) async fn wait_ended(&self) {
        self.ended.notified().await;
    }

    /// Notes that a permit ended.
    pub(crate) fn record_end(&self, shard: &Shard, ended: EndedPermit) {
        let mut book = self.lock();
        if let Some(permits) = find(&mut book, shard) {
            permits
                .running
                .retain(|running| running.permit.permit != ended.permit);
            permits.ended.push(ended);
            let surplus = permits.ended.len().saturating_sub(ENDED_MAX);
            permits.ended.drain(..surplus);
        }
        drop(book);
        self.ended.notify_one();
    }

    /// Ends of permits that the owners of the shards have not heard of.
    pub(crate) fn ended_reports(&self) -> Vec<ShardReport> {
        self.lock()
            .iter()
            .filter(|permits| !permits.ended.is_empty())
            .map(ShardPermits::ended_report)
            .collect()
    }

    /// All that the owners of the shards should hear now.
    pub(crate) fn full_reports(&self) -> Vec<ShardReport> {
        self.lock()
            .iter()
            .filter(|permits| !permits.ended.is_empty() || !permits.running.is_empty())
            .map(ShardPermits::full_report)
            .collect()
    }

    /// Shards whose permits run or have ended.
    pub(crate) fn shards(&self) -> Vec<Shard> {
        self.lock()
            .iter()
            .map(|permits| permits.shard.clone())
            .collect()
    }

    /// Number of permits that run.
    pub(crate) fn running(&self) -> usize {
        self.lock()
            .iter()
            .map(|permits| permits.running.len())
            .sum()
    }

    /// Notes the present owner of a shard; a new one is told of all permits granted before it.
    pub(crate) fn record_owner(&self, shard: &Shard, epoch: Epoch) {
        let mut book = self.lock();
        let Some(permits) = find(&mut book, shard) else {
            return;
        };
        if permits.epoch.replace(epoch) == Some(epoch) {
            return;
        }
        for running in &mut permits.running {
            running.asked = running.permit.permit.epoch != epoch;
        }
    }

    /// Notes which permits the owner does not know.
    pub(crate) fn record_unknown(&self, shard: &Shard, unknown: &[PermitKey]) {
        let mut book = self.lock();
        let Some(permits) = find(&mut book, shard) else {
            return;
        };
        for running in &mut permits.running {
            running.asked = unknown.contains(&running.permit.permit);
        }
    }

    /// Takes back permits that their owner revoked.
    pub(crate) fn revoke(&self, shard: &Shard, revoked: &[PermitKey]) {
        let mut book = self.lock();
        let Some(permits) = find(&mut book, shard) else {
            return;
        };
        permits
            .running
            .iter()
            .filter(|running| revoked.contains(&running.permit.permit))
            .for_each(|running| running.revoked.cancel());
    }

    /// Forgets ended permits that the owner has heard of.
    pub(crate) fn remove_reported(&self, report: &ProgressReport) {
        let mut book = self.lock();
        if let Some(permits) = find(&mut book, &report.shard) {
            let is_taken = |ended: &EndedPermit| {
                report
                    .ended
                    .iter()
                    .any(|remove_reported| remove_reported.permit == ended.permit)
            };
            permits.ended.retain(|ended| !is_taken(ended));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ShardPermits>> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
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
            asked: Vec::new(),
            ended: self.ended.clone(),
            running: None,
            shard: self.shard.clone(),
        }
    }

    fn full_report(&self) -> ShardReport {
        let asked = self.running.iter().filter(|running| running.asked);
        ShardReport {
            asked: asked.map(TrackedPermit::to_running_permit).collect(),
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

/// The permits of a shard.
fn find<'a>(book: &'a mut [ShardPermits], shard: &Shard) -> Option<&'a mut ShardPermits> {
    let position = book
        .binary_search_by(|permits| permits.shard.cmp(shard))
        .ok()?;
    Some(&mut book[position])
}
