//! During a burst that fills all engines, requests wait in a queue or get a time to retry.

use gateway::{RetryAfterSchedule, WaitQueue};
use quickcheck::QuickCheck;

fn served(queue: &mut WaitQueue<u64>, mut free: u64) -> Vec<u64> {
    let served = queue.serve(|waiter| {
        let fits = waiter.payload <= free;
        if fits {
            free -= waiter.payload;
        }
        fits
    });
    served.into_iter().map(|waiter| waiter.number).collect()
}

#[test]
fn requests_are_served_by_priority_and_then_by_age() {
    let mut queue = WaitQueue::default();
    let low = queue.push(1, "llm", 10);
    let first = queue.push(0, "llm", 10);
    let second = queue.push(0, "llm", 10);
    assert_eq!(served(&mut queue, 20), [first, second]);
    assert_eq!(served(&mut queue, 10), [low]);
}

#[test]
fn lower_priorities_do_not_pass_a_request_that_does_not_fit() {
    let mut queue = WaitQueue::default();
    let large = queue.push(0, "llm", 50);
    let small = queue.push(1, "llm", 5);
    assert!(served(&mut queue, 20).is_empty());
    assert_eq!(served(&mut queue, 55), [large, small]);
}

#[test]
fn a_blocked_service_does_not_block_another() {
    let mut queue = WaitQueue::default();
    queue.push(0, "llm", 50);
    let plain = queue.push(2, "booking", 0);
    assert_eq!(served(&mut queue, 20), [plain]);
}

#[test]
fn a_removed_request_is_not_in_the_queue() {
    let mut queue = WaitQueue::default();
    let number = queue.push(0, "llm", 1);
    assert_eq!(queue.count_ahead(0, "llm"), 1);
    queue.remove(number);
    assert!(queue.is_empty());
}

#[test]
fn refused_clients_retry_at_spaced_times() {
    let mut schedule = RetryAfterSchedule::default();
    let waits_ms: Vec<u64> = (0..5).map(|_| schedule.next_ms(1_000, 200)).collect();
    assert_eq!(waits_ms, [150, 350, 550, 750, 950]);
    assert_eq!(
        schedule.next_ms(60_000, 200),
        150,
        "the assigned times are over"
    );
}

#[test]
fn retry_after_is_at_most_6_seconds() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its arguments by value"
    )]
    fn holds(spacings_ms: Vec<u16>) -> bool {
        let mut schedule = RetryAfterSchedule::default();
        spacings_ms
            .iter()
            .all(|&spacing_ms| schedule.next_ms(0, u64::from(spacing_ms)) <= 6_000)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Vec<u16>) -> bool);
}
