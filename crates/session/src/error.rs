use names::{EndpointName, Incarnation};
use thiserror::Error;

/// Why news of an endpoint is not taken.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The announcement is older than one already taken.
    #[error(
        "announcement {sequence} of endpoint `{endpoint}` incarnation {incarnation} is older than the last one taken"
    )]
    Outdated {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its incarnation in the announcement.
        incarnation: Incarnation,
        /// Its sequence in the announcement.
        sequence: u64,
    },
}
