//! Reports running and ended permits to the owners of their shards.

use std::sync::Arc;
use std::time::Duration;

use names::InstanceName;
use protocol::{ProgressAnswer, ProgressReport};
use tokio::time::{sleep, timeout};

use crate::holdings::Holdings;
use crate::interval::PROGRESS_INTERVAL_MS;
use crate::permit_book::{PermitBook, ShardReport};
use crate::router::Router;

/// Time for which ends of permits are collected into one report.
const COLLECT_MS: u64 = 5;

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
            let interval = Duration::from_millis(PROGRESS_INTERVAL_MS);
            if timeout(interval, self.book.any_ended()).await.is_ok() {
                sleep(Duration::from_millis(COLLECT_MS)).await;
            }
            let reports = self.book.reports().into_iter();
            futures::future::join_all(reports.map(|report| self.report(report))).await;
        }
    }

    async fn report(&self, report: ShardReport) {
        let Some(assignment) = self.holdings.assignment(&report.shard) else {
            return;
        };
        let report = ProgressReport {
            ended: report.ended,
            epoch: assignment.epoch,
            instance: self.instance.clone(),
            running: report.running,
            shard: report.shard,
        };
        let answer = self.router.progress(&assignment.owner, &report).await;
        if let Some(ProgressAnswer::Taken { revoked }) = answer {
            self.book.taken(&report);
            self.book.revoke(&report.shard, &revoked);
        }
    }
}
