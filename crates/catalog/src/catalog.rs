use crate::{Customer, Error, Limits, Route, Service, UncheckedDocument};

/// A checked document, sorted for lookups.
#[derive(Debug)]
pub struct Catalog {
    customers: Vec<Customer>,
    /// Keys with the position of their customer, sorted by key.
    keys: Vec<(String, usize)>,
    limits: Limits,
    needs_keys: bool,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    /// Sorted by name.
    services: Vec<Service>,
    version: u64,
}

/// Whom a request is served for.
#[derive(Debug, Clone, Copy)]
pub struct Authorization<'a> {
    /// Customer of the key, unless the route needs none.
    pub customer: Option<&'a Customer>,
    /// Rank of the request, 0 first.
    pub priority: u32,
}

/// Why a request is not allowed.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum LookupError {
    /// No customer holds the key.
    UnknownKey,
    /// No route fits the host and path.
    UnknownRoute,
}

impl Catalog {
    /// Checks a document as a whole.
    ///
    /// # Errors
    ///
    /// Names the first rule that the document breaks.
    pub fn build(document: UncheckedDocument) -> Result<Self, Error> {
        let services = sorted_services(document.services)?;
        let routes = sorted_routes(document.routes, &services)?;
        let needs_keys = document.customers.is_some();
        let customers = document.customers.unwrap_or_default();
        let keys = sorted_keys(&customers)?;
        Ok(Self {
            customers,
            keys,
            limits: document.limits,
            needs_keys,
            routes,
            services,
            version: document.version,
        })
    }

    /// Limits on clients.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Version of the document.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Service of a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        find_service(&self.services, name)
    }

    /// Route with the longest prefix that begins the path.
    ///
    /// # Errors
    ///
    /// Fails where no route of the host fits.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, LookupError> {
        let host = host_name(host).to_ascii_lowercase();
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            let prefix = &path[..=slash];
            let found = self.routes.binary_search_by(|route| {
                let place = (route.host.as_str(), route.prefix.as_str());
                place.cmp(&(host.as_str(), prefix))
            });
            if let Ok(position) = found {
                return Ok(&self.routes[position]);
            }
            end = slash;
        }
        Err(LookupError::UnknownRoute)
    }

    /// Whom a request with this key may be served for.
    ///
    /// # Errors
    ///
    /// Fails where the route needs a key and no customer holds the one given.
    pub fn authorize(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Authorization<'_>, LookupError> {
        let customer = key.and_then(|key| self.customer(key));
        if customer.is_none() && self.needs_keys && !route.is_public {
            return Err(LookupError::UnknownKey);
        }
        let own = customer.and_then(|customer| customer.priority);
        Ok(Authorization {
            customer,
            priority: own.unwrap_or(route.priority),
        })
    }

    fn customer(&self, key: &str) -> Option<&Customer> {
        let found = self
            .keys
            .binary_search_by(|known| known.0.as_str().cmp(key));
        found.ok().map(|at| &self.customers[self.keys[at].1])
    }
}

/// Host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

fn find_service<'a>(services: &'a [Service], name: &str) -> Option<&'a Service> {
    let found = services.binary_search_by(|service| service.name.as_str().cmp(name));
    found.ok().map(|at| &services[at])
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
        check_route(route, services)?;
        route.host = host_name(&route.host).to_ascii_lowercase();
    }
    routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
    let mut pairs = routes.windows(2);
    let is_same =
        |pair: &&[Route]| pair[0].host == pair[1].host && pair[0].prefix == pair[1].prefix;
    match pairs.find(is_same) {
        Some(pair) => Err(Error::DuplicateRoute {
            first: pair[0].name.clone(),
            second: pair[1].name.clone(),
        }),
        None => Ok(routes),
    }
}

fn check_route(route: &Route, services: &[Service]) -> Result<(), Error> {
    let name = || route.name.clone();
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        return Err(Error::InvalidPrefix {
            prefix: route.prefix.clone(),
            route: name(),
        });
    }
    if route.timeout_ms == 0 {
        return Err(Error::ZeroTimeout { route: name() });
    }
    for weighted in &route.services {
        if find_service(services, &weighted.service_name).is_none() {
            return Err(Error::UnknownService {
                route: name(),
                service: weighted.service_name.clone(),
            });
        }
    }
    if route.services.iter().all(|weighted| weighted.weight == 0) {
        return Err(Error::ZeroWeight { route: name() });
    }
    Ok(())
}

fn sorted_keys(customers: &[Customer]) -> Result<Vec<(String, usize)>, Error> {
    let mut keys: Vec<(String, usize)> = Vec::new();
    for (position, customer) in customers.iter().enumerate() {
        keys.extend(customer.api_keys.iter().map(|key| (key.clone(), position)));
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
