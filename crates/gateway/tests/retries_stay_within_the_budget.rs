//! When an engine leaves, all instances migrate its generations at once; each counts as a retry.

use gateway::{RequestCounts, RetryBudget, RetryLimits};
use quickcheck::QuickCheck;

const LIMITS: RetryLimits = RetryLimits {
    ratio_thousandths: 200,
    slack_retries: 58,
    window_ms: 10_000,
};
const INSTANCES: u32 = 9;

fn allowed_retries(budget: &mut RetryBudget, now_ms: u64, tries: u32) -> u64 {
    (0..tries)
        .map(|_| u64::from(budget.try_retry(now_ms, &LIMITS, INSTANCES)))
        .sum()
}

#[test]
fn own_share_of_the_slack_is_the_limit_once_others_use_it_all() {
    let mut budget = RetryBudget::default();
    budget.set_other_instances(RequestCounts {
        requests: 0,
        retries: 58,
    });
    assert!(allowed_retries(&mut budget, 0, 100) <= 58 / u64::from(INSTANCES));
}

#[test]
fn an_instance_uses_the_budget_that_others_leave() {
    let mut budget = RetryBudget::default();
    budget.set_other_instances(RequestCounts {
        requests: 100,
        retries: 0,
    });
    let allowed = allowed_retries(&mut budget, 0, 100);
    assert!(allowed > 20, "only {allowed} retries were allowed");
    assert!(allowed <= 58 + 20);
}

#[test]
fn budget_is_available_again_after_the_window() {
    let mut budget = RetryBudget::default();
    let first = allowed_retries(&mut budget, 0, 100);
    assert_eq!(allowed_retries(&mut budget, 9_999, 100), 0);
    assert_eq!(allowed_retries(&mut budget, 10_000, 100), first);
}

/// Each instance knows the counts of the others at the time of its retry.
#[test]
fn sum_of_all_instances_stays_within_the_limits() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its arguments by value"
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
            let sum_of_others = |pick: fn(&RequestCounts) -> u64| {
                all.iter().map(pick).sum::<u64>() - pick(&all[at])
            };
            let others = RequestCounts {
                requests: sum_of_others(|counts| counts.requests),
                retries: sum_of_others(|counts| counts.retries),
            };
            budgets[at].set_other_instances(others);
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
