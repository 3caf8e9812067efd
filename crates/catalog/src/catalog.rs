use crate::{Customer, Error, Limits, Route, Service, UncheckedDocument};

/// Routes, services, limits and customers of a valid document, sorted for binary search.
#[derive(Debug)]
pub struct Catalog {
    /// API keys with the index of their customer, sorted by key.
    customer_index_by_key: Vec<(String, usize)>,
    customers: Vec<Customer>,
    limits: Limits,
    requires_keys: bool,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    /// Sorted by name.
    services: Vec<Service>,
    version: u64,
}

/// Customer and priority of an authorized request.
#[derive(Debug, Clone, Copy)]
pub struct Authorization<'a> {
    /// Customer of the key; `None` if the request needs no key and has none of a known customer.
    pub customer: Option<&'a Customer>,
    /// Priority of the request; 0 is the highest.
    pub priority: u32,
}

/// Why a request has no route, or is not authorized for it.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum LookupError {
    /// The route needs a key, and the request has none that a customer owns.
    UnknownKey,
    /// No route matches the host and path.
    UnknownRoute,
}

impl Catalog {
    /// Validates a document and indexes it for lookups.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the document breaks.
    pub fn build(document: UncheckedDocument) -> Result<Self, Error> {
        let services = sorted_services(document.services)?;
        let routes = sorted_routes(document.routes, &services)?;
        let requires_keys = document.customers.is_some();
        let customers = document.customers.unwrap_or_default();
        let customer_index_by_key = sorted_keys(&customers)?;
        Ok(Self {
            customer_index_by_key,
            customers,
            limits: document.limits,
            requires_keys,
            routes,
            services,
            version: document.version,
        })
    }

    /// Limits on the requests of clients.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Version of the document.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        find_service(&self.services, name)
    }

    /// Finds the route of the host with the longest prefix that matches the path.
    ///
    /// # Errors
    ///
    /// Returns [`LookupError::UnknownRoute`] if no route of the host matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, LookupError> {
        let host = without_port(host).to_ascii_lowercase();
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            let prefix = &path[..=slash];
            let found = self.routes.binary_search_by(|route| {
                let host_and_prefix = (route.host.as_str(), route.prefix.as_str());
                host_and_prefix.cmp(&(host.as_str(), prefix))
            });
            if let Ok(index) = found {
                return Ok(&self.routes[index]);
            }
            end = slash;
        }
        Err(LookupError::UnknownRoute)
    }

    /// Authorizes a request to a route by its API key.
    ///
    /// The customer's priority takes precedence over the route's.
    ///
    /// # Errors
    ///
    /// Returns [`LookupError::UnknownKey`] if the route needs a key and no customer has this one.
    pub fn authorize(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Authorization<'_>, LookupError> {
        let customer = key.and_then(|key| self.customer_of_key(key));
        if customer.is_none() && self.requires_keys && !route.is_public {
            return Err(LookupError::UnknownKey);
        }
        let customer_priority = customer.and_then(|customer| customer.priority);
        Ok(Authorization {
            customer,
            priority: customer_priority.unwrap_or(route.priority),
        })
    }

    fn customer_of_key(&self, key: &str) -> Option<&Customer> {
        let found = self
            .customer_index_by_key
            .binary_search_by(|entry| entry.0.as_str().cmp(key));
        found
            .ok()
            .map(|index| &self.customers[self.customer_index_by_key[index].1])
    }
}

/// Removes the port from a host.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

fn find_service<'a>(services: &'a [Service], name: &str) -> Option<&'a Service> {
    let found = services.binary_search_by(|service| service.name.as_str().cmp(name));
    found.ok().map(|index| &services[index])
}

fn sorted_services(mut services: Vec<Service>) -> Result<Vec<Service>, Error> {
    services.sort_by(|a, b| a.name.cmp(&b.name));
    let mut pairs = services.windows(2);
    match pairs.find(|pair| pair[0].name == pair[1].name) {
        Some(pair) => Err(Error::DuplicateService {
            service: pair[0].name.clone(),
        }),
        None => Ok(services),
    }
}

fn sorted_routes(mut routes: Vec<Route>, services: &[Service]) -> Result<Vec<Route>, Error> {
    for route in &mut routes {
        validate_route(route, services)?;
        route.host = without_port(&route.host).to_ascii_lowercase();
    }
    routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
    let mut pairs = routes.windows(2);
    let has_same_prefix =
        |pair: &&[Route]| pair[0].host == pair[1].host && pair[0].prefix == pair[1].prefix;
    match pairs.find(has_same_prefix) {
        Some(pair) => Err(Error::DuplicateRoute {
            first: pair[0].name.clone(),
            second: pair[1].name.clone(),
        }),
        None => Ok(routes),
    }
}

fn validate_route(route: &Route, services: &[Service]) -> Result<(), Error> {
    let route_name = || route.name.clone();
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        return Err(Error::InvalidPrefix {
            prefix: route.prefix.clone(),
            route: route_name(),
        });
    }
    if route.timeout_ms == 0 {
        return Err(Error::ZeroTimeout {
            route: route_name(),
        });
    }
    for weighted in &route.services {
        if find_service(services, &weighted.service_name).is_none() {
            return Err(Error::UnknownService {
                route: route_name(),
                service: weighted.service_name.clone(),
            });
        }
    }
    if route.services.iter().all(|weighted| weighted.weight == 0) {
        return Err(Error::ZeroWeight {
            route: route_name(),
        });
    }
    Ok(())
}

fn sorted_keys(customers: &[Customer]) -> Result<Vec<(String, usize)>, Error> {
    let mut keys: Vec<(String, usize)> = Vec::new();
    for (index, customer) in customers.iter().enumerate() {
        keys.extend(customer.api_keys.iter().map(|key| (key.clone(), index)));
    }
    keys.sort();
    keys.dedup();
    let mut pairs = keys.windows(2);
    match pairs.find(|pair| pair[0].0 == pair[1].0) {
        Some(pair) => Err(Error::SharedKey {
            first: customers[pair[0].1].name.clone(),
            second: customers[pair[1].1].name.clone(),
        }),
        None => Ok(keys),
    }
}
