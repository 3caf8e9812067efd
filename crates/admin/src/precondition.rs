use hyper::HeaderMap;
use hyper::header::{HeaderValue, IF_MATCH, IF_NONE_MATCH};
use table::Revision;

use crate::problem_document::ProblemDocument;

/// Formats a revision as an entity tag.
pub(crate) fn entity_tag(revision: Revision) -> HeaderValue {
    let tag = format!("\"{revision}\"");
    HeaderValue::from_str(&tag).expect("digits in quotes are a header value")
}

/// Parses the revision that a change expects, from `if-match` or `if-none-match`.
pub(crate) fn expected_revision(headers: &HeaderMap) -> Result<Revision, ProblemDocument> {
    if let Some(tag) = headers.get(IF_MATCH) {
        return parse_entity_tag(tag);
    }
    match headers.get(IF_NONE_MATCH).map(HeaderValue::as_bytes) {
        Some(b"*") => Ok(Revision::ABSENT),
        Some(_) => Err(ProblemDocument::bad_request("if-none-match must be *")),
        None => Err(ProblemDocument::precondition_required()),
    }
}

/// Whether `if-none-match` says that the client already has the revision.
pub(crate) fn client_has_revision(headers: &HeaderMap, revision: Revision) -> bool {
    headers
        .get(IF_NONE_MATCH)
        .is_some_and(|tag| *tag == entity_tag(revision))
}

fn parse_entity_tag(tag: &HeaderValue) -> Result<Revision, ProblemDocument> {
    let digits = tag
        .to_str()
        .ok()
        .and_then(|tag| tag.strip_prefix('"')?.strip_suffix('"'))
        .filter(|digits| digits.bytes().all(|byte| byte.is_ascii_digit()));
    let revision = digits.and_then(|digits| digits.parse().ok());
    let detail = "if-match must be one revision in quotes, as in the etag";
    revision.ok_or_else(|| ProblemDocument::bad_request(detail))
}
