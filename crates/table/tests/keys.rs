//! API keys of customers and operators, in the table and in views.

mod common;

use common::{TableHarness, accepted, edit};
use names::CustomerName;
use table::{
    CustomerKey, EditOutcome, Item, ItemChange, ItemId, KeyHash, OperatorKey, OperatorName,
    Revision, Role, View,
};

fn add_customer_key(secret: &str, customer: &str) -> ItemChange {
    ItemChange {
        expected_revision: Revision::ABSENT,
        item: Some(Item::CustomerKey(CustomerKey {
            customer: CustomerName::new(customer).unwrap(),
        })),
        item_id: ItemId::CustomerKey(KeyHash::of(secret)),
    }
}

fn add_operator_key(secret: &str, role: Role) -> ItemChange {
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
fn api_keys_identify_their_owners_in_the_table_and_in_views() {
    let mut harness = TableHarness::new();
    let changes = vec![
        add_customer_key("c-secret", "център"),
        add_operator_key("o-secret", Role::Edit),
    ];
    assert_eq!(harness.apply(&edit("keys", changes)), accepted(2));
    let mut view = View::default();
    view.apply(harness.table.publication_since(view.revision()));
    for items in [harness.table.items(), view.items()] {
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
fn api_keys_are_not_stored_in_plain_text() {
    let mut harness = TableHarness::new();
    harness.apply(&edit(
        "keys",
        vec![add_customer_key("c-secret-c-secret", "c")],
    ));
    let snapshot = harness.table.snapshot();
    let is_leaked = snapshot.windows(8).any(|bytes| bytes == b"c-secret");
    assert!(!is_leaked);
}

#[test]
fn a_removed_api_key_identifies_nobody() {
    let mut harness = TableHarness::new();
    harness.apply(&edit(
        "add",
        vec![add_operator_key("o-secret", Role::Operate)],
    ));
    let mut removal = add_operator_key("o-secret", Role::Operate);
    removal.expected_revision = Revision(2);
    removal.item = None;
    assert_eq!(harness.apply(&edit("remove", vec![removal])), accepted(3));
    assert!(harness.table.items().operator_by_key("o-secret").is_none());
}

#[test]
fn an_item_of_another_type_than_its_id_is_refused() {
    let mut harness = TableHarness::new();
    let mut change = add_customer_key("c-secret", "c");
    change.item = Some(Item::Kind);
    let outcome = harness.apply(&edit("mismatch", vec![change]));
    assert!(matches!(outcome, EditOutcome::Invalid { .. }));
}
