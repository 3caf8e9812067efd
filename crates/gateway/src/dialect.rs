use std::fmt::Debug;
use std::net::SocketAddr;

use bytes::Bytes;
use catalog::Catalog;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};

/// Names and formats that clients, endpoints and operators use.
pub trait Dialect: Debug + Send + Sync {
    /// Reads what the system needs to know of a client's request.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;

    /// Replaces the headers that are the system's to set, for one sending to an endpoint.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads what the system needs to know of an endpoint's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Request that copies a run to another endpoint while it goes on.
    fn copy_request(&self, run: &str, to: SocketAddr) -> Request<Full<Bytes>>;

    /// Reads the answer to a copy.
    fn read_copy(&self, status: StatusCode, body: &[u8]) -> CopyOutcome;

    /// Request that frees a copy at the source, and with it the one at the destination.
    fn free_request(&self, handle: &str) -> Request<Full<Bytes>>;

    /// Reads a configuration document.
    ///
    /// # Errors
    ///
    /// Says why it gives no catalog.
    fn read_document(&self, bytes: &[u8]) -> Result<Catalog, String>;
}

/// What a client's request says of itself.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// Time that the client waits.
    pub budget_ms: Option<u64>,
    /// Key of the client.
    pub key: Option<String>,
    /// Last event that the client has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Prompt, of a generation.
    pub prompt: Option<Prompt>,
    /// Id of the request, as text.
    pub request_id: Option<String>,
}

/// Sizes of a generation.
#[derive(Debug, Clone, Default)]
pub struct Prompt {
    /// Client's estimate of its output.
    pub output_tokens_hint: Option<u64>,
    /// Longest output.
    pub output_tokens_max: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
}

/// One sending of a request to an endpoint.
#[derive(Debug)]
pub struct Dispatch<'a> {
    /// Copy of the run that it goes on from.
    pub copy: Option<&'a RunCopy>,
    /// Name of the customer, if the request needs a key.
    pub customer: Option<&'a str>,
    /// Time that is left.
    pub deadline_ms: u64,
    /// Id of the endpoint; any other one rejects the request.
    pub endpoint: &'a str,
    /// Last event that has been delivered, if a stream goes on.
    pub last_event: Option<u64>,
    /// Rank among the engine's requests, 0 first; for generations.
    pub priority: Option<u32>,
}

/// Copy of a run's memory.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct RunCopy {
    /// Its handle.
    pub handle: String,
    /// Where it was copied from.
    pub source: SocketAddr,
}

/// What came of a copy.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum CopyOutcome {
    /// Another copy of the run is in progress.
    Busy,
    /// The copy is complete.
    Copied {
        /// Its handle.
        handle: String,
    },
    /// It failed for another reason.
    Failed,
    /// The destination has no room or is out of reach.
    NoRoom,
    /// The source does not run the request.
    NoSuchRun,
}

impl CopyOutcome {
    /// Name in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Copied { .. } => "copied",
            Self::Failed => "failed",
            Self::NoRoom => "no-room",
            Self::NoSuchRun => "no-such-run",
        }
    }
}

/// What an endpoint's answer says.
#[derive(Debug, Clone, Default)]
pub struct AnswerHead {
    /// Whether the connection ends after it.
    pub closes: bool,
    /// Whether another endpoint has the address.
    pub is_misdirected: bool,
    /// Whether the request did not run and never will.
    pub is_not_run: bool,
    /// Time for which the endpoint keeps an idle connection.
    pub keep_alive_ms: Option<u64>,
    /// Id of the request that is answered.
    pub request_id: Option<String>,
}
