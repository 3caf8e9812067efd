use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_DISPOSITION, ETAG, HeaderValue};
use serde::Serialize;
use table::{Diff, Edit, Items, ProposedRow, Revision, SourceDigest, read_csv, write_csv};

use crate::body::read_body;
use crate::edit_handler::{answer, edit_id};
use crate::handler::{Call, Handler, Reply, json, text, with_type};
use crate::precondition::entity_tag;
use crate::problem_document::ProblemDocument;
use crate::route::query_value;
use crate::{CSV_BYTES_MAX, TableVisitor};

/// Answer to a file that changes nothing.
#[derive(Debug, Serialize)]
struct UnchangedDocument {
    revision: u64,
    unchanged: bool,
}

#[derive(Default)]
struct Export {
    csv: String,
    revision: Revision,
}

impl TableVisitor for Export {
    fn visit(&mut self, items: &Items, revision: Revision) {
        self.csv = write_csv(items, revision);
        self.revision = revision;
    }
}

struct Compare {
    diff: Diff,
    proposed: Vec<ProposedRow>,
    revision: Revision,
}

impl TableVisitor for Compare {
    fn visit(&mut self, items: &Items, revision: Revision) {
        self.diff = Diff::between(items, &self.proposed);
        self.revision = revision;
    }
}

pub(crate) async fn get(handler: &Handler) -> Reply {
    let _permit = handler.csv_calls.acquire().await;
    let mut export = Export::default();
    handler.backend.visit_table(&mut export).await?;
    let body = Bytes::from(export.csv);
    let mut response = with_type(StatusCode::OK, "text/csv; charset=utf-8", body);
    let file_name = HeaderValue::from_static("attachment; filename=\"table.csv\"");
    let headers = response.headers_mut();
    headers.insert(CONTENT_DISPOSITION, file_name);
    headers.insert(ETAG, entity_tag(export.revision));
    Ok(response)
}

pub(crate) async fn put(handler: &Handler, call: &Call, body: Incoming) -> Reply {
    let _permit = handler.csv_calls.acquire().await;
    let file = read_body(body, CSV_BYTES_MAX).await?;
    if query_value(&call.query, "dry-run").as_deref() == Some("true") {
        let compare = compare(handler, &file).await?;
        return Ok(text(StatusCode::OK, compare.diff.to_string()));
    }
    let mut edit = Edit {
        author: call.operator.name.clone(),
        changes: Vec::new(),
        edit_id: edit_id(&call.headers)?,
        source: Some(SourceDigest::of(&file)),
    };
    if let Some(first) = handler.backend.stored_outcome(&edit).await? {
        return answer(handler, &call.query, first, StatusCode::CONFLICT).await;
    }
    let Compare { diff, revision, .. } = compare(handler, &file).await?;
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
    let outcome = handler.backend.edit(edit).await?;
    answer(handler, &call.query, outcome, StatusCode::CONFLICT).await
}

async fn compare(handler: &Handler, file: &Bytes) -> Result<Compare, ProblemDocument> {
    let mut compare = Compare {
        diff: Diff::default(),
        proposed: read_file(file)?,
        revision: Revision::ABSENT,
    };
    handler.backend.visit_table(&mut compare).await?;
    Ok(compare)
}

fn read_file(file: &[u8]) -> Result<Vec<ProposedRow>, ProblemDocument> {
    let text = str::from_utf8(file);
    let text = text.map_err(|_| ProblemDocument::bad_request("the file is not UTF-8"))?;
    let rows = read_csv(text).map_err(|error| ProblemDocument::bad_request(error.to_string()))?;
    rows.map_err(|problems| ProblemDocument::invalid(&problems))
}
