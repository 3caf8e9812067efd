use std::mem;

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::select;

use super::RETRY_AFTER_MS;
use crate::core::{ClaimState, FailurePoint, Outcome};
use crate::dependencies::{PermitEnd, StoredHeader, StoredResponse};
use crate::http::body::ResponseBody;
use crate::http::exchange::Exchange;
use crate::http::headers::{self, OUTCOME};
use crate::http::problem::Problem;
use crate::http::response_sender::ResponseSender;

/// Answer of the endpoint, of which the first part may be read already.
pub(super) struct EndpointResponse {
    pub(super) exchange: Exchange,
    pub(super) is_whole: bool,
    pub(super) read: Bytes,
    pub(super) received_bytes: u64,
}

/// Head of the answer to the caller.
pub(super) fn answered(exchange: &Exchange) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = exchange.status();
    *head.headers_mut() = headers::forwarded(exchange.response().headers());
    head.headers_mut().insert(OUTCOME, headers::value("ran"));
    head
}

/// Reads up to `bytes_max` of the body.
pub(super) async fn collect(
    mut exchange: Exchange,
    bytes_max: usize,
) -> Result<EndpointResponse, FailurePoint> {
    let mut read = BytesMut::new();
    let mut is_whole = false;
    while read.len() < bytes_max && !is_whole {
        match exchange.chunk().await? {
            Some(bytes) => read.extend_from_slice(&bytes),
            None => is_whole = true,
        }
    }
    Ok(EndpointResponse {
        exchange,
        is_whole,
        received_bytes: read.len() as u64,
        read: read.freeze(),
    })
}

pub(super) fn conflict(claim: ClaimState) -> Problem {
    match claim {
        ClaimState::InProgress => Problem::bad(
            StatusCode::CONFLICT,
            "in-progress",
            "another request with this key is in progress",
        )
        .with_outcome(Outcome::Unknown)
        .with_retry_after_ms(RETRY_AFTER_MS),
        ClaimState::Mismatch => Problem::bad(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key-reused",
            "the key was used with another request",
        ),
        ClaimState::Unavailable { retry_after_ms } => Problem::bad(
            StatusCode::SERVICE_UNAVAILABLE,
            "claims-unavailable",
            "the key cannot be claimed now",
        )
        .with_retry_after_ms(retry_after_ms),
        ClaimState::Finished | ClaimState::Granted | ClaimState::Unknown => Problem::bad(
            StatusCode::CONFLICT,
            "unknown",
            "whether the call with this key ran cannot be known",
        )
        .with_outcome(Outcome::Unknown),
    }
}

/// Hands pieces to the caller until the body ends.
pub(super) async fn relay(
    response_sender: &mut ResponseSender,
    answer: &mut EndpointResponse,
) -> PermitEnd {
    let read = mem::take(&mut answer.read);
    let mut next = (!read.is_empty()).then_some(read);
    loop {
        if let Some(bytes) = next.take()
            && !response_sender.data(bytes).await
        {
            return PermitEnd::Cancelled;
        }
        if answer.is_whole {
            return PermitEnd::Completed;
        }
        let chunk = select! {
            biased;
            () = response_sender.gone() => return PermitEnd::Cancelled,
            chunk = answer.exchange.chunk() => chunk,
        };
        match chunk {
            Ok(Some(bytes)) => {
                answer.received_bytes += bytes.len() as u64;
                next = Some(bytes);
            }
            Ok(None) => answer.is_whole = true,
            Err(_) => return PermitEnd::Failed,
        }
    }
}

pub(super) fn replayed(stored: StoredResponse) -> Response<ResponseBody> {
    let Some(body) = stored.body else {
        let detail = format!(
            "the call ran and answered with status {}; its answer was too large to be stored",
            stored.status
        );
        return Problem::bad(StatusCode::CONFLICT, "answer-not-stored", detail)
            .with_outcome(Outcome::Ran)
            .response();
    };
    let mut response = Response::new(ResponseBody::Whole(Full::new(body)));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for header in stored.headers {
        if let (Ok(name), Ok(value)) = (
            header.name.as_str().parse::<HeaderName>(),
            HeaderValue::from_bytes(&header.value),
        ) {
            response.headers_mut().append(name, value);
        }
    }
    response
        .headers_mut()
        .insert(OUTCOME, headers::value("ran"));
    response
}

pub(super) fn stored(answer: &EndpointResponse) -> StoredResponse {
    let headers = headers::forwarded(answer.exchange.response().headers());
    StoredResponse {
        body: answer.is_whole.then(|| answer.read.clone()),
        headers: headers
            .iter()
            .map(|(name, value)| StoredHeader {
                name: name.as_str().to_owned(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            })
            .collect(),
        status: answer.exchange.status().as_u16(),
    }
}
