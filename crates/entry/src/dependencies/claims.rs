use async_trait::async_trait;
use bytes::Bytes;
use names::CustomerName;
use thiserror::Error;

/// Claim on one idempotency key of one customer.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct ClaimRequest {
    /// Whose key it is.
    pub customer: CustomerName,
    /// SHA-256 of method, path, content type and body.
    pub digest: [u8; 32],
    /// The caller's key.
    pub key: String,
    /// Time left for an answer.
    pub timeout_ms: u64,
}

/// Answer to a claim.
#[derive(Debug, Eq, PartialEq)]
pub enum ClaimResponse {
    /// The call ended before; this was its answer.
    Finished(StoredResponse),
    /// The claim is committed and this request alone may run the call.
    Granted,
    /// Another request holds the claim and has not ended.
    InProgress,
    /// The key was used with another request.
    Mismatch,
    /// The claim is certainly not committed.
    Unavailable {
        /// When a repeat may succeed.
        retry_after_ms: u64,
    },
    /// A request that held the claim was lost, or the answer to this claim was lost.
    Unknown,
}

/// Keeps at-most-once claims in the durable log.
#[async_trait]
pub trait ClaimStore: Send + Sync {
    /// Commits a claim; answers once it is durable or decided otherwise.
    async fn claim(&self, request: &ClaimRequest) -> ClaimResponse;

    /// Commits the answer of a granted claim.
    ///
    /// # Errors
    ///
    /// The answer could not be committed; the claim stays and its repeats are answered `unknown`.
    async fn finish(
        &self,
        request: &ClaimRequest,
        answer: StoredResponse,
    ) -> Result<(), ClaimError>;

    /// Commits that the outcome of a granted claim cannot be known.
    async fn mark_unknown(&self, request: &ClaimRequest);

    /// Gives back a granted claim whose call certainly did not run.
    async fn release(&self, request: &ClaimRequest);
}

/// Why the answer of a claim was not committed.
#[derive(Debug, Error)]
pub enum ClaimError {
    /// No quorum answered in time.
    #[error("the answer of the call could not be committed: no quorum answered in time")]
    NoQuorum,
    /// The claim is held by nobody or by another request.
    #[error("the claim of the call is no longer held by this request")]
    NotHeld,
}

/// Answer of a call that was claimed.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct StoredResponse {
    /// Body; none where it was larger than the entry's limit for stored answers.
    pub body: Option<Bytes>,
    /// Headers that go back to the caller.
    pub headers: Vec<StoredHeader>,
    /// HTTP status.
    pub status: u16,
}

/// Header of a stored answer.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct StoredHeader {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: Bytes,
}
