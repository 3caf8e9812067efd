//! Keys of customers and operators, in the table and in views.

mod common;

use common::{Bench, accepted, edit};
use names::CustomerName;
use table::{
    CustomerKey, EditOutcome, Item, ItemChange, ItemId, KeyHash, OperatorKey, OperatorName,
    Revision, Role, View,
};

fn customer_key(secret: &str, customer: &str) -> ItemChange {
    ItemChange {
        expected_revision: Revision::ABSENT,
        item: Some(Item::CustomerKey(CustomerKey {
            customer: CustomerName::new(customer).unwrap(),
        })),
        item_id: ItemId::CustomerKey(KeyHash::of(secret)),
    }
}

fn operator_key(secret: &str, role: Role) -> ItemChange {
    ItemChange {
        expected_revision: Revision::ABSENT,
        item: Some(Item::OperatorKey(OperatorKey {
            operator: OperatorName::new("ivan").unwrap(),
            role,
        })),
        item_id: ItemId::OperatorKey(KeyHash::of(secret)),
    }
}

#[test]
fn keys_name_their_holders_in_the_table_and_in_views() {
    let mut bench = Bench::new();
    let changes = vec![
        customer_key("c-secret", "център"),
        operator_key("o-secret", Role::Edit),
    ];
    assert_eq!(bench.apply(&edit("keys", changes)), accepted(2));
    let mut view = View::default();
    view.apply(bench.table.publication_since(view.revision()));
    for items in [bench.table.items(), view.items()] {
        assert_eq!(
            items.customer_by_key("c-secret").unwrap().as_str(),
            "център"
        );
        assert_eq!(items.operator_by_key("o-secret").unwrap().role, Role::Edit);
        assert!(items.customer_by_key("o-secret").is_none());
        assert!(items.operator_by_key("c-secret").is_none());
        assert!(items.customer_by_key("").is_none());
    }
}

#[test]
fn no_key_is_stored_as_it_is_sent() {
    let mut bench = Bench::new();
    bench.apply(&edit("keys", vec![customer_key("c-secret-c-secret", "c")]));
    let snapshot = bench.table.snapshot();
    let is_leaked = snapshot.windows(8).any(|bytes| bytes == b"c-secret");
    assert!(!is_leaked);
}

#[test]
fn a_removed_key_names_nobody_any_more() {
    let mut bench = Bench::new();
    bench.apply(&edit("add", vec![operator_key("o-secret", Role::Operate)]));
    let mut removal = operator_key("o-secret", Role::Operate);
    removal.expected_revision = Revision(2);
    removal.item = None;
    assert_eq!(bench.apply(&edit("remove", vec![removal])), accepted(3));
    assert!(bench.table.items().operator_by_key("o-secret").is_none());
}

#[test]
fn an_item_that_does_not_fit_its_target_is_refused() {
    let mut bench = Bench::new();
    let mut change = customer_key("c-secret", "c");
    change.item = Some(Item::Kind);
    let outcome = bench.apply(&edit("mismatch", vec![change]));
    assert!(matches!(outcome, EditOutcome::Invalid { .. }));
}
