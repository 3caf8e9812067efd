//! Pattern: a burst that fills all engines for seconds.

use gateway::{RetryAfterSchedule, WaitQueue};
use quickcheck::QuickCheck;

fn served(queue: &mut WaitQueue<u64>, mut room: u64) -> Vec<u64> {
    let served = queue.serve(|waiter| {
        let fits = waiter.payload <= room;
        if fits {
            room -= waiter.payload;
        }
        fits
    });
    served.into_iter().map(|waiter| waiter.number).collect()
}

#[test]
fn the_most_urgent_goes_first_and_the_oldest_of_its_rank() {
    let mut queue = WaitQueue::default();
    let low = queue.push(1, "llm", 10);
    let first = queue.push(0, "llm", 10);
    let second = queue.push(0, "llm", 10);
    assert_eq!(served(&mut queue, 20), [first, second]);
    assert_eq!(served(&mut queue, 10), [low]);
}

#[test]
fn lower_ranks_do_not_pass_a_request_that_does_not_fit() {
    let mut queue = WaitQueue::default();
    let large = queue.push(0, "llm", 50);
    let small = queue.push(1, "llm", 5);
    assert!(served(&mut queue, 20).is_empty());
    assert_eq!(served(&mut queue, 55), [large, small]);
}

#[test]
fn services_do_not_wait_for_each_other() {
    let mut queue = WaitQueue::default();
    queue.push(0, "llm", 50);
    let plain = queue.push(2, "booking", 0);
    assert_eq!(served(&mut queue, 20), [plain]);
}

#[test]
fn a_request_that_gave_up_is_forgotten() {
    let mut queue = WaitQueue::default();
    let gone = queue.push(0, "llm", 1);
    assert_eq!(queue.count_ahead(0, "llm"), 1);
    queue.remove(gone);
    assert!(queue.is_empty());
}

#[test]
fn refused_clients_return_one_after_the_other() {
    let mut schedule = RetryAfterSchedule::default();
    let waits: Vec<u64> = (0..5).map(|_| schedule.next_ms(1_000, 200)).collect();
    assert_eq!(waits, [150, 350, 550, 750, 950]);
    assert_eq!(schedule.next_ms(60_000, 200), 150, "the crowd has passed");
}

#[test]
fn no_client_is_asked_to_wait_for_ever() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands its arguments over"
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
