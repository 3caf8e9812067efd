//! Bytes of a stream in any pieces give its whole events once, in order, and nothing else.

use bytes::Bytes;
use gateway::EventReader;
use quickcheck::QuickCheck;

fn stream(events: u64) -> Vec<u8> {
    let events = (0..events).map(|id| format!("id: {id}\ndata: piece {id}\n\n"));
    events.collect::<String>().into_bytes()
}

#[test]
fn any_pieces_give_the_same_bytes() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands its arguments over"
    )]
    fn holds(cuts: Vec<u8>, events: u8) -> bool {
        let whole = stream(u64::from(events));
        let mut reader = EventReader::default();
        let mut passed = Vec::new();
        let mut rest = whole.as_slice();
        for cut in cuts {
            let (piece, later) = rest.split_at(usize::from(cut).min(rest.len()));
            passed.extend_from_slice(&reader.push(Bytes::copy_from_slice(piece)));
            rest = later;
        }
        passed.extend_from_slice(&reader.push(Bytes::copy_from_slice(rest)));
        let last = u64::from(events).checked_sub(1);
        passed == whole && !reader.has_partial_event() && reader.last_event_id() == last
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn an_event_that_broke_off_leaves_no_trace() {
    let mut reader = EventReader::default();
    let passed = reader.push(Bytes::from_static(b"id: 4\ndata: x\n\nid: 5\nda"));
    assert_eq!(passed, "id: 4\ndata: x\n\n");
    assert!(reader.has_partial_event());
    reader.discard_partial();
    let passed = reader.push(Bytes::from_static(b"id: 5\ndata: y\n\n"));
    assert_eq!(passed, "id: 5\ndata: y\n\n");
    assert_eq!((reader.event_count(), reader.last_event_id()), (2, Some(5)));
}
