use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::REQUEST_BODY_TIMEOUT_MS;
use crate::problem_document::ProblemDocument;

/// Receives a whole body of at most `max_bytes`.
pub(crate) async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, ProblemDocument> {
    let time_limit = Duration::from_millis(REQUEST_BODY_TIMEOUT_MS);
    let collected = timeout(time_limit, Limited::new(body, max_bytes).collect()).await;
    let Ok(collected) = collected else {
        let detail = format!("the body did not arrive within {REQUEST_BODY_TIMEOUT_MS} ms");
        let status = StatusCode::REQUEST_TIMEOUT;
        return Err(ProblemDocument::new(
            status,
            "timeout",
            "Body too slow",
            detail,
        ));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let detail = format!("the body may be {max_bytes} bytes long");
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(ProblemDocument::new(
                status,
                "too-large",
                "Body too large",
                detail,
            ))
        }
        Err(error) => Err(ProblemDocument::bad_request(error.to_string())),
    }
}

/// Parses a JSON body.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ProblemDocument> {
    serde_json::from_slice(body)
        .map_err(|error| ProblemDocument::bad_request(format!("the body: {error}")))
}
