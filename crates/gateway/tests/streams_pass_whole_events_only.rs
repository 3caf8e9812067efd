//! However a stream is split, each whole event is forwarded once and in order, and nothing else.

use bytes::Bytes;
use gateway::EventReader;
use quickcheck::QuickCheck;

fn stream(events: u64) -> Vec<u8> {
    let events = (0..events).map(|id| format!("id: {id}\ndata: piece {id}\n\n"));
    events.collect::<String>().into_bytes()
}

#[test]
fn any_split_gives_the_same_bytes() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its arguments by value"
    )]
    fn holds(cuts: Vec<u8>, events: u8) -> bool {
        let whole = stream(u64::from(events));
        let mut reader = EventReader::default();
        let mut forwarded = Vec::new();
        let mut rest = whole.as_slice();
        for cut in cuts {
            let (piece, later) = rest.split_at(usize::from(cut).min(rest.len()));
            forwarded.extend_from_slice(&reader.push(Bytes::copy_from_slice(piece)));
            rest = later;
        }
        forwarded.extend_from_slice(&reader.push(Bytes::copy_from_slice(rest)));
        let last = u64::from(events).checked_sub(1);
        forwarded == whole && !reader.has_partial_event() && reader.last_event_id() == last
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn a_discarded_partial_event_is_not_forwarded() {
    let mut reader = EventReader::default();
    let forwarded = reader.push(Bytes::from_static(b"id: 4\ndata: x\n\nid: 5\nda"));
    assert_eq!(forwarded, "id: 4\ndata: x\n\n");
    assert!(reader.has_partial_event());
    reader.discard_partial();
    let forwarded = reader.push(Bytes::from_static(b"id: 5\ndata: y\n\n"));
    assert_eq!(forwarded, "id: 5\ndata: y\n\n");
    assert_eq!((reader.event_count(), reader.last_event_id()), (2, Some(5)));
}

/// Guards against events that reach a client twice when another endpoint continues a stream from a
/// position before the last forwarded event.
#[test]
fn events_before_the_continuation_are_skipped() {
    fn holds(forwarded_count: u8, repeated_count: u8, chunk_length: u8) -> bool {
        let forwarded_count = u64::from(forwarded_count);
        let whole = stream(forwarded_count + 5);
        let mut reader = EventReader::default();
        let mut forwarded = reader.push(Bytes::from(stream(forwarded_count))).to_vec();
        reader.skip_forwarded_events();
        let first = forwarded_count.saturating_sub(u64::from(repeated_count));
        let continuation = &whole[stream(first).len()..];
        for chunk in continuation.chunks(usize::from(chunk_length).max(1)) {
            forwarded.extend_from_slice(&reader.push(Bytes::copy_from_slice(chunk)));
        }
        forwarded == whole && reader.event_count() == forwarded_count + 5
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(u8, u8, u8) -> bool);
}

/// Guards against a final event without an id that is lost after a change of endpoints.
#[test]
fn events_without_an_id_are_not_taken_for_repeated_ones() {
    let mut reader = EventReader::default();
    reader.push(Bytes::from_static(b"id: 0\ndata: a\n\n"));
    reader.skip_forwarded_events();
    let forwarded = reader.push(Bytes::from_static(b"data: [DONE]\n\n"));
    assert_eq!(forwarded, "data: [DONE]\n\n");
}

/// Guards against events that are skipped although none was forwarded before a change of endpoints.
#[test]
fn nothing_is_skipped_if_nothing_was_forwarded() {
    let mut reader = EventReader::default();
    reader.skip_forwarded_events();
    reader.push(Bytes::from_static(b"id: 0\ndata: a\n\n"));
    let forwarded = reader.push(Bytes::from_static(b"data: note\n\n"));
    assert_eq!(forwarded, "data: note\n\n");
}

/// Guards against bytes that are no event of an answer and are forwarded although no event follows,
/// or lost although one does.
#[test]
fn what_is_no_event_is_kept_back_until_an_event_follows() {
    const KEPT_BACK: [&str; 5] = [
        ":\n\n",
        "\n",
        "data: x\n\n",
        "id: x\ndata: x\n\n",
        "id: 0\ndata: repeated\r\n\r\n",
    ];
    fn holds(pieces: Vec<u8>, chunk_length: u8) -> bool {
        let (mut whole, mut next_id, mut events_end) = (Vec::new(), 0_u64, 0);
        for piece in pieces {
            match KEPT_BACK.get(usize::from(piece) % (KEPT_BACK.len() + 2)) {
                Some(kept_back) if next_id > 0 => whole.extend_from_slice(kept_back.as_bytes()),
                _ => {
                    whole.extend_from_slice(format!("id: {next_id}\ndata: y\n\n").as_bytes());
                    next_id += 1;
                    events_end = whole.len();
                }
            }
        }
        let mut reader = EventReader::default();
        let mut forwarded = Vec::new();
        for chunk in whole.chunks(usize::from(chunk_length).max(1)) {
            forwarded.extend_from_slice(&reader.push_until_event(Bytes::copy_from_slice(chunk)));
        }
        let is_kept_back = forwarded == whole[..events_end];
        forwarded.extend_from_slice(&reader.take_held());
        is_kept_back
            && whole.starts_with(&forwarded)
            && reader.last_event_id() == next_id.checked_sub(1)
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(Vec<u8>, u8) -> bool);
}
