use hyper::StatusCode;
use hyper::body::Incoming;
use names::{CustomerName, KindName};
use serde::Serialize;
use table::{CustomerKey, Item, ItemChange, ItemId, Items, OperatorKey, OperatorName, Revision};

use crate::body::{parse_json, read_body};
use crate::edit_handler::apply_single_change;
use crate::handler::{AdminHandler, AuthorisedRequest, HandlerResult, json};
use crate::key_document::{KeyDocument, KeysDocument};
use crate::precondition::expected_revision;
use crate::problem_document::ProblemDocument;
use crate::route::parse_key_hash;
use crate::{BODY_BYTES_MAX, TableVisitor};

/// A declared kind of work.
#[derive(Debug, Serialize)]
struct KindDocument {
    kind: String,
    revision: u64,
}

/// Response with all declared kinds.
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

pub(crate) async fn delete(
    handler: &AdminHandler,
    request: &AuthorisedRequest,
    item_id: ItemId,
) -> HandlerResult {
    let change = ItemChange {
        expected_revision: expected_revision(&request.headers)?,
        item: None,
        item_id,
    };
    apply_single_change(handler, request, change).await
}

pub(crate) async fn delete_kind(
    handler: &AdminHandler,
    request: &AuthorisedRequest,
    kind: KindName,
) -> HandlerResult {
    delete(handler, request, ItemId::Kind(kind)).await
}

pub(crate) async fn list(handler: &AdminHandler) -> HandlerResult {
    let mut keys = KeysDocument::default();
    handler.backend.visit_table(&mut keys).await?;
    Ok(json(StatusCode::OK, &keys))
}

pub(crate) async fn list_kinds(handler: &AdminHandler) -> HandlerResult {
    let mut kinds = KindsDocument::default();
    handler.backend.visit_table(&mut kinds).await?;
    Ok(json(StatusCode::OK, &kinds))
}

pub(crate) async fn post(
    handler: &AdminHandler,
    request: &AuthorisedRequest,
    body: Incoming,
) -> HandlerResult {
    let body = read_body(body, BODY_BYTES_MAX).await?;
    let (item_id, item) = parse_key(&parse_json(&body)?)?;
    let change = ItemChange {
        expected_revision: Revision::ABSENT,
        item: Some(item),
        item_id,
    };
    apply_single_change(handler, request, change).await
}

pub(crate) async fn put_kind(
    handler: &AdminHandler,
    request: &AuthorisedRequest,
    kind: KindName,
) -> HandlerResult {
    let change = ItemChange {
        expected_revision: expected_revision(&request.headers)?,
        item: Some(Item::Kind),
        item_id: ItemId::Kind(kind),
    };
    apply_single_change(handler, request, change).await
}

fn invalid_name(error: &names::Error) -> ProblemDocument {
    ProblemDocument::bad_request(error.to_string())
}

fn parse_key(document: &KeyDocument) -> Result<(ItemId, Item), ProblemDocument> {
    let hash = parse_key_hash(&document.key_sha256)?;
    match (&document.customer, &document.operator, document.role) {
        (Some(customer), None, None) => {
            let customer = CustomerName::new(customer).map_err(|error| invalid_name(&error))?;
            let key = CustomerKey { customer };
            Ok((ItemId::CustomerKey(hash), Item::CustomerKey(key)))
        }
        (None, Some(operator), Some(role)) => {
            let operator = OperatorName::new(operator).map_err(|error| invalid_name(&error))?;
            let key = OperatorKey { operator, role };
            Ok((ItemId::OperatorKey(hash), Item::OperatorKey(key)))
        }
        _ => Err(ProblemDocument::bad_request(
            "a key names a customer, or an operator and a role",
        )),
    }
}
