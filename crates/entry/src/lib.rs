//! Serves callers: HTTP, streams, retries, outcomes.
