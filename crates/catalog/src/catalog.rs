use std::sync::Arc;

use crate::catalog_change::{changed_items, merge_items, removed_keys, share_items};
use crate::{CatalogChange, Customer, Error, KeyOwner, Limits, Route, Service, UncheckedDocument};

/// Routes, services, limits and customers of a valid document, sorted for binary search.
///
/// Catalogs of successive versions share the items that are equal.
#[derive(Debug, Clone)]
pub struct Catalog {
    /// API keys with their customers, sorted by key.
    key_owners: Vec<Arc<KeyOwner>>,
    limits: Limits,
    requires_keys: bool,
    /// Sorted by host and prefix.
    routes: Vec<Arc<Route>>,
    /// Sorted by name.
    services: Vec<Arc<Service>>,
    version: u64,
}

/// Customer and priority of an authorized request.
#[derive(Debug, Clone, Copy)]
pub struct Authorization<'a> {
    /// Owner of the key; `None` if the request needs no key and has none of a known customer.
    pub customer: Option<&'a KeyOwner>,
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
        Ok(Self {
            key_owners: sorted_key_owners(&customers)?,
            limits: document.limits,
            requires_keys,
            routes,
            services,
            version: document.version,
        })
    }

    /// What has changed since another catalog, or the whole catalog if there is none.
    #[must_use]
    pub fn changes_since(&self, base: Option<&Self>) -> CatalogChange {
        let empty = Self::empty();
        let base = base.unwrap_or(&empty);
        CatalogChange {
            base_version: base.version,
            changed_key_owners: changed_items(&base.key_owners, &self.key_owners),
            changed_routes: changed_items(&base.routes, &self.routes),
            changed_services: changed_items(&base.services, &self.services),
            limits: self.limits,
            removed_api_keys: removed_keys(&base.key_owners, &self.key_owners),
            removed_routes: removed_keys(&base.routes, &self.routes),
            removed_services: removed_keys(&base.services, &self.services),
            requires_keys: self.requires_keys,
            version: self.version,
        }
    }

    /// Catalog that results from a change of a base; `None` stands for the empty catalog.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OtherBase`] if the change was made from another version.
    pub fn apply(base: Option<&Self>, change: CatalogChange) -> Result<Self, Error> {
        let empty = Self::empty();
        let base = base.unwrap_or(&empty);
        if change.base_version != base.version {
            return Err(Error::OtherBase {
                base_version: change.base_version,
                version: base.version,
            });
        }
        Ok(Self {
            key_owners: merge_items(
                &base.key_owners,
                change.changed_key_owners,
                &change.removed_api_keys,
            ),
            limits: change.limits,
            requires_keys: change.requires_keys,
            routes: merge_items(&base.routes, change.changed_routes, &change.removed_routes),
            services: merge_items(
                &base.services,
                change.changed_services,
                &change.removed_services,
            ),
            version: change.version,
        })
    }

    /// The same catalog, sharing the items that are equal in another one.
    #[must_use]
    pub fn share_items_with(&self, other: &Self) -> Self {
        Self {
            key_owners: share_items(&other.key_owners, &self.key_owners),
            limits: self.limits,
            requires_keys: self.requires_keys,
            routes: share_items(&other.routes, &self.routes),
            services: share_items(&other.services, &self.services),
            version: self.version,
        }
    }

    /// Catalog of no document.
    fn empty() -> Self {
        Self {
            key_owners: Vec::new(),
            limits: Limits::default(),
            requires_keys: false,
            routes: Vec::new(),
            services: Vec::new(),
            version: 0,
        }
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

    fn customer_of_key(&self, key: &str) -> Option<&KeyOwner> {
        let found = self
            .key_owners
            .binary_search_by(|owner| owner.api_key.as_str().cmp(key));
        found.ok().map(|index| self.key_owners[index].as_ref())
    }
}

/// Removes the port from a host.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

fn find_service<'a>(services: &'a [Arc<Service>], name: &str) -> Option<&'a Service> {
    let found = services.binary_search_by(|service| service.name.as_str().cmp(name));
    found.ok().map(|index| services[index].as_ref())
}

fn sorted_services(mut services: Vec<Service>) -> Result<Vec<Arc<Service>>, Error> {
    services.sort_by(|a, b| a.name.cmp(&b.name));
    let mut pairs = services.windows(2);
    match pairs.find(|pair| pair[0].name == pair[1].name) {
        Some(pair) => Err(Error::DuplicateService {
            service: pair[0].name.clone(),
        }),
        None => Ok(services.into_iter().map(Arc::new).collect()),
    }
}

fn sorted_routes(
    mut routes: Vec<Route>,
    services: &[Arc<Service>],
) -> Result<Vec<Arc<Route>>, Error> {
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
        None => Ok(routes.into_iter().map(Arc::new).collect()),
    }
}

fn validate_route(route: &Route, services: &[Arc<Service>]) -> Result<(), Error> {
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

fn sorted_key_owners(customers: &[Customer]) -> Result<Vec<Arc<KeyOwner>>, Error> {
    let mut keys: Vec<(&str, usize)> = Vec::new();
    for (index, customer) in customers.iter().enumerate() {
        keys.extend(customer.api_keys.iter().map(|key| (key.as_str(), index)));
    }
    keys.sort_unstable();
    keys.dedup();
    let mut pairs = keys.windows(2);
    if let Some(pair) = pairs.find(|pair| pair[0].0 == pair[1].0) {
        return Err(Error::SharedKey {
            first: customers[pair[0].1].name.clone(),
            second: customers[pair[1].1].name.clone(),
        });
    }
    let owners = keys.into_iter().map(|(key, index)| {
        let customer = &customers[index];
        Arc::new(KeyOwner {
            api_key: key.to_owned(),
            name: customer.name.clone(),
            priority: customer.priority,
        })
    });
    Ok(owners.collect())
}
