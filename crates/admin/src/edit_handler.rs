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

use crate::body::{parse_json, read_body};
use crate::handler::{AdminHandler, AuthorisedRequest, HandlerResult, json};
use crate::precondition::entity_tag;
use crate::problem_document::ProblemDocument;
use crate::route::query_value;
use crate::row_document::{ItemIdDocument, parse_row};
use crate::{BODY_BYTES_MAX, EDIT_ID_HEADER, WAIT_IN_FORCE_MAX_MS};

const HISTORY_EDITS_DEFAULT: usize = 100;
const HISTORY_EDITS_MAX: usize = 1_000;

/// Response to an accepted edit.
#[derive(Debug, Serialize)]
struct AcceptedDocument {
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<bool>,
    revision: u64,
}

/// One change in an [`EditDocument`]; a missing row deletes the row.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeDocument {
    customer: String,
    expected_revision: u64,
    kind: String,
    row: Option<Map<String, Value>>,
}

/// Request body of an edit with several changes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EditDocument {
    changes: Vec<ChangeDocument>,
}

/// Accepted edit in the history.
#[derive(Debug, Serialize)]
struct HistoryEntryDocument {
    at_ms: u64,
    author: String,
    changed: Vec<ItemIdDocument>,
    edit_id: String,
    revision: u64,
}

/// Response with a part of the history.
#[derive(Debug, Serialize)]
struct HistoryDocument {
    edits: Vec<HistoryEntryDocument>,
}

impl ChangeDocument {
    fn parse(&self, number: usize) -> Result<ItemChange, Vec<Problem>> {
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
            .map(|fields| parse_row(&label, &key, fields))
            .transpose()?;
        Ok(ItemChange::row(key, Revision(self.expected_revision), row))
    }
}

impl HistoryEntryDocument {
    fn new(edit: &HistoryEntry) -> Self {
        Self {
            at_ms: edit.timestamp_ms,
            author: edit.author.to_string(),
            changed: edit.item_ids.iter().map(ItemIdDocument::new).collect(),
            edit_id: edit.edit_id.to_string(),
            revision: edit.revision.0,
        }
    }
}

/// Response for the outcome of an edit; waits until the edit is in force if the query asks for it.
pub(crate) async fn outcome_response(
    handler: &AdminHandler,
    query: &str,
    outcome: EditOutcome,
    conflict_status: StatusCode,
) -> HandlerResult {
    match outcome {
        EditOutcome::Accepted { revision } => accepted_response(handler, query, revision).await,
        EditOutcome::Busy { retry_after_ms } => Err(ProblemDocument::busy(retry_after_ms)),
        EditOutcome::Conflict { current } => {
            Err(ProblemDocument::conflict(conflict_status, current))
        }
        EditOutcome::IdReused => Err(ProblemDocument::id_reused()),
        EditOutcome::Invalid { problems } => Err(ProblemDocument::invalid(&problems)),
    }
}

/// Parses the edit id, which every edit must have.
pub(crate) fn edit_id(headers: &HeaderMap) -> Result<EditId, ProblemDocument> {
    let detail = format!("send {EDIT_ID_HEADER}, a new id for each edit");
    let header = headers.get(EDIT_ID_HEADER);
    let header = header.ok_or_else(|| ProblemDocument::bad_request(detail))?;
    let id = header.to_str().unwrap_or_default();
    EditId::new(id).map_err(|error| ProblemDocument::bad_request(error.to_string()))
}

pub(crate) async fn history(handler: &AdminHandler, request: &AuthorisedRequest) -> HandlerResult {
    let before = parse_number(&request.query, "before")?.unwrap_or(u64::MAX);
    let limit = parse_number(&request.query, "limit")?.unwrap_or(HISTORY_EDITS_DEFAULT as u64);
    let limit = usize::try_from(limit)
        .unwrap_or(HISTORY_EDITS_MAX)
        .min(HISTORY_EDITS_MAX);
    let edits = handler.backend.history(Revision(before), limit).await?;
    let edits = edits.iter().map(HistoryEntryDocument::new).collect();
    Ok(json(StatusCode::OK, &HistoryDocument { edits }))
}

/// Parses a whole number in the query.
pub(crate) fn parse_number(query: &str, name: &str) -> Result<Option<u64>, ProblemDocument> {
    let Some(text) = query_value(query, name) else {
        return Ok(None);
    };
    let detail = format!("{name} is not a whole number");
    let number = text.parse();
    number
        .map(Some)
        .map_err(|_| ProblemDocument::bad_request(detail))
}

pub(crate) async fn post(
    handler: &AdminHandler,
    request: &AuthorisedRequest,
    body: Incoming,
) -> HandlerResult {
    let edit_id = edit_id(&request.headers)?;
    let body = read_body(body, BODY_BYTES_MAX).await?;
    let document: EditDocument = parse_json(&body)?;
    let mut changes = Vec::with_capacity(document.changes.len());
    let mut problems = Vec::new();
    for (change, number) in document.changes.iter().zip(1..) {
        match change.parse(number) {
            Ok(change) => changes.push(change),
            Err(change_problems) => problems.extend(change_problems),
        }
    }
    if !problems.is_empty() {
        return Err(ProblemDocument::invalid(&problems));
    }
    let edit = Edit {
        author: request.operator.name.clone(),
        changes,
        edit_id,
        source: None,
    };
    let outcome = handler.backend.apply_edit(edit).await?;
    outcome_response(handler, &request.query, outcome, StatusCode::CONFLICT).await
}

/// Applies a change of one item; a failed precondition gives status 412.
pub(crate) async fn apply_single_change(
    handler: &AdminHandler,
    request: &AuthorisedRequest,
    change: ItemChange,
) -> HandlerResult {
    let edit = Edit {
        author: request.operator.name.clone(),
        changes: vec![change],
        edit_id: edit_id(&request.headers)?,
        source: None,
    };
    let outcome = handler.backend.apply_edit(edit).await?;
    outcome_response(
        handler,
        &request.query,
        outcome,
        StatusCode::PRECONDITION_FAILED,
    )
    .await
}

async fn accepted_response(
    handler: &AdminHandler,
    query: &str,
    revision: Revision,
) -> HandlerResult {
    let is_wait_requested = query_value(query, "wait").as_deref() == Some("in-force");
    let in_force = if is_wait_requested {
        Some(wait_until_in_force(handler, revision).await)
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

/// Waits until a revision is in force; false if the time limit passes or the wait fails.
async fn wait_until_in_force(handler: &AdminHandler, revision: Revision) -> bool {
    let time_limit = Duration::from_millis(WAIT_IN_FORCE_MAX_MS);
    let result = timeout(time_limit, handler.backend.wait_in_force(revision)).await;
    matches!(result, Ok(Ok(())))
}
