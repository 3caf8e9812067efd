use thiserror::Error;

/// Why a document gives no catalog.
#[derive(Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Two routes have the same host and prefix.
    #[error("routes `{first}` and `{second}` have the same host and prefix")]
    DuplicateRoute {
        /// Name of one route.
        first: String,
        /// Name of the other.
        second: String,
    },
    /// Two services have the same name.
    #[error("service `{service}` is named twice")]
    DuplicateService {
        /// Their name.
        service: String,
    },
    /// A route has no time at all.
    #[error("route `{route}` has a timeout of 0 ms")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A route sends nowhere.
    #[error("the weights of route `{route}` add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[error("prefix `{prefix}` of route `{route}` does not begin and end with a slash")]
    InvalidPrefix {
        /// The prefix.
        prefix: String,
        /// Name of the route.
        route: String,
    },
    /// Two customers hold the same key.
    #[error("customers `{first}` and `{second}` share a key")]
    SharedKey {
        /// Name of one customer.
        first: String,
        /// Name of the other.
        second: String,
    },
    /// A route names a service that the document lacks.
    #[error("route `{route}` names the unknown service `{service}`")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
}
