use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use serde::Serialize;
use table::{Problem, Role, VersionedItem};

use crate::BackendError;
use crate::row_document::CurrentItemDocument;

const TYPE_PREFIX: &str = "urn:gentiancleat:problem:";

/// Whether the request was carried out.
#[derive(Debug, Clone, Copy, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Outcome {
    NotRun,
    Unknown,
}

/// Violated rule of the table, as JSON.
#[derive(Debug, Serialize)]
struct RuleViolationDocument {
    column: &'static str,
    reason: String,
    row: String,
}

/// Error response of type `application/problem+json`.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct ProblemDocument(Box<ProblemFields>);

/// Content of a [`ProblemDocument`].
#[derive(Debug, Serialize)]
struct ProblemFields {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    conflicts: Vec<String>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    current: Vec<CurrentItemDocument>,
    detail: String,
    #[serde(skip)]
    headers: Vec<(HeaderName, HeaderValue)>,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    problems: Vec<RuleViolationDocument>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(serialize_with = "serialize_status")]
    status: StatusCode,
    title: &'static str,
    r#type: String,
}

impl ProblemDocument {
    pub(crate) fn new(
        status: StatusCode,
        kind: &'static str,
        title: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        Self(Box::new(ProblemFields {
            conflicts: Vec::new(),
            current: Vec::new(),
            detail: detail.into(),
            headers: Vec::new(),
            outcome: Outcome::NotRun,
            problems: Vec::new(),
            retry_after_ms: None,
            status,
            title,
            r#type: format!("{TYPE_PREFIX}{kind}"),
        }))
    }

    pub(crate) fn bad_request(detail: impl Into<String>) -> Self {
        let status = StatusCode::BAD_REQUEST;
        Self::new(status, "bad-request", "Request cannot be read", detail)
    }

    pub(crate) fn busy(retry_after_ms: u64) -> Self {
        let detail = "too many answers to edits are kept; nothing was changed";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self::new(status, "busy", "Too many edits", detail).with_retry_after(retry_after_ms)
    }

    pub(crate) fn conflict(status: StatusCode, current: Vec<VersionedItem>) -> Self {
        let detail = "not at the expected revision; nothing was changed";
        let mut problem = Self::new(status, "conflict", "Changed by another edit", detail);
        problem.0.current = current.into_iter().map(CurrentItemDocument::new).collect();
        problem
    }

    pub(crate) fn file_conflicts(conflicts: Vec<String>) -> Self {
        let detail = "lines of the file do not fit the present table; nothing was changed";
        let status = StatusCode::CONFLICT;
        let mut problem = Self::new(status, "conflict", "Changed by another edit", detail);
        problem.0.conflicts = conflicts;
        problem
    }

    pub(crate) fn forbidden(required: Role) -> Self {
        let detail = format!("this call needs the role {required:?}").to_lowercase();
        let status = StatusCode::FORBIDDEN;
        Self::new(status, "forbidden", "Role does not suffice", detail)
    }

    pub(crate) fn id_reused() -> Self {
        let detail = "the edit id was used for another edit; nothing was changed";
        let status = StatusCode::CONFLICT;
        Self::new(status, "edit-id-reused", "Edit id in use", detail)
    }

    pub(crate) fn invalid(problems: &[Problem]) -> Self {
        let detail = "rules of the table are broken; nothing was changed";
        let status = StatusCode::UNPROCESSABLE_ENTITY;
        let mut document = Self::new(status, "invalid", "Invalid rows", detail);
        let rows = problems.iter().take(table::PROBLEMS_LISTED_MAX);
        document.0.problems = rows
            .map(|problem| RuleViolationDocument {
                column: problem.column.name(),
                reason: problem.reason.to_string(),
                row: problem.row.clone(),
            })
            .collect();
        document
    }

    pub(crate) fn method_not_allowed(allowed: &'static str) -> Self {
        let status = StatusCode::METHOD_NOT_ALLOWED;
        let detail = format!("this path allows {allowed}");
        let mut problem = Self::new(status, "method", "Method not allowed", detail);
        let value = HeaderValue::from_static(allowed);
        problem.0.headers.push((ALLOW, value));
        problem
    }

    pub(crate) fn not_found(detail: impl Into<String>) -> Self {
        let status = StatusCode::NOT_FOUND;
        Self::new(status, "not-found", "Not found", detail)
    }

    pub(crate) fn precondition_required() -> Self {
        let detail = "send if-match with the revision in quotes, or if-none-match: * to add";
        let status = StatusCode::PRECONDITION_REQUIRED;
        Self::new(status, "precondition-required", "Revision missing", detail)
    }

    pub(crate) fn unauthorised() -> Self {
        let detail = "send authorization: Bearer with an operator's key";
        let status = StatusCode::UNAUTHORIZED;
        let mut problem = Self::new(status, "unauthorised", "Key missing or not known", detail);
        let value = HeaderValue::from_static("Bearer");
        problem.0.headers.push((WWW_AUTHENTICATE, value));
        problem
    }

    pub(crate) fn into_response(self) -> Response<Full<Bytes>> {
        let body = serde_json::to_vec(&self).expect("problem documents encode without failure");
        let mut response = Response::new(Full::from(body));
        *response.status_mut() = self.0.status;
        let content_type = HeaderValue::from_static("application/problem+json");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response.headers_mut().extend(self.0.headers);
        response
    }

    fn with_retry_after(mut self, retry_after_ms: u64) -> Self {
        let seconds = HeaderValue::from(retry_after_ms.div_ceil(1_000));
        self.0.headers.push((RETRY_AFTER, seconds));
        self.0.retry_after_ms = Some(retry_after_ms);
        self
    }
}

impl From<BackendError> for ProblemDocument {
    fn from(error: BackendError) -> Self {
        let detail = error.to_string();
        match error {
            BackendError::Unavailable { retry_after_ms, .. } => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Self::new(status, "unavailable", "Not possible now", detail)
                    .with_retry_after(retry_after_ms)
            }
            BackendError::Unknown { .. } => {
                let status = StatusCode::GATEWAY_TIMEOUT;
                let mut problem = Self::new(status, "unknown", "Answer lost", detail);
                problem.0.outcome = Outcome::Unknown;
                problem
            }
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
fn serialize_status<S: serde::Serializer>(
    status: &StatusCode,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u16(status.as_u16())
}
