use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::ETAG;
use hyper::{Response, StatusCode};
use names::{CustomerName, KindName};
use serde::Serialize;
use serde_json::{Map, Value};
use table::{ItemChange, Items, Revision, RowKey};

use crate::body::{read_body, read_json};
use crate::edit_handler::{number, single};
use crate::handler::{Call, Handler, Reply, json};
use crate::precondition::{entity_tag, expected_revision, has_revision};
use crate::problem_document::ProblemDocument;
use crate::route::query_value;
use crate::row_document::{RowDocument, read_row};
use crate::{BODY_BYTES_MAX, TableVisitor};

const ROWS_DEFAULT: usize = 1_000;
const ROWS_MAX: usize = 10_000;

/// Some rows of the table, ordered by customer and kind.
#[derive(Debug, Serialize)]
struct TableDocument {
    /// Where the next page starts.
    #[serde(skip_serializing_if = "Option::is_none")]
    next_after: Option<String>,
    revision: u64,
    rows: Vec<RowDocument>,
}

struct FindRow {
    found: Option<(RowDocument, Revision)>,
    key: RowKey,
}

impl TableVisitor for FindRow {
    fn visit(&mut self, items: &Items, _: Revision) {
        let found = items.row(&self.key);
        self.found = found.map(|(row, revision)| {
            let document = RowDocument::new(&self.key, revision, row);
            (document, revision)
        });
    }
}

struct ListRows {
    after: Option<RowKey>,
    customer: Option<CustomerName>,
    document: TableDocument,
    limit: usize,
}

impl TableVisitor for ListRows {
    fn visit(&mut self, items: &Items, revision: Revision) {
        let is_wanted = |key: &RowKey| {
            let customer = self.customer.as_ref();
            customer.is_none_or(|customer| key.customer == *customer)
        };
        let rows = items.rows_after(self.after.as_ref());
        let mut rows = rows.filter(|(key, ..)| is_wanted(key)).peekable();
        let page = rows.by_ref().take(self.limit);
        let page: Vec<_> = page.collect();
        let last = page.last().filter(|_| rows.peek().is_some());
        self.document = TableDocument {
            next_after: last.map(|(key, ..)| key.to_string()),
            revision: revision.0,
            rows: page
                .iter()
                .map(|(key, revision, row)| RowDocument::new(key, *revision, row))
                .collect(),
        };
    }
}

pub(crate) async fn delete(handler: &Handler, call: &Call, key: RowKey) -> Reply {
    let expected = expected_revision(&call.headers)?;
    single(handler, call, ItemChange::row(key, expected, None)).await
}

pub(crate) async fn get(handler: &Handler, call: &Call, key: RowKey) -> Reply {
    let mut find = FindRow { found: None, key };
    handler.backend.visit_table(&mut find).await?;
    let Some((document, revision)) = find.found else {
        let detail = format!("there is no row {}", find.key);
        return Err(ProblemDocument::not_found(detail));
    };
    let mut response = if has_revision(&call.headers, revision) {
        not_modified()
    } else {
        json(StatusCode::OK, &document)
    };
    response.headers_mut().insert(ETAG, entity_tag(revision));
    Ok(response)
}

pub(crate) async fn list(handler: &Handler, call: &Call) -> Reply {
    let limit = number(&call.query, "limit")?.unwrap_or(ROWS_DEFAULT as u64);
    let limit = usize::try_from(limit)
        .unwrap_or(ROWS_MAX)
        .clamp(1, ROWS_MAX);
    let mut list = ListRows {
        after: after(&call.query)?,
        customer: customer(&call.query)?,
        document: TableDocument {
            next_after: None,
            revision: 0,
            rows: Vec::new(),
        },
        limit,
    };
    handler.backend.visit_table(&mut list).await?;
    let revision = Revision(list.document.revision);
    let mut response = if has_revision(&call.headers, revision) {
        not_modified()
    } else {
        json(StatusCode::OK, &list.document)
    };
    response.headers_mut().insert(ETAG, entity_tag(revision));
    Ok(response)
}

pub(crate) async fn put(handler: &Handler, call: &Call, key: RowKey, body: Incoming) -> Reply {
    let expected = expected_revision(&call.headers)?;
    let body = read_body(body, BODY_BYTES_MAX).await?;
    let fields: Map<String, Value> = read_json(&body)?;
    let row = read_row(&key.to_string(), &key, &fields);
    let row = row.map_err(|problems| ProblemDocument::invalid(&problems))?;
    single(handler, call, ItemChange::row(key, expected, Some(row))).await
}

fn after(query: &str) -> Result<Option<RowKey>, ProblemDocument> {
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

fn customer(query: &str) -> Result<Option<CustomerName>, ProblemDocument> {
    let name = query_value(query, "customer").map(|name| CustomerName::new(&name));
    name.transpose()
        .map_err(|error| ProblemDocument::bad_request(format!("customer: {error}")))
}

fn not_modified() -> Response<Full<Bytes>> {
    let mut response = Response::default();
    *response.status_mut() = StatusCode::NOT_MODIFIED;
    response
}
