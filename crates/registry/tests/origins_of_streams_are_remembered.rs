//! The service and software version of a stream can be found for as long as a client may resume it.

use quickcheck::QuickCheck;
use registry::{BegunStreams, StreamOrigin, StreamOrigins};

/// Longest time for which a client waits for a stream.
const CLIENT_TIMEOUT_MS: u64 = 60_000;

fn origin(software_version: u8) -> StreamOrigin {
    StreamOrigin {
        service: "forge-llm".to_owned(),
        software_version: format!("v{software_version}"),
    }
}

fn begun(software_version: u8, request_ids: &[String]) -> BegunStreams {
    BegunStreams {
        origin: origin(software_version),
        request_ids: request_ids.to_vec(),
    }
}

/// Guards against an origin that is dropped while a client may still resume the stream.
#[test]
fn an_origin_is_found_until_clients_have_left() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its arguments by value"
    )]
    fn holds(delays_ms: Vec<u16>, version: u8) -> bool {
        let mut origins = StreamOrigins::default();
        let mut now_ms = 0;
        let mut recorded = Vec::new();
        for (number, delay_ms) in delays_ms.into_iter().enumerate() {
            now_ms += u64::from(delay_ms);
            let id = format!("r{number}");
            origins.record(now_ms, begun(version, std::slice::from_ref(&id)));
            recorded.push((id, now_ms));
            let recent = recorded
                .iter()
                .filter(|(_, recorded_ms)| now_ms - recorded_ms < CLIENT_TIMEOUT_MS);
            for (id, _) in recent {
                if origins.find(now_ms, id) != Some(origin(version)) {
                    return false;
                }
            }
        }
        true
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<u16>, u8) -> bool);
}

/// Guards against a table that grows without end.
#[test]
fn an_origin_is_dropped_later() {
    let mut origins = StreamOrigins::default();
    origins.record(0, begun(1, &["r1".to_owned()]));
    assert_eq!(origins.find(2 * CLIENT_TIMEOUT_MS, "r1"), None);
}

/// Guards against the version of an attempt that another one replaced before the first event.
#[test]
fn the_latest_origin_counts() {
    let mut origins = StreamOrigins::default();
    origins.record(0, begun(1, &["r1".to_owned()]));
    origins.record(CLIENT_TIMEOUT_MS + 1, begun(2, &["r1".to_owned()]));
    assert_eq!(origins.find(CLIENT_TIMEOUT_MS + 2, "r1"), Some(origin(2)));
    assert_eq!(origins.find(CLIENT_TIMEOUT_MS + 2, "r2"), None);
}

/// Guards against a stream that is resumed again and again and whose origin expires meanwhile.
#[test]
fn an_origin_that_is_looked_up_is_kept() {
    let mut origins = StreamOrigins::default();
    origins.record(0, begun(1, &["r1".to_owned()]));
    for number in 1..6 {
        let now_ms = number * CLIENT_TIMEOUT_MS;
        assert_eq!(origins.find(now_ms, "r1"), Some(origin(1)));
    }
}
