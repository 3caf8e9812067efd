//! Client of the admin interface, for the command line.
//!
//! If the response to an edit is lost, the client retries with the same edit id, so that the edit
//! takes effect at most once.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, ETAG, HeaderName, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Map, Value, json};
use table::{KeyHash, Role};
use tokio::time::{sleep, timeout};

use crate::percent::percent_encode;
use crate::random::random_hex;
use crate::{EDIT_ID_HEADER, Error, Response};

const ATTEMPTS_MAX: u32 = 4;
const EDIT_ID_BYTES: usize = 16;
const KEY_BYTES: usize = 32;
const PAGE_ROWS: usize = 10_000;
const REQUEST_TIMEOUT_MS: u64 = 60_000;
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;
const RETRY_BASE_DELAY_MS: u64 = 250;

/// Customer or operator that a new key is for.
#[derive(Debug, Clone)]
pub enum KeyOwner {
    /// A customer.
    Customer(String),
    /// An operator and its role.
    Operator(String, Role),
}

/// HTTP client of one instance's admin interface.
#[derive(Debug)]
pub struct AdminClient {
    address: String,
    http: HttpClient<HttpConnector, Full<Bytes>>,
    key: Option<String>,
}

/// Request to the admin interface, kept so that it can be sent again.
struct ApiRequest {
    body: Bytes,
    headers: Vec<(HeaderName, String)>,
    method: Method,
    path: String,
}

impl ApiRequest {
    fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            body: Bytes::new(),
            headers: Vec::new(),
            method,
            path: path.into(),
        }
    }

    async fn with_edit_id(method: Method, path: impl Into<String>) -> Result<Self, Error> {
        let id = generate_hex::<EDIT_ID_BYTES>().await?;
        Ok(Self::new(method, path).header(HeaderName::from_static(EDIT_ID_HEADER), &id))
    }

    fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    fn header(mut self, name: HeaderName, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }
}

impl AdminClient {
    /// Client of the instance at `address` (`host:port`), with an operator's key.
    #[must_use]
    pub fn new(address: &str, key: Option<&str>) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Self {
            address: address.to_owned(),
            http,
            key: key.map(str::to_owned),
        }
    }

    /// Starts to drain the instance.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn drain(&self) -> Result<Response, Error> {
        self.send(&ApiRequest::new(Method::POST, "/v1/drain")).await
    }

    /// Lists all endpoints.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn endpoints(&self) -> Result<Response, Error> {
        self.get("/v1/endpoints").await
    }

    /// Lists the latest accepted edits, newest first.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn history(&self, limit: usize) -> Result<Response, Error> {
        self.get(&format!("/v1/table/history?limit={limit}")).await
    }

    /// Lists all instances.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn instances(&self) -> Result<Response, Error> {
        self.get("/v1/instances").await
    }

    /// Generates a key, registers its hash and returns the key; the key itself is not sent.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn create_key(&self, owner: &KeyOwner) -> Result<(String, Response), Error> {
        let key = generate_hex::<KEY_BYTES>().await?;
        let hash = KeyHash::of(&key).to_string();
        let body = match owner {
            KeyOwner::Customer(customer) => json!({"customer": customer, "key_sha256": hash}),
            KeyOwner::Operator(operator, role) => {
                json!({"key_sha256": hash, "operator": operator, "role": role})
            }
        };
        let request = ApiRequest::with_edit_id(Method::POST, "/v1/keys").await?;
        let response = self.send(&request.body(body.to_string())).await?;
        Ok((key, response))
    }

    /// Declares a kind of work.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn put_kind(&self, kind: &str) -> Result<Response, Error> {
        let path = format!("/v1/kinds/{}", percent_encode(kind));
        let request = ApiRequest::with_edit_id(Method::PUT, path).await?;
        self.send(&request.header(IF_NONE_MATCH, "*")).await
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn row(&self, customer: &str, kind: &str) -> Result<Response, Error> {
        self.get(&row_path(customer, kind)).await
    }

    /// Reads the status of the instance.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn status(&self) -> Result<Response, Error> {
        self.get("/v1/status").await
    }

    /// Applies a table file and waits until it is in force.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn table_apply(&self, csv: &str) -> Result<Response, Error> {
        let request = ApiRequest::with_edit_id(Method::PUT, "/v1/table.csv?wait=in-force").await?;
        let request = request.header(CONTENT_TYPE, "text/csv; charset=utf-8");
        self.send(&request.body(csv.to_owned())).await
    }

    /// Reads the table as a CSV file.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn table_csv(&self) -> Result<Response, Error> {
        self.get("/v1/table.csv").await
    }

    /// Lists as text what a table file would change.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn table_diff(&self, csv: &str) -> Result<Response, Error> {
        let request = ApiRequest::new(Method::PUT, "/v1/table.csv?dry-run=true");
        self.send(&request.body(csv.to_owned())).await
    }

    /// Sets fields of a row, or adds the row, and waits until the edit is in force.
    ///
    /// A value that is valid JSON is sent as JSON, any other as a string.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn table_set(
        &self,
        customer: &str,
        kind: &str,
        fields: &[(String, String)],
    ) -> Result<Response, Error> {
        let current = self.row(customer, kind).await?;
        if !current.is_success() && current.status != 404 {
            return Ok(current);
        }
        let (name, tag) = match &current.entity_tag {
            Some(tag) if current.is_success() => (IF_MATCH, tag.as_str()),
            _ => (IF_NONE_MATCH, "*"),
        };
        let mut row = match current.json() {
            Value::Object(row) if current.is_success() => row,
            _ => Map::new(),
        };
        for (field, text) in fields {
            let value = serde_json::from_str(text);
            row.insert(field.clone(), value.unwrap_or_else(|_| json!(text)));
        }
        let path = format!("{}?wait=in-force", row_path(customer, kind));
        let request = ApiRequest::with_edit_id(Method::PUT, path).await?;
        let body = Value::Object(row).to_string();
        self.send(&request.header(name, tag).body(body)).await
    }

    /// Lists all rows, or all rows of one customer, from all pages.
    ///
    /// # Errors
    ///
    /// Fails if a request gets no response.
    pub async fn table_show(&self, customer: Option<&str>) -> Result<Response, Error> {
        let filter = customer.map(|name| format!("&customer={}", percent_encode(name)));
        let filter = filter.unwrap_or_default();
        let mut rows: Vec<Value> = Vec::new();
        let mut after = String::new();
        loop {
            let path = format!("/v1/table?limit={PAGE_ROWS}{filter}{after}");
            let mut response = self.get(&path).await?;
            if !response.is_success() {
                return Ok(response);
            }
            let mut page = response.json();
            rows.append(page["rows"].as_array_mut().unwrap_or(&mut Vec::new()));
            let Some(next) = page["next_after"].as_str() else {
                let document = json!({"revision": page["revision"], "rows": rows});
                response.body = document.to_string();
                return Ok(response);
            };
            after = format!("&after={}", percent_encode(next));
        }
    }

    async fn send(&self, request: &ApiRequest) -> Result<Response, Error> {
        let mut attempt = 1;
        loop {
            let result = self.send_once(request).await;
            let is_retryable = match &result {
                Ok(response) => response.is_retryable(),
                Err(error) => matches!(error, Error::NoResponse { .. }),
            };
            if !is_retryable || attempt == ATTEMPTS_MAX {
                return result;
            }
            sleep(Duration::from_millis(RETRY_BASE_DELAY_MS << attempt)).await;
            attempt += 1;
        }
    }

    async fn send_once(&self, request: &ApiRequest) -> Result<Response, Error> {
        let request = self.http_request(request)?;
        let time_limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        match timeout(time_limit, self.round_trip(request)).await {
            Ok(result) => result,
            Err(_) => Err(self.no_response_error(&format!("none within {REQUEST_TIMEOUT_MS} ms"))),
        }
    }

    fn no_response_error(&self, reason: &str) -> Error {
        Error::NoResponse {
            address: self.address.clone(),
            reason: reason.to_owned(),
        }
    }

    async fn round_trip(&self, request: Request<Full<Bytes>>) -> Result<Response, Error> {
        let response = self.http.request(request).await;
        let response =
            response.map_err(|error| self.no_response_error(&error_with_sources(&error)))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, RESPONSE_BYTES_MAX).collect().await;
        let body = body.map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                return Error::ResponseTooLong {
                    address: self.address.clone(),
                    max_bytes: RESPONSE_BYTES_MAX,
                };
            }
            self.no_response_error(&error.to_string())
        })?;
        let entity_tag = parts.headers.get(ETAG).and_then(|tag| tag.to_str().ok());
        Ok(Response {
            body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            entity_tag: entity_tag.map(str::to_owned),
            status: parts.status.as_u16(),
        })
    }

    async fn get(&self, path: &str) -> Result<Response, Error> {
        self.send(&ApiRequest::new(Method::GET, path)).await
    }

    fn http_request(&self, request: &ApiRequest) -> Result<Request<Full<Bytes>>, Error> {
        let uri = format!("http://{}{}", self.address, request.path);
        let mut builder = Request::builder().method(&request.method).uri(uri);
        for (name, value) in &request.headers {
            builder = builder.header(name, value);
        }
        if let Some(key) = &self.key {
            builder = builder.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        builder
            .body(Full::new(request.body.clone()))
            .map_err(|error| Error::InvalidRequest {
                reason: error.to_string(),
            })
    }
}

async fn generate_hex<const BYTES: usize>() -> Result<String, Error> {
    random_hex::<BYTES>()
        .await
        .map_err(|error| Error::InvalidRequest {
            reason: format!("no random bytes: {error}"),
        })
}

fn row_path(customer: &str, kind: &str) -> String {
    format!(
        "/v1/table/rows/{}/{}",
        percent_encode(customer),
        percent_encode(kind)
    )
}

fn error_with_sources(error: &dyn std::error::Error) -> String {
    let sources = std::iter::successors(Some(error), |error| error.source());
    let texts: Vec<String> = sources.map(ToString::to_string).collect();
    texts.join(": ")
}
