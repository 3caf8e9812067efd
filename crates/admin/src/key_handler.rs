use hyper::StatusCode;
use hyper::body::Incoming;
use names::{CustomerName, KindName};
use serde::Serialize;
use table::{CustomerKey, Item, ItemChange, ItemId, Items, OperatorKey, OperatorName, Revision};

use crate::body::{read_body, read_json};
use crate::edit_handler::single;
use crate::handler::{Call, Handler, Reply, json};
use crate::key_document::{KeyDocument, KeysDocument};
use crate::precondition::expected_revision;
use crate::problem_document::ProblemDocument;
use crate::route::key_hash;
use crate::{BODY_BYTES_MAX, TableVisitor};

#[derive(Debug, Serialize)]
struct KindDocument {
    kind: String,
    revision: u64,
}

#[derive(Debug, Default, Serialize)]
struct KindsDocument {
    kinds: Vec<KindDocument>,
}

impl TableVisitor for KeysDocument {
    fn visit(&mut self, items: &Items, _: Revision) {
        *self = Self::of(items);
    }
}

impl TableVisitor for KindsDocument {
    fn visit(&mut self, items: &Items, _: Revision) {
        let kinds = items.kinds().map(|(kind, revision)| KindDocument {
            kind: kind.to_string(),
            revision: revision.0,
        });
        self.kinds = kinds.collect();
    }
}

pub(crate) async fn delete(handler: &Handler, call: &Call, item_id: ItemId) -> Reply {
    let change = ItemChange {
        expected_revision: expected_revision(&call.headers)?,
        item: None,
        item_id,
    };
    single(handler, call, change).await
}

pub(crate) async fn delete_kind(handler: &Handler, call: &Call, kind: KindName) -> Reply {
    delete(handler, call, ItemId::Kind(kind)).await
}

pub(crate) async fn list(handler: &Handler) -> Reply {
    let mut keys = KeysDocument::default();
    handler.backend.visit_table(&mut keys).await?;
    Ok(json(StatusCode::OK, &keys))
}

pub(crate) async fn list_kinds(handler: &Handler) -> Reply {
    let mut kinds = KindsDocument::default();
    handler.backend.visit_table(&mut kinds).await?;
    Ok(json(StatusCode::OK, &kinds))
}

pub(crate) async fn post(handler: &Handler, call: &Call, body: Incoming) -> Reply {
    let body = read_body(body, BODY_BYTES_MAX).await?;
    let (item_id, item) = read_key(&read_json(&body)?)?;
    let change = ItemChange {
        expected_revision: Revision::ABSENT,
        item: Some(item),
        item_id,
    };
    single(handler, call, change).await
}

pub(crate) async fn put_kind(handler: &Handler, call: &Call, kind: KindName) -> Reply {
    let change = ItemChange {
        expected_revision: expected_revision(&call.headers)?,
        item: Some(Item::Kind),
        item_id: ItemId::Kind(kind),
    };
    single(handler, call, change).await
}

fn name_problem(error: &names::Error) -> ProblemDocument {
    ProblemDocument::bad_request(error.to_string())
}

fn read_key(document: &KeyDocument) -> Result<(ItemId, Item), ProblemDocument> {
    let hash = key_hash(&document.key_sha256)?;
    match (&document.customer, &document.operator, document.role) {
        (Some(customer), None, None) => {
            let customer = CustomerName::new(customer).map_err(|error| name_problem(&error))?;
            let key = CustomerKey { customer };
            Ok((ItemId::CustomerKey(hash), Item::CustomerKey(key)))
        }
        (None, Some(operator), Some(role)) => {
            let operator = OperatorName::new(operator).map_err(|error| name_problem(&error))?;
            let key = OperatorKey { operator, role };
            Ok((ItemId::OperatorKey(hash), Item::OperatorKey(key)))
        }
        _ => Err(ProblemDocument::bad_request(
            "a key names a customer, or an operator and a role",
        )),
    }
}
