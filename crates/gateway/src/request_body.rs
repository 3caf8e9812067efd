//! Reads a request body within the document's length limit and the request's deadline.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::outcome::{Outcome, RequestError};

/// Body of a client's request.
#[derive(Debug)]
pub(crate) struct RequestBody {
    pub(crate) bytes_max: usize,
    pub(crate) deadline: Instant,
    pub(crate) incoming: Incoming,
    /// Whether the client waits for `100 Continue`, which hyper sends at the first read.
    pub(crate) is_continue_expected: bool,
}

impl RequestBody {
    pub(crate) async fn read(&mut self) -> Result<Bytes, RequestError> {
        self.is_continue_expected = false;
        let bytes_max = self.bytes_max;
        let collected = Limited::new(&mut self.incoming, bytes_max).collect();
        match timeout_at(self.deadline, collected).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestError::new(
                Outcome::Malformed,
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("the body is longer than {bytes_max} bytes"),
            )),
            Ok(Err(error)) => Err(RequestError::new(
                Outcome::Malformed,
                StatusCode::BAD_REQUEST,
                error.to_string(),
            )),
            Err(_) => Err(RequestError::timed_out("the body did not come in time")),
        }
    }

    /// Reads the rest within the same limits and returns whether its end was reached.
    ///
    /// hyper closes the connection if a response is written before the end of the request body. The
    /// rest of the body then resets the connection, and the client may lose the response.
    pub(crate) async fn discard(&mut self) -> bool {
        if self.is_continue_expected {
            return false;
        }
        let mut rest = Limited::new(&mut self.incoming, self.bytes_max);
        let discarded = async {
            while let Some(frame) = rest.frame().await {
                if frame.is_err() {
                    return false;
                }
            }
            true
        };
        timeout_at(self.deadline, discarded).await.unwrap_or(false)
    }
}
