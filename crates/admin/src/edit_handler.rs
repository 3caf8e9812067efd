use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::ETAG;
use hyper::{HeaderMap, StatusCode};
use names::{CustomerName, KindName};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use table::{
    Column, Edit, EditId, EditOutcome, HistoryEntry, ItemChange, Problem, ProblemReason, Revision,
    RowKey,
};
use tokio::time::timeout;

use crate::body::{read_body, read_json};
use crate::handler::{Call, Handler, Reply, json};
use crate::precondition::entity_tag;
use crate::problem_document::ProblemDocument;
use crate::route::query_value;
use crate::row_document::{TargetDocument, read_row};
use crate::{BODY_BYTES_MAX, EDIT_ID_HEADER, WAIT_IN_FORCE_MAX_MS};

const HISTORY_DEFAULT: usize = 100;
const HISTORY_MAX: usize = 1_000;

/// Answer to an accepted edit.
#[derive(Debug, Serialize)]
struct AcceptedDocument {
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<bool>,
    revision: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeDocument {
    customer: String,
    expected_revision: u64,
    kind: String,
    row: Option<Map<String, Value>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EditDocument {
    changes: Vec<ChangeDocument>,
}

#[derive(Debug, Serialize)]
struct RevisedDocument {
    at_ms: u64,
    author: String,
    changed: Vec<TargetDocument>,
    edit_id: String,
    revision: u64,
}

#[derive(Debug, Serialize)]
struct HistoryDocument {
    edits: Vec<RevisedDocument>,
}

impl ChangeDocument {
    fn read(&self, number: usize) -> Result<ItemChange, Vec<Problem>> {
        let label = format!("change {number}");
        let problem = |column, error: names::Error| Problem {
            column,
            reason: ProblemReason::Name {
                detail: error.to_string(),
            },
            row: label.clone(),
        };
        let mut problems = Vec::new();
        let customer = CustomerName::new(&self.customer);
        let customer = customer.map_err(|error| problems.push(problem(Column::Customer, error)));
        let kind = KindName::new(&self.kind);
        let kind = kind.map_err(|error| problems.push(problem(Column::Kind, error)));
        let (Ok(customer), Ok(kind)) = (customer, kind) else {
            return Err(problems);
        };
        let key = RowKey { customer, kind };
        let row = self.row.as_ref();
        let row = row
            .map(|fields| read_row(&label, &key, fields))
            .transpose()?;
        Ok(ItemChange::row(key, Revision(self.expected_revision), row))
    }
}

impl RevisedDocument {
    fn new(edit: &HistoryEntry) -> Self {
        Self {
            at_ms: edit.at_ms,
            author: edit.author.to_string(),
            changed: edit.item_ids.iter().map(TargetDocument::new).collect(),
            edit_id: edit.edit_id.to_string(),
            revision: edit.revision.0,
        }
    }
}

/// Answers an edit's outcome, after the edit is in force where the query asks for that.
pub(crate) async fn answer(
    handler: &Handler,
    query: &str,
    outcome: EditOutcome,
    conflict: StatusCode,
) -> Reply {
    match outcome {
        EditOutcome::Accepted { revision } => accepted(handler, query, revision).await,
        EditOutcome::Busy { retry_after_ms } => Err(ProblemDocument::busy(retry_after_ms)),
        EditOutcome::Conflict { current } => Err(ProblemDocument::conflict(conflict, current)),
        EditOutcome::IdReused => Err(ProblemDocument::id_reused()),
        EditOutcome::Invalid { problems } => Err(ProblemDocument::invalid(&problems)),
    }
}

/// Reads the id that every edit needs.
pub(crate) fn edit_id(headers: &HeaderMap) -> Result<EditId, ProblemDocument> {
    let detail = format!("send {EDIT_ID_HEADER}, a new id for each edit");
    let header = headers.get(EDIT_ID_HEADER);
    let header = header.ok_or_else(|| ProblemDocument::bad_request(detail))?;
    let id = header.to_str().unwrap_or_default();
    EditId::new(id).map_err(|error| ProblemDocument::bad_request(error.to_string()))
}

pub(crate) async fn history(handler: &Handler, call: &Call) -> Reply {
    let before = number(&call.query, "before")?.unwrap_or(u64::MAX);
    let limit = number(&call.query, "limit")?.unwrap_or(HISTORY_DEFAULT as u64);
    let limit = usize::try_from(limit)
        .unwrap_or(HISTORY_MAX)
        .min(HISTORY_MAX);
    let edits = handler.backend.history(Revision(before), limit).await?;
    let edits = edits.iter().map(RevisedDocument::new).collect();
    Ok(json(StatusCode::OK, &HistoryDocument { edits }))
}

/// Whole number in the query.
pub(crate) fn number(query: &str, name: &str) -> Result<Option<u64>, ProblemDocument> {
    let Some(text) = query_value(query, name) else {
        return Ok(None);
    };
    let detail = format!("{name} is not a whole number");
    let number = text.parse();
    number
        .map(Some)
        .map_err(|_| ProblemDocument::bad_request(detail))
}

pub(crate) async fn post(handler: &Handler, call: &Call, body: Incoming) -> Reply {
    let edit_id = edit_id(&call.headers)?;
    let body = read_body(body, BODY_BYTES_MAX).await?;
    let document: EditDocument = read_json(&body)?;
    let mut changes = Vec::with_capacity(document.changes.len());
    let mut problems = Vec::new();
    for (change, number) in document.changes.iter().zip(1..) {
        match change.read(number) {
            Ok(change) => changes.push(change),
            Err(found) => problems.extend(found),
        }
    }
    if !problems.is_empty() {
        return Err(ProblemDocument::invalid(&problems));
    }
    let edit = Edit {
        author: call.operator.name.clone(),
        changes,
        edit_id,
        source: None,
    };
    let outcome = handler.backend.edit(edit).await?;
    answer(handler, &call.query, outcome, StatusCode::CONFLICT).await
}

/// Edits one item under a precondition.
pub(crate) async fn single(handler: &Handler, call: &Call, change: ItemChange) -> Reply {
    let edit = Edit {
        author: call.operator.name.clone(),
        changes: vec![change],
        edit_id: edit_id(&call.headers)?,
        source: None,
    };
    let outcome = handler.backend.edit(edit).await?;
    answer(
        handler,
        &call.query,
        outcome,
        StatusCode::PRECONDITION_FAILED,
    )
    .await
}

async fn accepted(handler: &Handler, query: &str, revision: Revision) -> Reply {
    let is_waiting = query_value(query, "wait").as_deref() == Some("in-force");
    let in_force = if is_waiting {
        Some(is_in_force_soon(handler, revision).await)
    } else {
        None
    };
    let status = match in_force {
        Some(false) => StatusCode::ACCEPTED,
        _ => StatusCode::OK,
    };
    let revision_number = revision.0;
    let mut response = json(
        status,
        &AcceptedDocument {
            in_force,
            revision: revision_number,
        },
    );
    let tag = entity_tag(revision);
    response.headers_mut().insert(ETAG, tag);
    Ok(response)
}

async fn is_in_force_soon(handler: &Handler, revision: Revision) -> bool {
    let limit = Duration::from_millis(WAIT_IN_FORCE_MAX_MS);
    let waited = timeout(limit, handler.backend.wait_in_force(revision)).await;
    matches!(waited, Ok(Ok(())))
}
