use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Header that numbers a call of a plain service.
pub(crate) const CALL: HeaderName = HeaderName::from_static("gentiancleat-call");

/// Header that names the customer to a plain service.
pub(crate) const CUSTOMER: HeaderName = HeaderName::from_static("gentiancleat-customer");

/// Header of a caller's idempotency key.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Header that names the kind of work.
pub(crate) const KIND: HeaderName = HeaderName::from_static("gentiancleat-kind");

/// Header that says whether a request ran.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("gentiancleat-outcome");

/// Header that bounds the time of a request.
pub(crate) const TIMEOUT_MS: HeaderName = HeaderName::from_static("gentiancleat-timeout-ms");

/// Header of urgent requests.
pub(crate) const URGENT: HeaderName = HeaderName::from_static("gentiancleat-urgent");

/// Headers that concern one connection only.
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

/// Prefix of the headers that the system itself gives and takes.
const OWN_PREFIX: &str = "gentiancleat-";

/// Copies the headers that may pass from one side to the other.
///
/// Left out are headers of one connection, headers that `connection` names, and our own.
pub(crate) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named = connection_names(headers);
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name))
        .filter(|(name, _)| !name.as_str().starts_with(OWN_PREFIX))
        .filter(|(name, _)| !named.iter().any(|named| named == name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Whether an endpoint says that it ran nothing.
pub(crate) fn says_not_run(headers: &HeaderMap) -> bool {
    headers.get(OUTCOME).map(HeaderValue::as_bytes) == Some(b"not-run")
}

/// When an endpoint says that a repeat may succeed, in whole seconds by its header.
pub(crate) fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: u64 = text(headers, &hyper::header::RETRY_AFTER)?.parse().ok()?;
    seconds.checked_mul(1_000)
}

/// The caller's headers that a plain service receives; the caller's key is between it and us.
pub(crate) fn to_service(headers: &HeaderMap) -> HeaderMap {
    let mut headers = forwarded(headers);
    headers.remove(AUTHORIZATION);
    headers
}

/// A fixed header value.
pub(crate) fn value(text: &'static str) -> HeaderValue {
    HeaderValue::from_static(text)
}

/// A header as text.
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
