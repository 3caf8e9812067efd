//! Requests permits for requests to limited endpoints.

use super::Subscription;
use crate::connection::call_context;
use crate::{Error, PermitAnswer, PermitRequest};

/// Time limit for a request for permits: four round trips between regions.
const PERMIT_TIMEOUT_MS: u64 = 100;

impl Subscription {
    /// Requests permits from the aggregating registry; returns an answer for each request.
    ///
    /// # Errors
    ///
    /// Fails if the aggregating registry is not connected, or does not answer in time.
    ///
    /// # Panics
    ///
    /// Panics if memory runs out.
    pub async fn request_permits(
        &self,
        requests: &[PermitRequest],
    ) -> Result<Vec<PermitAnswer>, Error> {
        let registry = self.subscriber.aggregating_registry();
        let client = registry
            .as_ref()
            .and_then(|connection| connection.connected_client());
        let (Some(connection), Some(client)) = (registry, client) else {
            return Err(Error::Unavailable {
                timeout_ms: PERMIT_TIMEOUT_MS,
            });
        };
        let failed = |reason: String| Error::Connect {
            address: connection.address(),
            reason,
        };
        let encoded = postcard::to_stdvec(requests).expect("requests can be encoded");
        let answers = client.take_permits(call_context(PERMIT_TIMEOUT_MS), encoded);
        // The connection may still work; if it does not, the next exchange of loads drops it.
        let answers = answers.await.map_err(|error| failed(error.to_string()))?;
        let answers: Vec<PermitAnswer> =
            postcard::from_bytes(&answers).map_err(|error| failed(error.to_string()))?;
        if answers.len() == requests.len() {
            Ok(answers)
        } else {
            Err(failed("not every request has an answer".to_owned()))
        }
    }
}
