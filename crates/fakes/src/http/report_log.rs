use std::collections::VecDeque;

use crate::engine::Load;
use crate::http::LoadReport;

/// Load reports that wait until they are as old as the lag asks for.
#[derive(Debug)]
pub(crate) struct ReportLog {
    lag_us: u64,
    reports: VecDeque<(u64, Load)>,
}

impl ReportLog {
    pub(crate) fn new(lag_ms: u64) -> Self {
        Self {
            lag_us: lag_ms * 1000,
            reports: VecDeque::new(),
        }
    }

    /// Adds a report and gives the newest that is old enough.
    pub(crate) fn push(&mut self, now_us: u64, load: Load) -> Option<LoadReport> {
        self.reports.push_back((now_us, load));
        let ready = |(at_us, _): &(u64, Load)| at_us + self.lag_us <= now_us;
        while self.reports.get(1).is_some_and(ready) {
            self.reports.pop_front();
        }
        let (at_us, load) = *self.reports.front().filter(|report| ready(report))?;
        Some(LoadReport {
            age_ms: (now_us - at_us) / 1000,
            memory_used_tokens: load.memory_used_tokens,
            preemptions: load.preemptions,
            running: load.running,
            token_interval_us: load.token_interval_us,
            waiting: load.waiting,
        })
    }
}
