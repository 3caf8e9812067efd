use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Header with the id of a call of a plain service.
pub(crate) const CALL: HeaderName = HeaderName::from_static("gentiancleat-call");

/// Header that names the customer to a plain service.
pub(crate) const CUSTOMER: HeaderName = HeaderName::from_static("gentiancleat-customer");

/// Header of a client's idempotency key.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Header that names the kind of work.
pub(crate) const KIND: HeaderName = HeaderName::from_static("gentiancleat-kind");

/// Header with the outcome of a request: `ran`, `not-run` or `unknown`.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("gentiancleat-outcome");

/// Header with the longest time that a request may take.
pub(crate) const TIMEOUT_MS: HeaderName = HeaderName::from_static("gentiancleat-timeout-ms");

/// Header that marks urgent requests.
pub(crate) const URGENT: HeaderName = HeaderName::from_static("gentiancleat-urgent");

/// Headers that concern one connection only and are not forwarded.
const HOP_BY_HOP: [HeaderName; 11] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Prefix of the headers that this system defines; they are not forwarded.
const RESERVED_PREFIX: &str = "gentiancleat-";

/// Copies the headers that are forwarded.
///
/// Left out are hop-by-hop headers, headers that `connection` names, and headers of this system.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named = connection_names(headers);
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name))
        .filter(|(name, _)| !name.as_str().starts_with(RESERVED_PREFIX))
        .filter(|(name, _)| !named.iter().any(|named| named == name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Whether an endpoint reports that it did not run the request.
pub(crate) fn reports_not_run(headers: &HeaderMap) -> bool {
    headers.get(OUTCOME).map(HeaderValue::as_bytes) == Some(b"not-run")
}

/// Time of an endpoint's `retry-after` header, if it is given in seconds.
pub(crate) fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: u64 = text(headers, &hyper::header::RETRY_AFTER)?.parse().ok()?;
    seconds.checked_mul(1_000)
}

/// The client's headers that a plain service receives, without the bearer key for the entry.
pub(crate) fn service_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = end_to_end_headers(headers);
    headers.remove(AUTHORIZATION);
    headers
}

pub(crate) fn static_value(text: &'static str) -> HeaderValue {
    HeaderValue::from_static(text)
}

/// The value of a header; none if it is missing or not visible ASCII.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn connection_names(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
