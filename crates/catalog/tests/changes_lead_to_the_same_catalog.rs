//! A change that is applied to its base gives the catalog that it was made from.

use catalog::{
    Catalog, CatalogChange, Customer, Error, Limits, RetryClass, Route, Service, UncheckedDocument,
    WeightedService,
};
use quickcheck::QuickCheck;

/// Catalog with items that the numbers choose: their keys by the first, their contents by the second.
fn catalog(version: u64, items: &[(u8, u8)], limits: Limits) -> Catalog {
    let mut items = items.to_vec();
    items.sort_unstable();
    items.dedup_by_key(|item| item.0 % 16);
    let mut seen = [false; 16];
    items.retain(|item| !std::mem::replace(&mut seen[usize::from(item.0 % 16)], true));
    let services = (0..4).map(|number| Service {
        connections_max: u32::from(items.first().map_or(1, |item| item.1)) + number,
        engine: None,
        name: format!("s{number}"),
    });
    let routes = items.iter().map(|(key, contents)| Route {
        attempts_max: 1,
        event_gap_target_ms: 0,
        host: format!("h{}", key % 3),
        is_public: false,
        name: format!("r{key}"),
        prefix: format!("/{}/", key % 16),
        priority: u32::from(*contents % 4),
        retry_class: RetryClass::Safe,
        services: vec![WeightedService {
            service_name: format!("s{}", contents % 4),
            weight: 1,
        }],
        target_latency_ms: 300,
        timeout_ms: 1_000,
    });
    let customers = items.iter().map(|(key, contents)| Customer {
        api_keys: vec![format!("k{}", key % 16), format!("l{}", key % 16)],
        name: format!("c{}", contents % 4),
        priority: contents.is_multiple_of(2).then_some(u32::from(*contents)),
    });
    Catalog::build(UncheckedDocument {
        customers: (!items.is_empty()).then(|| customers.collect()),
        limits,
        routes: routes.collect(),
        services: services.collect(),
        version,
    })
    .unwrap()
}

#[test]
fn a_change_leads_from_any_catalog_to_any_other() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its arguments by value"
    )]
    fn leads_to_the_same(base: Vec<(u8, u8)>, target: Vec<(u8, u8)>, idle_timeout_ms: u64) -> bool {
        let base = catalog(1, &base, Limits::default());
        let limits = Limits {
            idle_timeout_ms,
            ..Limits::default()
        };
        let target = catalog(2, &target, limits);
        let change = target.changes_since(Some(&base));
        let bytes = postcard::to_stdvec(&change).unwrap();
        let decoded: CatalogChange = postcard::from_bytes(&bytes).unwrap();
        let applied = Catalog::apply(Some(&base), decoded).unwrap();
        let whole = Catalog::apply(None, target.changes_since(None)).unwrap();
        let shared = target.share_items_with(&base);
        let contents = target.changes_since(None);
        [applied, whole, shared]
            .iter()
            .all(|catalog| catalog.changes_since(None) == contents)
    }
    QuickCheck::new()
        .tests(1_000)
        .quickcheck(leads_to_the_same as fn(Vec<(u8, u8)>, Vec<(u8, u8)>, u64) -> bool);
}

#[test]
fn a_change_holds_only_what_differs() {
    let items: Vec<(u8, u8)> = (0..12).map(|key| (key, 4)).collect();
    let base = catalog(1, &items, Limits::default());
    let mut changed = items.clone();
    changed[5].1 = 5;
    changed.remove(11);
    let change = catalog(2, &changed, Limits::default()).changes_since(Some(&base));
    assert_eq!(change.changed_routes.len(), 1);
    assert_eq!(
        change.removed_routes,
        [("h2".to_owned(), "/11/".to_owned())]
    );
    assert_eq!(change.changed_key_owners.len(), 2);
    assert_eq!(change.removed_api_keys, ["k11", "l11"]);
    assert!(change.changed_services.is_empty() && change.removed_services.is_empty());
}

#[test]
fn a_change_of_another_version_is_refused() {
    let base = catalog(1, &[(1, 1)], Limits::default());
    let change = catalog(3, &[(2, 1)], Limits::default()).changes_since(Some(&base));
    let other = catalog(2, &[(1, 1)], Limits::default());
    let error = Error::OtherBase {
        base_version: 1,
        version: 2,
    };
    assert_eq!(Catalog::apply(Some(&other), change).unwrap_err(), error);
}
