use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::ETAG;
use hyper::{Response, StatusCode};
use names::{CustomerName, KindName};
use serde::Serialize;
use serde_json::{Map, Value};
use table::{ItemChange, Items, Revision, RowKey};

use crate::body::{parse_json, read_body};
use crate::edit_handler::{apply_single_change, parse_number};
use crate::handler::{AdminHandler, AuthorisedRequest, HandlerResult, json};
use crate::precondition::{client_has_revision, entity_tag, expected_revision};
use crate::problem_document::ProblemDocument;
use crate::route::query_value;
use crate::row_document::{RowDocument, parse_row};
use crate::{BODY_BYTES_MAX, TableVisitor};

const PAGE_ROWS_DEFAULT: usize = 1_000;
const PAGE_ROWS_MAX: usize = 10_000;

/// Page of rows, ordered by customer and kind.
#[derive(Debug, Serialize)]
struct RowPageDocument {
    /// Last row of this page, if more rows follow.
    #[serde(skip_serializing_if = "Option::is_none")]
    next_after: Option<String>,
    revision: u64,
    rows: Vec<RowDocument>,
}

/// Visitor that looks up one row.
struct RowLookup {
    found: Option<(RowDocument, Revision)>,
    key: RowKey,
}

impl TableVisitor for RowLookup {
    fn visit(&mut self, items: &Items, _: Revision) {
        let found = items.row(&self.key);
        self.found = found.map(|(row, revision)| {
            let document = RowDocument::new(&self.key, revision, row);
            (document, revision)
        });
    }
}

/// Visitor that collects a page of rows.
struct RowPageQuery {
    after: Option<RowKey>,
    customer: Option<CustomerName>,
    document: RowPageDocument,
    limit: usize,
}

impl TableVisitor for RowPageQuery {
    fn visit(&mut self, items: &Items, revision: Revision) {
        let matches_customer = |key: &RowKey| {
            let customer = self.customer.as_ref();
            customer.is_none_or(|customer| key.customer == *customer)
        };
        let rows = items.rows_after(self.after.as_ref());
        let mut rows = rows.filter(|(key, ..)| matches_customer(key)).peekable();
        let page = rows.by_ref().take(self.limit);
        let page: Vec<_> = page.collect();
        let last = page.last().filter(|_| rows.peek().is_some());
        self.document = RowPageDocument {
            next_after: last.map(|(key, ..)| key.to_string()),
            revision: revision.0,
            rows: page
                .iter()
                .map(|(key, revision, row)| RowDocument::new(key, *revision, row))
                .collect(),
        };
    }
}

pub(crate) async fn delete(
    handler: &AdminHandler,
    request: &AuthorisedRequest,
    key: RowKey,
) -> HandlerResult {
    let expected_revision = expected_revision(&request.headers)?;
    apply_single_change(
        handler,
        request,
        ItemChange::row(key, expected_revision, None),
    )
    .await
}

pub(crate) async fn get(
    handler: &AdminHandler,
    request: &AuthorisedRequest,
    key: RowKey,
) -> HandlerResult {
    let mut lookup = RowLookup { found: None, key };
    handler.backend.visit_table(&mut lookup).await?;
    let Some((document, revision)) = lookup.found else {
        let detail = format!("there is no row {}", lookup.key);
        return Err(ProblemDocument::not_found(detail));
    };
    let mut response = if client_has_revision(&request.headers, revision) {
        not_modified()
    } else {
        json(StatusCode::OK, &document)
    };
    response.headers_mut().insert(ETAG, entity_tag(revision));
    Ok(response)
}

pub(crate) async fn list(handler: &AdminHandler, request: &AuthorisedRequest) -> HandlerResult {
    let limit = parse_number(&request.query, "limit")?.unwrap_or(PAGE_ROWS_DEFAULT as u64);
    let limit = usize::try_from(limit)
        .unwrap_or(PAGE_ROWS_MAX)
        .clamp(1, PAGE_ROWS_MAX);
    let mut page_query = RowPageQuery {
        after: parse_after(&request.query)?,
        customer: parse_customer(&request.query)?,
        document: RowPageDocument {
            next_after: None,
            revision: 0,
            rows: Vec::new(),
        },
        limit,
    };
    handler.backend.visit_table(&mut page_query).await?;
    let revision = Revision(page_query.document.revision);
    let mut response = if client_has_revision(&request.headers, revision) {
        not_modified()
    } else {
        json(StatusCode::OK, &page_query.document)
    };
    response.headers_mut().insert(ETAG, entity_tag(revision));
    Ok(response)
}

pub(crate) async fn put(
    handler: &AdminHandler,
    request: &AuthorisedRequest,
    key: RowKey,
    body: Incoming,
) -> HandlerResult {
    let expected_revision = expected_revision(&request.headers)?;
    let body = read_body(body, BODY_BYTES_MAX).await?;
    let fields: Map<String, Value> = parse_json(&body)?;
    let row = parse_row(&key.to_string(), &key, &fields);
    let row = row.map_err(|problems| ProblemDocument::invalid(&problems))?;
    apply_single_change(
        handler,
        request,
        ItemChange::row(key, expected_revision, Some(row)),
    )
    .await
}

fn parse_after(query: &str) -> Result<Option<RowKey>, ProblemDocument> {
    let Some(text) = query_value(query, "after") else {
        return Ok(None);
    };
    let key = text.split_once('/').and_then(|(customer, kind)| {
        Some(RowKey {
            customer: CustomerName::new(customer).ok()?,
            kind: KindName::new(kind).ok()?,
        })
    });
    let detail = "after must be customer/kind, as in next_after";
    key.map(Some)
        .ok_or_else(|| ProblemDocument::bad_request(detail))
}

fn parse_customer(query: &str) -> Result<Option<CustomerName>, ProblemDocument> {
    let name = query_value(query, "customer").map(|name| CustomerName::new(&name));
    name.transpose()
        .map_err(|error| ProblemDocument::bad_request(format!("customer: {error}")))
}

fn not_modified() -> Response<Full<Bytes>> {
    let mut response = Response::default();
    *response.status_mut() = StatusCode::NOT_MODIFIED;
    response
}
