use crate::{AppendEntries, Envelope, Message, SnapshotChunk, Term};

/// Greatest term accepted in a message; far above any term that elections can reach.
const TERM_MAX: Term = Term(u64::MAX / 2);

/// Whether a replica could have sent this message; malformed messages are ignored.
pub(crate) fn is_well_formed(envelope: &Envelope) -> bool {
    let is_content_well_formed = match &envelope.message {
        Message::AppendEntries(append) => is_append_well_formed(append, envelope.term),
        Message::SnapshotChunk(chunk) => is_chunk_well_formed(chunk, envelope.term),
        _ => true,
    };
    envelope.term <= TERM_MAX && is_content_well_formed
}

fn is_append_well_formed(append: &AppendEntries, term: Term) -> bool {
    let previous = append.previous_index.0;
    let Some(last) = previous.checked_add(append.entries.len() as u64) else {
        return false;
    };
    let are_consecutive = append
        .entries
        .iter()
        .zip(previous + 1..=last)
        .all(|(entry, index)| entry.index.0 == index);
    let mut terms = vec![append.previous_term];
    terms.extend(append.entries.iter().map(|entry| entry.term));
    terms.push(term);
    are_consecutive && terms.is_sorted()
}

fn is_chunk_well_formed(chunk: &SnapshotChunk, term: Term) -> bool {
    let end = chunk.offset_bytes.checked_add(chunk.data.len() as u64);
    chunk.index.0 > 0 && chunk.term <= term && end.is_some_and(|end| end <= chunk.length_bytes)
}
