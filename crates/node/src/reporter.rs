//! Reports running and ended permits to the owners of their shards.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use names::InstanceName;
use protocol::{ProgressAnswer, ProgressReport};
use tokio::time::{Instant, sleep, timeout_at};

use crate::holdings::Holdings;
use crate::interval::{PROGRESS_INTERVAL_MS, PROGRESS_INTERVAL_MS_MAX};
use crate::permit_book::{PermitBook, ShardReport};
use crate::router::Router;

/// Time for which ends of permits are collected into one report.
const COLLECT_MS: u64 = 5;

/// Permits of an instance that are reported in a second, as far as the longest interval allows.
const PERMITS_PER_SECOND_MAX: u64 = 500;

/// What the reporting task works on.
#[derive(Debug)]
pub(crate) struct Reporter {
    pub(crate) book: Arc<PermitBook>,
    pub(crate) holdings: Arc<Holdings>,
    pub(crate) instance: InstanceName,
    pub(crate) router: Arc<Router>,
}

impl Reporter {
    /// Reports until the task is dropped.
    pub(crate) async fn run(self) {
        loop {
            let next = Instant::now() + interval(self.book.running());
            while timeout_at(next, self.book.any_ended()).await.is_ok() {
                sleep(Duration::from_millis(COLLECT_MS)).await;
                self.send(self.book.ends()).await;
            }
            self.learn_owners();
            self.send(self.book.reports()).await;
        }
    }

    fn learn_owners(&self) {
        for shard in self.book.shards() {
            if let Some(assignment) = self.holdings.assignment(&shard) {
                self.book.owned(&shard, assignment.epoch);
            }
        }
    }

    async fn send(&self, reports: Vec<ShardReport>) {
        join_all(reports.into_iter().map(|report| self.report(report))).await;
    }

    async fn report(&self, report: ShardReport) {
        let Some(assignment) = self.holdings.assignment(&report.shard) else {
            return;
        };
        let report = ProgressReport {
            requested: report.asked,
            ended: report.ended,
            epoch: assignment.epoch,
            instance: self.instance.clone(),
            running: report.running,
            shard: report.shard,
        };
        let answer = self.router.progress(&assignment.owner, &report).await;
        if let Some(ProgressAnswer::Accepted { revoked, unknown }) = answer {
            self.book.taken(&report);
            self.book.revoke(&report.shard, &revoked);
            if report.running.is_some() {
                self.book.ask(&report.shard, &unknown);
            }
        }
    }
}

/// Time between two reports of all permits, so that they stay few at many permits.
fn interval(running: usize) -> Duration {
    let spread_ms = running as u64 * 1_000 / PERMITS_PER_SECOND_MAX;
    Duration::from_millis(spread_ms.clamp(PROGRESS_INTERVAL_MS, PROGRESS_INTERVAL_MS_MAX))
}
