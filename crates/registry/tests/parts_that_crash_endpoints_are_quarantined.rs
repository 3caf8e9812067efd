//! A part of prompts that crashes endpoints is quarantined soon, and sound parts beside it are not.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use registry::{
    Accusation, AccusingEndpoint, PartChange, PartQuarantine, PartState, PublishedPart,
};

const BAD: u64 = 0xbad;
const FIRST: u64 = 0xa;
const MIDDLE: u64 = 0xb;

/// Time after which another crash is an event of its own.
const EVENT_MS: u64 = 250;

/// Duration of a first quarantine.
const QUARANTINE_MS: u64 = 20_000;

/// Time for which a probe keeps others away.
const PROBE_MS: u64 = 10_000;

/// Time after which a part that is no longer accused is forgotten.
const RETENTION_MS: u64 = 600_000;

/// Parts that are remembered at most.
const PARTS_MAX: usize = 1_024;

/// Quarantine with the crashes of numbered endpoints.
#[derive(Default)]
struct Crashes {
    endpoint_number: u64,
    quarantine: PartQuarantine,
}

impl Crashes {
    /// Another endpoint crashes under a request with these parts.
    fn crash(&mut self, now_ms: u64, parts: &[u64]) -> Vec<PartChange> {
        self.endpoint_number += 1;
        self.crash_again(now_ms, parts)
    }

    /// A request with these parts accuses the endpoint of the last crash too.
    fn crash_again(&mut self, now_ms: u64, parts: &[u64]) -> Vec<PartChange> {
        let accusation = Accusation {
            endpoint: AccusingEndpoint {
                id: format!("e{}", self.endpoint_number),
                started_at_ms: 7,
            },
            parts: parts.to_vec(),
        };
        self.quarantine.accuse(now_ms, &accusation)
    }

    fn state(&self, now_ms: u64, part: u64) -> Option<PartState> {
        let mut published = self.quarantine.published(now_ms);
        let found: Option<PublishedPart> = published.find(|published| published.part == part);
        found.map(|published| published.state)
    }

    fn is_quarantined(&self, now_ms: u64, part: u64) -> bool {
        let state = self.state(now_ms, part);
        matches!(state, Some(PartState::Quarantined { .. }))
    }
}

/// Quarantine that holds `BAD` from the returned time on.
fn quarantined() -> (Crashes, u64) {
    let mut crashes = Crashes::default();
    for event in 0..3 {
        crashes.crash(event * EVENT_MS, &[FIRST, BAD]);
    }
    (crashes, 2 * EVENT_MS)
}

/// Guards against a part that crashes endpoint after endpoint.
#[test]
fn three_crashes_quarantine_a_part() {
    let mut crashes = Crashes::default();
    crashes.crash(0, &[FIRST, BAD]);
    crashes.crash(EVENT_MS, &[MIDDLE, BAD]);
    assert_eq!(crashes.state(EVENT_MS, BAD), Some(PartState::Watched));
    let changes = crashes.crash(2 * EVENT_MS, &[FIRST, BAD]);
    let quarantined = PartChange::Quarantined {
        crashed_probes: 0,
        duration_ms: QUARANTINE_MS,
        endpoint_ids: ["e1", "e2", "e3"].map(str::to_owned).to_vec(),
        part: BAD,
    };
    assert!(changes.contains(&quarantined));
    let remaining_ms = QUARANTINE_MS - 100;
    let expected = PartState::Quarantined { remaining_ms };
    assert_eq!(crashes.state(2 * EVENT_MS + 100, BAD), Some(expected));
}

/// Guards against a quarantine of what runs on endpoints that lose their power together.
#[test]
fn crashes_at_one_time_count_once() {
    let mut crashes = Crashes::default();
    for endpoint in 0..12 {
        crashes.crash(endpoint * 20, &[FIRST]);
    }
    assert_eq!(crashes.state(240, FIRST), Some(PartState::Watched));
}

/// Guards against many requests with one part that accuse it of one crash.
#[test]
fn an_endpoint_accuses_a_part_once() {
    let mut crashes = Crashes::default();
    crashes.crash(0, &[FIRST]);
    for event in 1..9 {
        crashes.crash_again(event * EVENT_MS, &[FIRST, FIRST]);
    }
    assert_eq!(crashes.state(9 * EVENT_MS, FIRST), Some(PartState::Watched));
}

/// Guards against refusing the sound requests that share a first part with those that crash
/// endpoints, wherever the bad part stands.
#[test]
fn the_part_of_all_crashes_is_quarantined() {
    for parts in [[FIRST, BAD], [BAD, FIRST]] {
        let mut crashes = Crashes::default();
        crashes.crash(0, &[BAD, MIDDLE]);
        for event in 1..4 {
            crashes.crash(event * EVENT_MS, &parts);
        }
        assert!(crashes.is_quarantined(4 * EVENT_MS, BAD));
        assert!(!crashes.is_quarantined(4 * EVENT_MS, FIRST));
    }
}

/// Guards against suspecting the part that answered soundly between the crashes.
#[test]
fn of_equal_parts_the_unsound_one_is_quarantined() {
    let mut crashes = Crashes::default();
    crashes.crash(0, &[FIRST]);
    crashes.quarantine.record_sound(10, FIRST);
    for event in 1..4 {
        crashes.crash(event * EVENT_MS, &[BAD, FIRST]);
    }
    assert!(crashes.is_quarantined(4 * EVENT_MS, BAD));
    assert!(!crashes.is_quarantined(4 * EVENT_MS, FIRST));
}

/// Guards against a bad part that goes on, after a sound one was suspected in its place.
#[test]
fn the_next_crash_corrects_a_wrong_suspicion() {
    let mut crashes = Crashes::default();
    for event in 0..3 {
        crashes.crash(event * EVENT_MS, &[BAD, FIRST]);
    }
    assert!(crashes.is_quarantined(3 * EVENT_MS, FIRST));
    crashes.crash(3 * EVENT_MS, &[BAD, MIDDLE]);
    assert!(crashes.is_quarantined(3 * EVENT_MS, BAD));
    assert_eq!(crashes.state(3 * EVENT_MS, FIRST), None);
    assert_eq!(crashes.state(3 * EVENT_MS, MIDDLE), None);
}

/// Guards against blaming the sound requests that ran beside one with a quarantined part.
#[test]
fn explained_crashes_accuse_no_other_part() {
    let mut crashes = Crashes::default();
    for event in 0..3 {
        crashes.crash(event * EVENT_MS, &[BAD]);
        if event < 2 {
            crashes.crash_again(event * EVENT_MS, &[MIDDLE]);
        }
    }
    assert_eq!(crashes.state(3 * EVENT_MS, MIDDLE), None);
    crashes.crash_again(3 * EVENT_MS, &[MIDDLE]);
    for event in 3..9 {
        crashes.crash(event * EVENT_MS, &[FIRST, BAD]);
        crashes.crash_again(event * EVENT_MS, &[MIDDLE]);
    }
    assert_eq!(crashes.state(9 * EVENT_MS, FIRST), None);
    assert_eq!(crashes.state(9 * EVENT_MS, MIDDLE), None);
}

/// Guards against a wrong suspicion that stays: a sound answer ends it at once.
#[test]
fn a_sound_answer_ends_a_quarantine() {
    let (mut crashes, now_ms) = quarantined();
    let released = PartChange::Released {
        is_explained: false,
        is_quarantined: true,
        part: BAD,
    };
    let change = crashes.quarantine.record_sound(now_ms + 1, BAD);
    assert_eq!(change, Some(released));
    assert_eq!(crashes.state(now_ms + 1, BAD), None);
    crashes.crash(now_ms + 2, &[BAD]);
    assert_eq!(crashes.state(now_ms + 2, BAD), Some(PartState::Watched));
}

/// Guards against many requests that try a part at once after its quarantine.
#[test]
fn one_probe_at_a_time_is_granted() {
    let (mut crashes, started_ms) = quarantined();
    let end_ms = started_ms + QUARANTINE_MS;
    let quarantine = &mut crashes.quarantine;
    assert!(!quarantine.grant_probe(end_ms - 1, &[FIRST, BAD]));
    assert!(quarantine.grant_probe(end_ms, &[FIRST, BAD]));
    assert!(!quarantine.grant_probe(end_ms + 1, &[BAD]));
    assert!(quarantine.grant_probe(end_ms + 1, &[FIRST, MIDDLE]));
    assert!(quarantine.grant_probe(end_ms + PROBE_MS, &[BAD]));
}

/// Guards against probes that crash an endpoint every few seconds for as long as the part comes.
#[test]
fn each_probe_that_crashes_lengthens_the_quarantine() {
    let (mut crashes, mut now_ms) = quarantined();
    let mut expected_ms = QUARANTINE_MS;
    for _ in 0..6 {
        now_ms += expected_ms;
        expected_ms = (expected_ms * 3).min(600_000);
        assert!(crashes.quarantine.grant_probe(now_ms, &[BAD]));
        crashes.crash(now_ms, &[FIRST, BAD]);
        let remaining_ms = expected_ms;
        let expected = PartState::Quarantined { remaining_ms };
        assert_eq!(crashes.state(now_ms, BAD), Some(expected));
        // A straggler that was sent before changes nothing.
        crashes.crash(now_ms + 1, &[BAD]);
        let remaining_ms = expected_ms - 1;
        let expected = PartState::Quarantined { remaining_ms };
        assert_eq!(crashes.state(now_ms + 1, BAD), Some(expected));
    }
}

/// Guards against a suspicion that outlives its cause.
#[test]
fn a_part_that_is_no_longer_accused_is_forgotten() {
    let (mut crashes, now_ms) = quarantined();
    crashes.crash(now_ms + EVENT_MS, &[MIDDLE]);
    let version = crashes.quarantine.version();
    let end_ms = now_ms + QUARANTINE_MS + RETENTION_MS;
    crashes.quarantine.expire(end_ms - 1);
    assert!(crashes.is_quarantined(end_ms - 1, BAD));
    assert_eq!(crashes.state(end_ms - 1, MIDDLE), None);
    assert!(crashes.quarantine.version() > version);
    crashes.quarantine.expire(end_ms);
    assert_eq!(crashes.quarantine.published(end_ms).count(), 0);
}

/// Guards against any number of accused parts in memory, and against losing a quarantined one to
/// them.
#[test]
fn memory_is_bounded_and_quarantined_parts_stay() {
    let (mut crashes, now_ms) = quarantined();
    for part in 0x1_000..0x4_000 {
        crashes.crash(now_ms + part, &[part]);
    }
    let now_ms = now_ms + 0x4_000;
    assert_eq!(crashes.quarantine.published(now_ms).count(), PARTS_MAX);
    assert!(crashes.is_quarantined(now_ms, BAD));
    assert_eq!(crashes.state(now_ms, 0x3_fff), Some(PartState::Watched));
}

/// Crash or sound answer after a time, of requests with these parts.
#[derive(Debug, Clone)]
struct Step {
    delay_ms: u64,
    is_bad_part_included: bool,
    is_same_endpoint: bool,
    parts: Vec<u64>,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let parts = Vec::<u8>::arbitrary(g).into_iter().take(4);
        Self {
            delay_ms: u64::from(u16::arbitrary(g)) % 2_000,
            is_bad_part_included: bool::arbitrary(g),
            is_same_endpoint: bool::arbitrary(g),
            parts: parts.map(|part| u64::from(part % 12)).collect(),
        }
    }
}

/// Guards against a quarantine of a part that answers soundly after every second crash.
#[test]
fn a_part_with_sound_answers_is_never_quarantined() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut crashes = Crashes::default();
        let mut now_ms = 0;
        let mut crashes_since_sound = 0;
        steps.into_iter().all(|step| {
            now_ms += step.delay_ms;
            let mut parts = step.parts;
            if step.is_bad_part_included {
                parts.insert(parts.len() / 2, FIRST + 100);
            }
            if step.is_same_endpoint {
                crashes.crash_again(now_ms, &parts);
            } else {
                crashes.crash(now_ms, &parts);
            }
            crashes_since_sound += u64::from(step.is_bad_part_included);
            if crashes_since_sound == 2 {
                crashes.quarantine.record_sound(now_ms, FIRST + 100);
                crashes_since_sound = 0;
            }
            !crashes.is_quarantined(now_ms, FIRST + 100)
        })
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Guards against a bad part that is not quarantined, because sound parts of the same requests are
/// suspected in its place or hide it.
#[test]
fn a_part_that_always_crashes_is_quarantined_in_time() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut crashes = Crashes::default();
        let mut now_ms = 0;
        let mut crash_count = 0;
        steps.into_iter().all(|step| {
            now_ms += step.delay_ms;
            if !step.is_bad_part_included {
                for &part in &step.parts {
                    crashes.quarantine.record_sound(now_ms, part);
                }
                return true;
            }
            // Requests with a quarantined part are refused.
            let mut parts = step.parts;
            if parts
                .iter()
                .any(|&part| crashes.is_quarantined(now_ms, part))
            {
                return true;
            }
            parts.insert(parts.len() / 2, BAD);
            now_ms += EVENT_MS;
            crash_count += 1;
            crashes.crash(now_ms, &parts);
            crash_count < 5 || crashes.is_quarantined(now_ms, BAD)
        })
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<Step>) -> bool);
}
