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

/// Response of an endpoint, with the part of its body that was read.
pub(super) struct EndpointResponse {
    /// Part of the body that was read and is not sent yet.
    pub(super) buffered: Bytes,
    pub(super) exchange: Exchange,
    /// Whether the whole body was read.
    pub(super) is_complete: bool,
    pub(super) received_bytes: u64,
}

/// Head of the response to the client.
pub(super) fn response_head(exchange: &Exchange) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = exchange.status();
    *head.headers_mut() = headers::end_to_end_headers(exchange.response().headers());
    head.headers_mut()
        .insert(OUTCOME, headers::static_value("ran"));
    head
}

/// Reads the body until it ends or `buffered_bytes` are read.
pub(super) async fn read_response(
    mut exchange: Exchange,
    buffered_bytes: usize,
) -> Result<EndpointResponse, FailurePoint> {
    let mut buffered = BytesMut::new();
    let mut is_complete = false;
    while buffered.len() < buffered_bytes && !is_complete {
        match exchange.next_chunk().await? {
            Some(bytes) => buffered.extend_from_slice(&bytes),
            None => is_complete = true,
        }
    }
    Ok(EndpointResponse {
        exchange,
        is_complete,
        received_bytes: buffered.len() as u64,
        buffered: buffered.freeze(),
    })
}

pub(super) fn conflict_problem(state: ClaimState) -> Problem {
    match state {
        ClaimState::InProgress => Problem::new(
            StatusCode::CONFLICT,
            "in-progress",
            "another request with this key is in progress",
        )
        .with_outcome(Outcome::Unknown)
        .with_retry_after_ms(RETRY_AFTER_MS),
        ClaimState::Mismatch => Problem::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key-reused",
            "the key was used with another request",
        ),
        ClaimState::Unavailable { retry_after_ms } => Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "claims-unavailable",
            "the key cannot be claimed now",
        )
        .with_retry_after_ms(retry_after_ms),
        ClaimState::Finished | ClaimState::Granted | ClaimState::Unknown => Problem::new(
            StatusCode::CONFLICT,
            "unknown",
            "whether the call with this key ran cannot be known",
        )
        .with_outcome(Outcome::Unknown),
    }
}

/// Sends the body to the client chunk by chunk until it ends or the client disconnects.
pub(super) async fn relay_body(
    response_sender: &mut ResponseSender,
    response: &mut EndpointResponse,
) -> PermitEnd {
    let buffered = mem::take(&mut response.buffered);
    let mut chunk = (!buffered.is_empty()).then_some(buffered);
    loop {
        if let Some(bytes) = chunk.take()
            && !response_sender.send_bytes(bytes).await
        {
            return PermitEnd::Cancelled;
        }
        if response.is_complete {
            return PermitEnd::Completed;
        }
        let received = select! {
            biased;
            () = response_sender.disconnected() => return PermitEnd::Cancelled,
            received = response.exchange.next_chunk() => received,
        };
        match received {
            Ok(Some(bytes)) => {
                response.received_bytes += bytes.len() as u64;
                chunk = Some(bytes);
            }
            Ok(None) => response.is_complete = true,
            Err(_) => return PermitEnd::Failed,
        }
    }
}

pub(super) fn replay_response(stored: StoredResponse) -> Response<ResponseBody> {
    let Some(body) = stored.body else {
        let detail = format!(
            "the call ran and answered with status {}; its answer was too large to be stored",
            stored.status
        );
        return Problem::new(StatusCode::CONFLICT, "answer-not-stored", detail)
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
        .insert(OUTCOME, headers::static_value("ran"));
    response
}

pub(super) fn stored_response(response: &EndpointResponse) -> StoredResponse {
    let headers = headers::end_to_end_headers(response.exchange.response().headers());
    StoredResponse {
        body: response.is_complete.then(|| response.buffered.clone()),
        headers: headers
            .iter()
            .map(|(name, value)| StoredHeader {
                name: name.as_str().to_owned(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            })
            .collect(),
        status: response.exchange.status().as_u16(),
    }
}
