use std::fmt::Debug;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};

/// Headers and message formats that clients, endpoints and operators use.
pub trait Dialect: Debug + Send + Sync {
    /// Parses the headers of a client's request.
    fn parse_request_head(&self, headers: &HeaderMap) -> RequestHead;

    /// Replaces the headers that the gateway sets itself, for one attempt at an endpoint.
    fn write_attempt_headers(&self, headers: &mut HeaderMap, attempt: &AttemptHead<'_>);

    /// Parses the status and headers of an endpoint's response.
    fn parse_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Builds the request to the source that copies the KV cache of a running request to the
    /// endpoint at `target`; if `is_last`, the source stops the generation first and keeps its memory.
    fn copy_request(
        &self,
        request_id: &str,
        target: SocketAddr,
        is_last: bool,
    ) -> Request<Full<Bytes>>;

    /// Parses the response to a copy request.
    fn parse_copy_response(&self, status: StatusCode, body: &[u8]) -> CopyOutcome;

    /// Builds the request to the source that frees a copy at both the source and the target.
    fn free_copy_request(&self, handle: &str) -> Request<Full<Bytes>>;
}

/// Values that a client's request headers hold for the gateway.
#[derive(Debug, Clone, Default)]
pub struct RequestHead {
    /// API key of the client.
    pub api_key: Option<String>,
    /// Size of the generation; `None` for plain requests.
    pub generation: Option<GenerationSize>,
    /// Last event that the client received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Ids of the parts of the prompt that other requests may share, in the prompt's order.
    pub prompt_parts: Vec<u64>,
    /// Id of the request, as text.
    pub request_id: Option<String>,
    /// Id of the request that began the stream, if the client resumes one.
    pub resumed_request_id: Option<String>,
    /// Time for which the client waits for the response.
    pub timeout_ms: Option<u64>,
}

/// Prompt and output lengths that a generation request declares.
#[derive(Debug, Clone, Default)]
pub struct GenerationSize {
    /// Client's estimate of the output length.
    pub output_tokens_hint: Option<u64>,
    /// Upper limit of the output length.
    pub output_tokens_max: u64,
    /// Length of the prompt.
    pub prompt_tokens: u64,
}

/// Values that the gateway writes to the headers of one attempt.
#[derive(Debug)]
pub struct AttemptHead<'a> {
    /// KV cache copy that the generation continues from.
    pub copy: Option<&'a CacheCopy>,
    /// Name of the customer, if the route requires a key.
    pub customer: Option<&'a str>,
    /// Id of the endpoint; any other endpoint rejects the request.
    pub endpoint_id: &'a str,
    /// Last event that was delivered, if a stream resumes.
    pub last_event_id: Option<u64>,
    /// Scheduling priority on the engine, 0 first; `None` for plain requests.
    pub priority: Option<u32>,
    /// Time left until the request times out.
    pub remaining_ms: u64,
}

/// Copy of a generation's KV cache on another endpoint.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct CacheCopy {
    /// Handle that the source gave to the copy.
    pub handle: String,
    /// Address of the endpoint that it was copied from.
    pub source: SocketAddr,
}

/// Result of a KV cache copy.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum CopyOutcome {
    /// Another copy of the same generation is in progress.
    Busy,
    /// The copy is complete.
    Copied {
        /// Handle of the copy.
        handle: String,
    },
    /// The copy failed for another reason.
    Failed,
    /// The target has no free memory or cannot be reached.
    NoRoom {
        /// Handle of the generation that the source has stopped and keeps; `None` if it goes on.
        handle: Option<String>,
    },
    /// The source does not run the request.
    NoSuchRun,
    /// The source did not answer.
    Unanswered,
}

impl CopyOutcome {
    /// Label value in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Copied { .. } => "copied",
            Self::Failed => "failed",
            Self::NoRoom { .. } => "no-room",
            Self::NoSuchRun => "no-such-run",
            Self::Unanswered => "unanswered",
        }
    }

    /// Handle of a copy, or of a generation that the source keeps.
    pub(crate) fn into_handle(self) -> Option<String> {
        match self {
            Self::Copied { handle } => Some(handle),
            Self::NoRoom { handle } => handle,
            Self::Busy | Self::Failed | Self::NoSuchRun | Self::Unanswered => None,
        }
    }
}

/// Reason why an endpoint did not run a request.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum Rejection {
    /// The address now belongs to another endpoint.
    Misdirected,
    /// The endpoint says that the request did not run.
    NotRun,
}

/// Values that the head of an endpoint's response holds for the gateway.
#[derive(Debug, Clone, Default)]
pub struct ResponseHead {
    /// Whether the endpoint closes the connection after the response.
    pub closes_connection: bool,
    /// Whether the endpoint leaves and wants no new requests.
    pub is_endpoint_leaving: bool,
    /// Time for which the endpoint keeps an idle connection open.
    pub keep_alive_ms: Option<u64>,
    /// Requests in 1,000 s that the endpoint takes from all instances together, if it names a limit.
    pub limit_per_1000_s: Option<u64>,
    /// Reason why the request did not run and never will; `None` if it may have run.
    pub rejection: Option<Rejection>,
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Time for which the endpoint wants no requests, if it rejected this one.
    pub retry_after_ms: Option<u64>,
}
