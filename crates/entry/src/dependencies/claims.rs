use async_trait::async_trait;
use bytes::Bytes;
use names::CustomerName;
use thiserror::Error;

/// Request to claim one idempotency key of one customer.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct ClaimRequest {
    /// Customer that sent the key.
    pub customer: CustomerName,
    /// SHA-256 of method, path, content type and body.
    pub digest: [u8; 32],
    /// Idempotency key from the request.
    pub key: String,
    /// Time left until the request's deadline.
    pub timeout_ms: u64,
}

/// Response to a [`ClaimRequest`].
#[derive(Debug, Eq, PartialEq)]
pub enum ClaimResponse {
    /// The call of an earlier request has ended with this response.
    Finished(StoredResponse),
    /// The claim is committed and only this request may run the call.
    Granted,
    /// Another request holds the claim and has not ended.
    InProgress,
    /// The key was used with another request.
    Mismatch,
    /// The claim is certainly not committed.
    Unavailable {
        /// Time after which a retry may succeed.
        retry_after_ms: u64,
    },
    /// The request that held the claim was lost, or the response to this claim was lost.
    Unknown,
}

/// Stores at-most-once claims in the durable log.
#[async_trait]
pub trait ClaimStore: Send + Sync {
    /// Commits a claim. Returns once the claim is durable or was decided otherwise.
    async fn claim(&self, request: &ClaimRequest) -> ClaimResponse;

    /// Commits the response of a granted claim.
    ///
    /// # Errors
    ///
    /// The response was not committed. The claim stays, and retries are answered `unknown`.
    async fn finish(
        &self,
        request: &ClaimRequest,
        response: StoredResponse,
    ) -> Result<(), ClaimError>;

    /// Commits that the outcome of a granted claim cannot be known.
    async fn mark_unknown(&self, request: &ClaimRequest);

    /// Releases a granted claim whose call certainly did not run.
    async fn release(&self, request: &ClaimRequest);
}

/// Why the response of a claim was not committed.
#[derive(Debug, Error)]
pub enum ClaimError {
    /// No quorum replied in time.
    #[error("the response of the call could not be committed: no quorum replied in time")]
    NoQuorum,
    /// The claim was released or belongs to another request.
    #[error("the claim of the call is no longer held by this request")]
    NotHeld,
}

/// Response of a claimed call, as stored for retries.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct StoredResponse {
    /// Body; `None` if it exceeded the entry's limit on stored bodies.
    pub body: Option<Bytes>,
    /// Headers that are sent to the client.
    pub headers: Vec<StoredHeader>,
    /// HTTP status.
    pub status: u16,
}

/// Header of a [`StoredResponse`].
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct StoredHeader {
    /// Name in lower case.
    pub name: String,
    /// Value as received from the endpoint.
    pub value: Bytes,
}
