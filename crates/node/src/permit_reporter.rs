//! Reports running and ended permits to the owners of their shards.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use names::InstanceName;
use protocol::{ProgressAnswer, ProgressReport};
use tokio::time::{Instant, sleep, timeout_at};

use crate::held_permits::{HeldPermits, ShardReport};
use crate::intervals::{PROGRESS_INTERVAL_MS_MAX, PROGRESS_INTERVAL_MS_MIN};
use crate::published_state::PublishedState;
use crate::shard_router::ShardRouter;

/// Time after the end of a permit in which further ends are collected into the same report.
const END_COLLECTION_MS: u64 = 5;

/// Most permits that an instance reports per second, unless `PROGRESS_INTERVAL_MS_MAX` is reached.
const PERMITS_PER_SECOND_MAX: u64 = 500;

/// Task that reports the permits of this instance.
#[derive(Debug)]
pub(crate) struct PermitReporter {
    pub(crate) held_permits: Arc<HeldPermits>,
    pub(crate) instance: InstanceName,
    pub(crate) published: Arc<PublishedState>,
    pub(crate) shard_router: Arc<ShardRouter>,
}

impl PermitReporter {
    /// Reports until the task is dropped.
    pub(crate) async fn run(self) {
        loop {
            let next_full_report =
                Instant::now() + report_interval(self.held_permits.running_count());
            while timeout_at(next_full_report, self.held_permits.wait_ended())
                .await
                .is_ok()
            {
                sleep(Duration::from_millis(END_COLLECTION_MS)).await;
                self.send_all(self.held_permits.ended_reports()).await;
            }
            self.record_owners();
            self.send_all(self.held_permits.full_reports()).await;
        }
    }

    fn record_owners(&self) {
        for shard in self.held_permits.shards() {
            if let Some(assignment) = self.published.assignment(&shard) {
                self.held_permits.record_owner(&shard, assignment.epoch);
            }
        }
    }

    async fn send_all(&self, reports: Vec<ShardReport>) {
        join_all(reports.into_iter().map(|report| self.send(report))).await;
    }

    async fn send(&self, report: ShardReport) {
        let Some(assignment) = self.published.assignment(&report.shard) else {
            return;
        };
        let report = ProgressReport {
            ended: report.ended,
            epoch: assignment.epoch,
            instance: self.instance.clone(),
            requested: report.requested,
            running: report.running,
            shard: report.shard,
        };
        let answer = self.shard_router.progress(&assignment.owner, &report).await;
        if let Some(ProgressAnswer::Accepted { revoked, unknown }) = answer {
            self.held_permits.remove_reported(&report);
            self.held_permits.revoke(&report.shard, &revoked);
            if report.running.is_some() {
                self.held_permits.record_unknown(&report.shard, &unknown);
            }
        }
    }
}

/// Time between two full reports; it grows with the number of permits to limit the load.
fn report_interval(running_permits: usize) -> Duration {
    let interval_ms = running_permits as u64 * 1_000 / PERMITS_PER_SECOND_MAX;
    Duration::from_millis(interval_ms.clamp(PROGRESS_INTERVAL_MS_MIN, PROGRESS_INTERVAL_MS_MAX))
}
