//! Measures changes between catalogs of several sizes: bytes of one changed route, and the processor
//! time to make and to apply the change.
//!
//! Run with `cargo run --release -p catalog --example change_slopes`.

use std::time::Instant;

use catalog::{
    Catalog, CatalogChange, Customer, Limits, RetryClass, Route, Service, UncheckedDocument,
    WeightedService,
};

/// Customers, with a route and a key each.
const SIZES: [usize; 4] = [100, 1_000, 10_000, 37_000];

const REPEATS: u32 = 20;

fn catalog(version: u64, size: usize, priority_of_first: u32) -> Catalog {
    let route = |number: usize| Route {
        attempts_max: 2,
        event_gap_target_ms: 180,
        host: format!("customer{number}.example"),
        is_public: false,
        name: format!("route-{number}"),
        prefix: "/generations/".to_owned(),
        priority: if number == 0 { priority_of_first } else { 2 },
        retry_class: RetryClass::Stream,
        services: vec![WeightedService {
            service_name: "model".to_owned(),
            weight: 1,
        }],
        target_latency_ms: 1_500,
        timeout_ms: 39_000,
    };
    let customer = |number: usize| Customer {
        api_keys: vec![format!("key-of-customer-{number:014}")],
        name: format!("customer-{number}"),
        priority: None,
    };
    Catalog::build(UncheckedDocument {
        customers: Some((0..size).map(customer).collect()),
        limits: Limits::default(),
        routes: (0..size).map(route).collect(),
        services: vec![Service {
            connections_max: 250,
            engine: None,
            name: "model".to_owned(),
        }],
        version,
    })
    .expect("the document is valid")
}

/// Mean processor time of an action, in microseconds.
fn mean_us<T>(action: impl Fn() -> T) -> u128 {
    let started_at = Instant::now();
    for _ in 0..REPEATS {
        std::hint::black_box(action());
    }
    started_at.elapsed().as_micros() / u128::from(REPEATS)
}

fn main() {
    println!("size whole_bytes change_bytes make_us apply_us whole_apply_us");
    for size in SIZES {
        let base = catalog(1, size, 2);
        let next = catalog(2, size, 0).share_items_with(&base);
        let encode = |change: &CatalogChange| postcard::to_stdvec(change).expect("it is encoded");
        let decode = |bytes: &[u8]| postcard::from_bytes(bytes).expect("it is decoded");
        let whole = encode(&next.changes_since(None));
        let change = encode(&next.changes_since(Some(&base)));
        let make_us = mean_us(|| encode(&next.changes_since(Some(&base))));
        let apply_us = mean_us(|| Catalog::apply(Some(&base), decode(&change)));
        let whole_us = mean_us(|| Catalog::apply(None, decode(&whole)));
        let (whole, change) = (whole.len(), change.len());
        println!("{size} {whole} {change} {make_us} {apply_us} {whole_us}");
    }
}
