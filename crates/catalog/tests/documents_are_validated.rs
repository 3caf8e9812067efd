//! Invalid documents are rejected, and lookups in a valid one return its routes and customers.

use catalog::{
    Catalog, Customer, Error, Limits, LookupError, RetryClass, Route, Service, UncheckedDocument,
    WeightedService,
};

fn service(name: &str) -> Service {
    Service {
        connections_max: 10,
        engine: None,
        name: name.to_owned(),
    }
}

fn route(name: &str, host: &str, prefix: &str, service: &str) -> Route {
    Route {
        attempts_max: 2,
        event_gap_target_ms: 0,
        host: host.to_owned(),
        is_public: false,
        name: name.to_owned(),
        prefix: prefix.to_owned(),
        priority: 2,
        retry_class: RetryClass::Safe,
        services: vec![WeightedService {
            service_name: service.to_owned(),
            weight: 1,
        }],
        target_latency_ms: 300,
        timeout_ms: 1_000,
    }
}

fn customer(name: &str, key: &str) -> Customer {
    Customer {
        api_keys: vec![key.to_owned()],
        name: name.to_owned(),
        priority: None,
    }
}

fn valid_document() -> UncheckedDocument {
    UncheckedDocument {
        customers: Some(vec![customer("forge", "k1"), customer("school", "k2")]),
        limits: Limits::default(),
        routes: vec![
            route("seats", "desk.example", "/seats/", "booking"),
            route("old-seats", "desk.example", "/seats/old/", "archive"),
            route("other", "other.example", "/", "archive"),
        ],
        services: vec![service("booking"), service("archive")],
        version: 3,
    }
}

fn build_error(change: impl FnOnce(&mut UncheckedDocument)) -> Error {
    let mut document = valid_document();
    change(&mut document);
    Catalog::build(document).expect_err("the document breaks a rule")
}

#[test]
fn the_route_with_the_longest_prefix_is_found() {
    let catalog = Catalog::build(valid_document()).unwrap();
    let route_name = |host, path| catalog.route(host, path).map(|route| route.name.as_str());
    assert_eq!(route_name("desk.example", "/seats/7"), Ok("seats"));
    assert_eq!(
        route_name("DESK.example:8740", "/seats/old/7"),
        Ok("old-seats")
    );
    assert_eq!(route_name("desk.example", "/seats/older"), Ok("seats"));
    assert_eq!(
        route_name("desk.example", "/seats"),
        Err(LookupError::UnknownRoute)
    );
    assert_eq!(route_name("other.example", "/any"), Ok("other"));
    assert_eq!(
        route_name("no.example", "/seats/7"),
        Err(LookupError::UnknownRoute)
    );
}

#[test]
fn a_key_authorizes_its_customer() {
    let catalog = Catalog::build(valid_document()).unwrap();
    let route = catalog.route("desk.example", "/seats/7").unwrap();
    let authorization = catalog.authorize(route, Some("k2")).unwrap();
    assert_eq!(authorization.customer.unwrap().name, "school");
    assert_eq!(authorization.priority, 2);
    assert_eq!(
        catalog.authorize(route, Some("k3")).unwrap_err(),
        LookupError::UnknownKey
    );
    assert_eq!(
        catalog.authorize(route, None).unwrap_err(),
        LookupError::UnknownKey
    );
}

#[test]
fn a_customers_priority_overrides_that_of_the_route() {
    let mut document = valid_document();
    document.customers.as_mut().unwrap()[0].priority = Some(0);
    let catalog = Catalog::build(document).unwrap();
    let route = catalog.route("desk.example", "/seats/7").unwrap();
    assert_eq!(catalog.authorize(route, Some("k1")).unwrap().priority, 0);
}

#[test]
fn an_unknown_service_is_rejected() {
    let error =
        build_error(|document| document.routes[0].services[0].service_name = "none".to_owned());
    assert!(matches!(error, Error::UnknownService { .. }));
}

#[test]
fn two_routes_with_the_same_host_and_prefix_are_rejected() {
    let error = build_error(|document| document.routes[1].prefix = "/seats/".to_owned());
    assert!(matches!(error, Error::DuplicateRoute { .. }));
}

#[test]
fn weights_that_add_up_to_zero_are_rejected() {
    let error = build_error(|document| document.routes[0].services[0].weight = 0);
    assert!(matches!(error, Error::ZeroWeight { .. }));
    let error = build_error(|document| document.routes[0].services.clear());
    assert!(matches!(error, Error::ZeroWeight { .. }));
}

#[test]
fn a_timeout_of_zero_is_rejected() {
    let error = build_error(|document| document.routes[2].timeout_ms = 0);
    assert!(matches!(error, Error::ZeroTimeout { .. }));
}

#[test]
fn a_key_of_two_customers_is_rejected() {
    let error = build_error(|document| {
        document.customers.as_mut().unwrap()[1].api_keys = vec!["k1".to_owned()];
    });
    assert!(matches!(error, Error::SharedKey { .. }));
}
