use std::fmt::{self, Display, Formatter};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Guarantee of the fleet that a soak run checks; the report lists them in this order.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// Each token reaches the client once, in order, from one generation.
    TokensOnce,
    /// Each client receives the whole answer to its own request.
    WholeAnswer,
    /// A request that was answered with the outcome `not-run` was not executed.
    NotRun,
    /// A call that must not be repeated is executed at most once.
    AtMostOnce,
    /// A leaving endpoint receives no new request after a few seconds.
    Leaving,
    /// Draining an instance interrupts no request.
    PlannedStop,
    /// An accepted edit is in force within seconds and never reverts.
    InForce,
}

const PROMISES: [Promise; 7] = [
    Promise::TokensOnce,
    Promise::WholeAnswer,
    Promise::NotRun,
    Promise::AtMostOnce,
    Promise::Leaving,
    Promise::PlannedStop,
    Promise::InForce,
];

/// Violations that the report prints for each promise.
const VIOLATIONS_PRINTED_MAX: usize = 20;

/// Number of checks and the violations of each promise; clones share one report.
#[derive(Debug, Clone, Default)]
pub struct PromiseReport(Arc<Mutex<Vec<PromiseRecord>>>);

/// Checks and violations of one promise.
#[derive(Debug)]
struct PromiseRecord {
    checks: u64,
    promise: Promise,
    violations: Vec<String>,
}

impl PromiseReport {
    /// Whether every promise was checked at least once and none was violated.
    #[must_use]
    pub fn all_hold(&self) -> bool {
        let records = self.lock();
        records.len() == PROMISES.len() && records.iter().all(|r| r.violations.is_empty())
    }

    /// Counts one check of a promise and records the violation that it found, if any.
    pub fn record(&self, promise: Promise, violation: Option<String>) {
        let mut records = self.lock();
        let position = records.binary_search_by(|record| record.promise.cmp(&promise));
        let position = position.unwrap_or_else(|position| {
            records.insert(
                position,
                PromiseRecord {
                    checks: 0,
                    promise,
                    violations: Vec::new(),
                },
            );
            position
        });
        records[position].checks += 1;
        records[position].violations.extend(violation);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<PromiseRecord>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Display for PromiseReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14}{:>10}{:>12}",
            "promise", "exercised", "violations"
        )?;
        let records = self.lock();
        for promise in PROMISES {
            let record = records.iter().find(|record| record.promise == promise);
            let (checks, violations) = record.map_or((0, 0), |r| (r.checks, r.violations.len()));
            let name = format!("{promise:?}");
            writeln!(f, "{name:<14}{checks:>10}{violations:>12}")?;
        }
        for record in records.iter() {
            for violation in record.violations.iter().take(VIOLATIONS_PRINTED_MAX) {
                writeln!(f, "{:?}: {violation}", record.promise)?;
            }
        }
        Ok(())
    }
}
