//! Documents that break a rule give no catalog, and lookups find what the document says.

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

fn draft() -> UncheckedDocument {
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

fn refusal(change: impl FnOnce(&mut UncheckedDocument)) -> Error {
    let mut changed = draft();
    change(&mut changed);
    Catalog::build(changed).expect_err("the document breaks a rule")
}

#[test]
fn the_longest_prefix_wins() {
    let catalog = Catalog::build(draft()).unwrap();
    let found = |host, path| catalog.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found("desk.example", "/seats/7"), Ok("seats"));
    assert_eq!(found("DESK.example:8740", "/seats/old/7"), Ok("old-seats"));
    assert_eq!(found("desk.example", "/seats/older"), Ok("seats"));
    assert_eq!(
        found("desk.example", "/seats"),
        Err(LookupError::UnknownRoute)
    );
    assert_eq!(found("other.example", "/any"), Ok("other"));
    assert_eq!(
        found("no.example", "/seats/7"),
        Err(LookupError::UnknownRoute)
    );
}

#[test]
fn a_key_names_its_customer() {
    let catalog = Catalog::build(draft()).unwrap();
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
fn a_customers_priority_goes_before_the_routes() {
    let mut changed = draft();
    changed.customers.as_mut().unwrap()[0].priority = Some(0);
    let catalog = Catalog::build(changed).unwrap();
    let route = catalog.route("desk.example", "/seats/7").unwrap();
    assert_eq!(catalog.authorize(route, Some("k1")).unwrap().priority, 0);
}

#[test]
fn an_unknown_service_is_refused() {
    let error = refusal(|draft| draft.routes[0].services[0].service_name = "none".to_owned());
    assert!(matches!(error, Error::UnknownService { .. }));
}

#[test]
fn two_routes_of_one_place_are_refused() {
    let error = refusal(|draft| draft.routes[1].prefix = "/seats/".to_owned());
    assert!(matches!(error, Error::DuplicateRoute { .. }));
}

#[test]
fn weights_that_add_up_to_nothing_are_refused() {
    let error = refusal(|draft| draft.routes[0].services[0].weight = 0);
    assert!(matches!(error, Error::ZeroWeight { .. }));
    let error = refusal(|draft| draft.routes[0].services.clear());
    assert!(matches!(error, Error::ZeroWeight { .. }));
}

#[test]
fn a_timeout_of_zero_is_refused() {
    let error = refusal(|draft| draft.routes[2].timeout_ms = 0);
    assert!(matches!(error, Error::ZeroTimeout { .. }));
}

#[test]
fn a_shared_key_is_refused() {
    let error =
        refusal(|draft| draft.customers.as_mut().unwrap()[1].api_keys = vec!["k1".to_owned()]);
    assert!(matches!(error, Error::SharedKey { .. }));
}
