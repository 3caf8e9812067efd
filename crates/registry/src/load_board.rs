use crate::{EndpointLoad, LoadReport, LoadTotals, ServiceLoad};

/// Time after which the report of an instance that sends no more counts for nothing; ten reports
/// are sent in it.
const REPORT_TTL_MS: u64 = 1_500;

/// Sums of what the instances run on each endpoint.
#[derive(Debug, Default)]
pub struct LoadBoard {
    /// Sorted by instance.
    reports: Vec<Reported>,
}

#[derive(Debug)]
struct Reported {
    at_ms: u64,
    report: LoadReport,
}

impl LoadBoard {
    /// Replaces the report of an instance, and gives the sums.
    pub fn exchange(&mut self, now_ms: u64, report: LoadReport) -> LoadTotals {
        let found = self
            .reports
            .binary_search_by(|known| known.report.instance.cmp(&report.instance));
        let reported = Reported {
            at_ms: now_ms,
            report,
        };
        match found {
            Ok(at) => self.reports[at] = reported,
            Err(at) => self.reports.insert(at, reported),
        }
        self.reports
            .retain(|known| now_ms.saturating_sub(known.at_ms) < REPORT_TTL_MS);
        self.totals()
    }

    fn totals(&self) -> LoadTotals {
        let mut loads: Vec<EndpointLoad> = Vec::new();
        for load in self.reports.iter().flat_map(|known| &known.report.loads) {
            match loads.binary_search_by(|sum| sum.id.cmp(&load.id)) {
                Ok(at) => {
                    loads[at].failures += load.failures;
                    loads[at].prefill_tokens += load.prefill_tokens;
                    loads[at].runs += load.runs;
                    loads[at].successes += load.successes;
                    loads[at].tokens += load.tokens;
                }
                Err(at) => loads.insert(at, load.clone()),
            }
        }
        LoadTotals {
            instances: u32::try_from(self.reports.len()).expect("instances fit"),
            loads,
            services: self.service_totals(),
        }
    }

    fn service_totals(&self) -> Vec<ServiceLoad> {
        let mut services: Vec<ServiceLoad> = Vec::new();
        for load in self.reports.iter().flat_map(|known| &known.report.services) {
            match services.binary_search_by(|sum| sum.name.cmp(&load.name)) {
                Ok(at) => {
                    services[at].repeats += load.repeats;
                    services[at].requests += load.requests;
                }
                Err(at) => services.insert(at, load.clone()),
            }
        }
        services
    }
}
