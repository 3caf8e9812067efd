use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_DISPOSITION, ETAG, HeaderValue};
use serde::Serialize;
use table::{Diff, Edit, Items, ProposedRow, Revision, SourceDigest, read_csv, write_csv};

use crate::body::read_body;
use crate::edit_handler::{edit_id, outcome_response};
use crate::handler::{
    AdminHandler, AuthorisedRequest, HandlerResult, json, text, with_content_type,
};
use crate::precondition::entity_tag;
use crate::problem_document::ProblemDocument;
use crate::route::query_value;
use crate::{CSV_BYTES_MAX, TableVisitor};

/// Response to a table file that changes nothing.
#[derive(Debug, Serialize)]
struct UnchangedDocument {
    revision: u64,
    unchanged: bool,
}

/// Visitor that writes the table as a CSV file.
#[derive(Default)]
struct CsvExport {
    csv: String,
    revision: Revision,
}

impl TableVisitor for CsvExport {
    fn visit(&mut self, items: &Items, revision: Revision) {
        self.csv = write_csv(items, revision);
        self.revision = revision;
    }
}

/// Visitor that compares the rows of a CSV file with the table.
struct CsvComparison {
    diff: Diff,
    proposed: Vec<ProposedRow>,
    revision: Revision,
}

impl TableVisitor for CsvComparison {
    fn visit(&mut self, items: &Items, revision: Revision) {
        self.diff = Diff::between(items, &self.proposed);
        self.revision = revision;
    }
}

pub(crate) async fn get(handler: &AdminHandler) -> HandlerResult {
    let _permit = handler.csv_permits.acquire().await;
    let mut export = CsvExport::default();
    handler.backend.visit_table(&mut export).await?;
    let body = Bytes::from(export.csv);
    let mut response = with_content_type(StatusCode::OK, "text/csv; charset=utf-8", body);
    let file_name = HeaderValue::from_static("attachment; filename=\"table.csv\"");
    let headers = response.headers_mut();
    headers.insert(CONTENT_DISPOSITION, file_name);
    headers.insert(ETAG, entity_tag(export.revision));
    Ok(response)
}

pub(crate) async fn put(
    handler: &AdminHandler,
    request: &AuthorisedRequest,
    body: Incoming,
) -> HandlerResult {
    let _permit = handler.csv_permits.acquire().await;
    let file = read_body(body, CSV_BYTES_MAX).await?;
    if query_value(&request.query, "dry-run").as_deref() == Some("true") {
        let comparison = compare_file(handler, &file).await?;
        return Ok(text(StatusCode::OK, comparison.diff.to_string()));
    }
    let mut edit = Edit {
        author: request.operator.name.clone(),
        changes: Vec::new(),
        edit_id: edit_id(&request.headers)?,
        source: Some(SourceDigest::of(&file)),
    };
    if let Some(stored) = handler.backend.stored_outcome(&edit).await? {
        return outcome_response(handler, &request.query, stored, StatusCode::CONFLICT).await;
    }
    let CsvComparison { diff, revision, .. } = compare_file(handler, &file).await?;
    if !diff.conflicts.is_empty() {
        let lines = diff.conflicts.iter().map(ToString::to_string);
        let lines = lines.take(table::CONFLICTS_LISTED_MAX).collect();
        return Err(ProblemDocument::file_conflicts(lines));
    }
    if diff.rows.is_empty() {
        let unchanged = UnchangedDocument {
            revision: revision.0,
            unchanged: true,
        };
        return Ok(json(StatusCode::OK, &unchanged));
    }
    edit.changes = diff.changes();
    let outcome = handler.backend.apply_edit(edit).await?;
    outcome_response(handler, &request.query, outcome, StatusCode::CONFLICT).await
}

async fn compare_file(
    handler: &AdminHandler,
    file: &Bytes,
) -> Result<CsvComparison, ProblemDocument> {
    let mut comparison = CsvComparison {
        diff: Diff::default(),
        proposed: parse_csv(file)?,
        revision: Revision::ABSENT,
    };
    handler.backend.visit_table(&mut comparison).await?;
    Ok(comparison)
}

fn parse_csv(file: &[u8]) -> Result<Vec<ProposedRow>, ProblemDocument> {
    let text = str::from_utf8(file);
    let text = text.map_err(|_| ProblemDocument::bad_request("the file is not UTF-8"))?;
    let rows = read_csv(text).map_err(|error| ProblemDocument::bad_request(error.to_string()))?;
    rows.map_err(|problems| ProblemDocument::invalid(&problems))
}
