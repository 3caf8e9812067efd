//! Pattern: an engine leaves, and the instances that serve its runs all move them at once.

use gateway::{RequestCounts, RetryBudget, RetryLimits};
use quickcheck::QuickCheck;

const LIMITS: RetryLimits = RetryLimits {
    ratio_thousandths: 200,
    slack_retries: 58,
    window_ms: 10_000,
};
const INSTANCES: u32 = 9;

fn taken(budget: &mut RetryBudget, now_ms: u64, tries: u32) -> u64 {
    (0..tries)
        .map(|_| u64::from(budget.try_retry(now_ms, &LIMITS, INSTANCES)))
        .sum()
}

#[test]
fn an_instance_alone_keeps_to_its_part_of_the_slack() {
    let mut budget = RetryBudget::default();
    budget.set_other_instances(RequestCounts {
        retries: 58,
        requests: 0,
    });
    assert!(taken(&mut budget, 0, 100) <= 58 / u64::from(INSTANCES));
}

#[test]
fn an_instance_uses_what_the_others_leave() {
    let mut budget = RetryBudget::default();
    budget.set_other_instances(RequestCounts {
        retries: 0,
        requests: 100,
    });
    let taken = taken(&mut budget, 0, 100);
    assert!(taken > 20, "only {taken} moves were allowed");
    assert!(taken <= 58 + 20);
}

#[test]
fn repeats_come_back_after_the_window() {
    let mut budget = RetryBudget::default();
    let first = taken(&mut budget, 0, 100);
    assert_eq!(taken(&mut budget, 9_999, 100), 0);
    assert_eq!(taken(&mut budget, 10_000, 100), first);
}

/// Sums over all instances stay within the limits, also while none knows of the others' repeats
/// since the last exchange, as long as they are no more than the room kept for that.
#[test]
fn all_instances_together_keep_the_limits() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands its arguments over"
    )]
    fn holds(requests: Vec<u8>, tries: Vec<u8>) -> bool {
        let mut budgets: Vec<RetryBudget> =
            (0..INSTANCES).map(|_| RetryBudget::default()).collect();
        for (budget, &count) in budgets.iter_mut().zip(&requests) {
            for _ in 0..count {
                budget.record_request(0, &LIMITS);
            }
        }
        let mut retries = 0;
        for &position in &tries {
            let at = usize::from(position) % budgets.len();
            let all: Vec<RequestCounts> = budgets
                .iter_mut()
                .map(|budget| budget.counts(0, &LIMITS))
                .collect();
            let other_instances = |pick: fn(&RequestCounts) -> u64| {
                all.iter().map(pick).sum::<u64>() - pick(&all[at])
            };
            let known = RequestCounts {
                retries: other_instances(|counts| counts.retries),
                requests: other_instances(|counts| counts.requests),
            };
            budgets[at].set_other_instances(known);
            retries += u64::from(budgets[at].try_retry(0, &LIMITS, INSTANCES));
        }
        let requests: u64 = requests
            .iter()
            .take(INSTANCES as usize)
            .map(|&count| u64::from(count))
            .sum();
        retries * 1_000 <= requests * LIMITS.ratio_thousandths + LIMITS.slack_retries * 1_000
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Vec<u8>, Vec<u8>) -> bool);
}
