use thiserror::Error;

/// Rule that an invalid document breaks, or reason why a change does not apply.
#[derive(Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Two routes have the same host and prefix.
    #[error("routes `{first}` and `{second}` have the same host and prefix")]
    DuplicateRoute {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
    },
    /// Two services have the same name.
    #[error("service `{service}` is named twice")]
    DuplicateService {
        /// Name of both services.
        service: String,
    },
    /// A change was made from another version than that of the catalog it is applied to.
    #[error("the change is from version {base_version}, the catalog has version {version}")]
    OtherBase {
        /// Version that the change was made from.
        base_version: u64,
        /// Version of the catalog.
        version: u64,
    },
    /// A prefix does not begin and end with a slash.
    #[error("prefix `{prefix}` of route `{route}` does not begin and end with a slash")]
    InvalidPrefix {
        /// Prefix as written in the document.
        prefix: String,
        /// Name of the route.
        route: String,
    },
    /// Two customers have the same API key.
    #[error("customers `{first}` and `{second}` share a key")]
    SharedKey {
        /// Name of the first customer.
        first: String,
        /// Name of the second customer.
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
    /// The timeout of a route is zero.
    #[error("route `{route}` has a timeout of 0 ms")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// No service of a route has a weight above zero.
    #[error("the weights of route `{route}` add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
}
