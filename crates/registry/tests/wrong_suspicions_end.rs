//! A sound part that was suspected is not kept out by what happens after it.

use std::net::SocketAddr;

use registry::{
    Accusation, AccusingEndpoint, PartAdmission, PartQuarantine, PartState, PartView, PublishedPart,
};

const BAD: u64 = 0xbad;
const FIRST: u64 = 0xa;

/// Time after which another crash is an event of its own.
const EVENT_MS: u64 = 250;

/// Duration of a first quarantine.
const QUARANTINE_MS: u64 = 20_000;

fn accuse(quarantine: &mut PartQuarantine, now_ms: u64, parts: &[u64]) {
    let accusation = Accusation {
        endpoint: AccusingEndpoint {
            id: format!("e{now_ms}"),
            started_at_ms: 7,
        },
        parts: parts.to_vec(),
    };
    quarantine.accuse(now_ms, &accusation);
}

fn state(quarantine: &PartQuarantine, now_ms: u64, part: u64) -> Option<PartState> {
    let mut published = quarantine.published(now_ms);
    let found = published.find(|published| published.part == part);
    found.map(|published| published.state)
}

/// Guards against a shared part that is refused for minutes, because each probe of it holds another
/// part, which crashes endpoints and is never accused.
#[test]
fn probes_that_crash_accuse_their_other_parts() {
    let mut quarantine = PartQuarantine::default();
    let mut now_ms = 0;
    for _ in 0..3 {
        now_ms += EVENT_MS;
        accuse(&mut quarantine, now_ms, &[FIRST]);
    }
    for duration_ms in [QUARANTINE_MS, 3 * QUARANTINE_MS, 9 * QUARANTINE_MS] {
        now_ms += duration_ms;
        assert!(quarantine.grant_probe(now_ms, &[FIRST, BAD]));
        accuse(&mut quarantine, now_ms, &[FIRST, BAD]);
    }
    let states = [BAD, FIRST].map(|part| state(&quarantine, now_ms, part));
    assert_ne!(states[0], None, "three probes crashed: {states:?}");
}

/// Guards against quarantining the sound parts of the probes of a part that does crash endpoints, which
/// other requests share.
#[test]
fn probes_of_a_crashing_part_spare_parts_that_answer() {
    let mut quarantine = PartQuarantine::default();
    let mut now_ms = 0;
    for _ in 0..3 {
        now_ms += EVENT_MS;
        accuse(&mut quarantine, now_ms, &[FIRST, BAD]);
        quarantine.record_sound(now_ms + 1, FIRST);
    }
    let mut duration_ms = QUARANTINE_MS;
    for _ in 0..3 {
        now_ms += duration_ms;
        duration_ms *= 3;
        assert!(quarantine.grant_probe(now_ms, &[FIRST, BAD]));
        accuse(&mut quarantine, now_ms, &[FIRST, BAD]);
        assert!(matches!(
            state(&quarantine, now_ms, BAD),
            Some(PartState::Quarantined { .. })
        ));
        assert!(!matches!(
            state(&quarantine, now_ms, FIRST),
            Some(PartState::Quarantined { .. })
        ));
        quarantine.record_sound(now_ms + 1, FIRST);
        assert_eq!(state(&quarantine, now_ms + 1, FIRST), None);
    }
}

/// Guards against a quarantine of a registry that restarted, which outlives its part's release if
/// the part is accused once more before the next poll.
#[test]
fn a_release_that_is_followed_by_an_accusation_ends_quarantines_of_lost_registries() {
    let registry = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let published = |state| [PublishedPart { part: FIRST, state }];
    let quarantined = published(PartState::Quarantined {
        remaining_ms: 600_000,
    });
    let mut view = PartView::default();
    view.update(0, registry(1), (5, 1), &quarantined);
    view.update(0, registry(2), (6, 1), &quarantined);
    view.update(1, registry(1), (9, 0), &[]);
    view.update(2, registry(2), (6, 3), &published(PartState::Watched));
    assert_eq!(view.admission(2, &[FIRST]), PartAdmission::Admitted);
}
