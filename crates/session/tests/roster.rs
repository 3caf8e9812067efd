//! Rosters of subscribers.

mod support;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use session::{Member, Roster};
use support::{instance, member, restarted_member};

const SUBSCRIBERS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Insert {
        incarnation: u64,
        number: usize,
    },
    Remove {
        number: usize,
    },
    /// A publisher with a later epoch replaces the current one.
    ReplacePublisher,
    /// Roster `to` syncs from roster `from`; 0 is the publisher, the others are subscribers.
    Sync {
        from: usize,
        to: usize,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |bound: usize| usize::arbitrary(g) % bound;
        match below(16) {
            0 => Self::ReplacePublisher,
            1..=3 => Self::Insert {
                incarnation: below(3) as u64,
                number: below(6),
            },
            4..=6 => Self::Remove { number: below(6) },
            _ => Self::Sync {
                from: below(SUBSCRIBERS + 1),
                to: 1 + below(SUBSCRIBERS),
            },
        }
    }
}

fn members(roster: &Roster) -> Vec<Member> {
    roster.members().cloned().collect()
}

fn sync(rosters: &mut [Roster], from: usize, to: usize) {
    let (epoch, version) = (rosters[to].epoch(), rosters[to].version());
    if let Some(update) = rosters[from].update_since(epoch, version) {
        rosters[to].apply(&update);
    }
}

fn every_roster_is_a_past_state_of_the_publisher(steps: Vec<Step>) -> bool {
    let mut rosters = vec![Roster::new(1); SUBSCRIBERS + 1];
    let mut history = vec![((1, 0), Vec::new())];
    for step in steps {
        match step {
            Step::Insert {
                incarnation,
                number,
            } => rosters[0].insert(&restarted_member(&member(number), incarnation, 1)),
            Step::Remove { number } => rosters[0].remove(&instance(number)),
            Step::ReplacePublisher => rosters[0] = Roster::new(rosters[0].epoch() + 1),
            Step::Sync { from, to } => {
                let before = (rosters[to].epoch(), rosters[to].version());
                sync(&mut rosters, from, to);
                let after = (rosters[to].epoch(), rosters[to].version());
                let known = history.iter().find(|(key, _)| *key == after);
                let matches_history =
                    known.is_none_or(|(_, state)| *state == members(&rosters[to]));
                if after < before || !matches_history {
                    return false;
                }
            }
        }
        let key = (rosters[0].epoch(), rosters[0].version());
        if history.iter().all(|(known, _)| *known != key) {
            history.push((key, members(&rosters[0])));
        }
    }
    (1..=SUBSCRIBERS).all(|to| {
        sync(&mut rosters, 0, to);
        members(&rosters[to]) == members(&rosters[0])
    })
}

#[test]
fn subscriber_rosters_equal_past_states_of_the_publisher_and_never_go_back() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 1))
        .tests(2_000)
        .quickcheck(every_roster_is_a_past_state_of_the_publisher as fn(Vec<Step>) -> bool);
}

#[test]
fn a_relay_that_received_a_whole_roster_reports_earlier_removals() {
    let mut publisher = Roster::new(1);
    publisher.insert(&member(1));
    publisher.insert(&member(2));
    let mut rosters = vec![publisher, Roster::default(), Roster::default()];
    sync(&mut rosters, 0, 2);
    rosters[0].remove(&instance(1));
    sync(&mut rosters, 0, 1);
    sync(&mut rosters, 1, 2);
    assert_eq!(members(&rosters[2]), [member(2)]);
}

#[test]
fn a_roster_of_an_earlier_epoch_changes_nothing() {
    let mut old = Roster::new(1);
    old.insert(&member(1));
    let mut new = Roster::new(2);
    new.insert(&member(2));
    let mut rosters = vec![old, new];
    sync(&mut rosters, 0, 1);
    assert_eq!(members(&rosters[1]), [member(2)]);
}

#[test]
fn removals_reach_subscribers_after_their_tombstones_expired() {
    let mut rosters = vec![Roster::new(1), Roster::default(), Roster::default()];
    rosters[0].insert(&member(0));
    sync(&mut rosters, 0, 1);
    sync(&mut rosters, 0, 2);
    for number in 1..2_000 {
        rosters[0].insert(&member(number));
        rosters[0].remove(&instance(number));
        sync(&mut rosters, 0, 1);
    }
    rosters[0].remove(&instance(0));
    sync(&mut rosters, 0, 2);
    sync(&mut rosters, 0, 1);
    assert_eq!(members(&rosters[1]), []);
    assert_eq!(members(&rosters[2]), []);
}
