//! Calls of the operators' interface, for the command line.
//!
//! An edit is sent again under the same edit id where its answer is lost, so that it takes effect
//! at most once.

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

use crate::percent::encode;
use crate::random::random_hex;
use crate::{EDIT_ID_HEADER, Error, Response};

const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;
const ATTEMPTS_MAX: u32 = 4;
const CALL_TIMEOUT_MS: u64 = 60_000;
const EDIT_ID_BYTES: usize = 16;
const KEY_BYTES: usize = 32;
const PAGE_ROWS: usize = 10_000;
const RETRY_MS: u64 = 250;

/// Whose key is made.
#[derive(Debug, Clone)]
pub enum KeyHolder {
    /// A customer.
    Customer(String),
    /// An operator, with a role.
    Operator(String, Role),
}

/// Calls the interface of one instance.
#[derive(Debug)]
pub struct AdminClient {
    address: String,
    http: HttpClient<HttpConnector, Full<Bytes>>,
    key: Option<String>,
}

struct Call {
    body: Bytes,
    headers: Vec<(HeaderName, String)>,
    method: Method,
    path: String,
}

impl Call {
    fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            body: Bytes::new(),
            headers: Vec::new(),
            method,
            path: path.into(),
        }
    }

    async fn edit(method: Method, path: impl Into<String>) -> Result<Self, Error> {
        let id = random::<EDIT_ID_BYTES>().await?;
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
    /// A client of the instance at `address` (`host:port`), with an operator's key.
    #[must_use]
    pub fn new(address: &str, key: Option<&str>) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Self {
            address: address.to_owned(),
            http,
            key: key.map(str::to_owned),
        }
    }

    /// Starts a planned stop of the instance.
    ///
    /// # Errors
    ///
    /// Fails where the call gets no answer.
    pub async fn drain(&self) -> Result<Response, Error> {
        self.call(&Call::new(Method::POST, "/v1/drain")).await
    }

    /// Every endpoint.
    ///
    /// # Errors
    ///
    /// Fails where the call gets no answer.
    pub async fn endpoints(&self) -> Result<Response, Error> {
        self.get("/v1/endpoints").await
    }

    /// Latest accepted edits, newest first.
    ///
    /// # Errors
    ///
    /// Fails where the call gets no answer.
    pub async fn history(&self, limit: usize) -> Result<Response, Error> {
        self.get(&format!("/v1/table/history?limit={limit}")).await
    }

    /// Every instance.
    ///
    /// # Errors
    ///
    /// Fails where the call gets no answer.
    pub async fn instances(&self) -> Result<Response, Error> {
        self.get("/v1/instances").await
    }

    /// Makes a key and gives it back; only its hash is sent.
    ///
    /// # Errors
    ///
    /// Fails where the call gets no answer.
    pub async fn create_key(&self, holder: &KeyHolder) -> Result<(String, Response), Error> {
        let key = random::<KEY_BYTES>().await?;
        let hash = KeyHash::of(&key).to_string();
        let body = match holder {
            KeyHolder::Customer(customer) => json!({"customer": customer, "key_sha256": hash}),
            KeyHolder::Operator(operator, role) => {
                json!({"key_sha256": hash, "operator": operator, "role": role})
            }
        };
        let call = Call::edit(Method::POST, "/v1/keys").await?;
        let response = self.call(&call.body(body.to_string())).await?;
        Ok((key, response))
    }

    /// Declares a kind of work.
    ///
    /// # Errors
    ///
    /// Fails where the call gets no answer.
    pub async fn put_kind(&self, kind: &str) -> Result<Response, Error> {
        let path = format!("/v1/kinds/{}", encode(kind));
        let call = Call::edit(Method::PUT, path).await?;
        self.call(&call.header(IF_NONE_MATCH, "*")).await
    }

    /// One row.
    ///
    /// # Errors
    ///
    /// Fails where the call gets no answer.
    pub async fn row(&self, customer: &str, kind: &str) -> Result<Response, Error> {
        self.get(&row_path(customer, kind)).await
    }

    /// State of the instance.
    ///
    /// # Errors
    ///
    /// Fails where the call gets no answer.
    pub async fn status(&self) -> Result<Response, Error> {
        self.get("/v1/status").await
    }

    /// Applies a table file; waits until it is in force.
    ///
    /// # Errors
    ///
    /// Fails where the call gets no answer.
    pub async fn table_apply(&self, csv: &str) -> Result<Response, Error> {
        let call = Call::edit(Method::PUT, "/v1/table.csv?wait=in-force").await?;
        let call = call.header(CONTENT_TYPE, "text/csv; charset=utf-8");
        self.call(&call.body(csv.to_owned())).await
    }

    /// The table as a file.
    ///
    /// # Errors
    ///
    /// Fails where the call gets no answer.
    pub async fn table_csv(&self) -> Result<Response, Error> {
        self.get("/v1/table.csv").await
    }

    /// What a table file would change, as text.
    ///
    /// # Errors
    ///
    /// Fails where the call gets no answer.
    pub async fn table_diff(&self, csv: &str) -> Result<Response, Error> {
        let call = Call::new(Method::PUT, "/v1/table.csv?dry-run=true");
        self.call(&call.body(csv.to_owned())).await
    }

    /// Sets fields of a row, which is added where it does not exist; waits until it is in force.
    ///
    /// Values that are JSON are sent as such, all others as text.
    ///
    /// # Errors
    ///
    /// Fails where the call gets no answer.
    pub async fn table_set(
        &self,
        customer: &str,
        kind: &str,
        fields: &[(String, String)],
    ) -> Result<Response, Error> {
        let present = self.row(customer, kind).await?;
        if !present.is_success() && present.status != 404 {
            return Ok(present);
        }
        let (name, tag) = match &present.entity_tag {
            Some(tag) if present.is_success() => (IF_MATCH, tag.as_str()),
            _ => (IF_NONE_MATCH, "*"),
        };
        let mut row = match present.json() {
            Value::Object(row) if present.is_success() => row,
            _ => Map::new(),
        };
        for (field, text) in fields {
            let value = serde_json::from_str(text);
            row.insert(field.clone(), value.unwrap_or_else(|_| json!(text)));
        }
        let path = format!("{}?wait=in-force", row_path(customer, kind));
        let call = Call::edit(Method::PUT, path).await?;
        let body = Value::Object(row).to_string();
        self.call(&call.header(name, tag).body(body)).await
    }

    /// Every row, or those of one customer; the pages are joined.
    ///
    /// # Errors
    ///
    /// Fails where a call gets no answer.
    pub async fn table_show(&self, customer: Option<&str>) -> Result<Response, Error> {
        let filter = customer.map(|name| format!("&customer={}", encode(name)));
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
            after = format!("&after={}", encode(next));
        }
    }

    async fn call(&self, call: &Call) -> Result<Response, Error> {
        let mut attempt = 1;
        loop {
            let result = self.call_once(call).await;
            let is_repeated = match &result {
                Ok(response) => response.is_worth_repeating(),
                Err(error) => matches!(error, Error::Call { .. }),
            };
            if !is_repeated || attempt == ATTEMPTS_MAX {
                return result;
            }
            sleep(Duration::from_millis(RETRY_MS << attempt)).await;
            attempt += 1;
        }
    }

    async fn call_once(&self, call: &Call) -> Result<Response, Error> {
        let request = self.request(call)?;
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        match timeout(limit, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(self.call_error(&format!("none within {CALL_TIMEOUT_MS} ms"))),
        }
    }

    fn call_error(&self, reason: &str) -> Error {
        Error::Call {
            address: self.address.clone(),
            reason: reason.to_owned(),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response, Error> {
        let response = self.http.request(request).await;
        let response = response.map_err(|error| self.call_error(&with_sources(&error)))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_BYTES_MAX).collect().await;
        let body = body.map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                return Error::Length {
                    address: self.address.clone(),
                    max_bytes: ANSWER_BYTES_MAX,
                };
            }
            self.call_error(&error.to_string())
        })?;
        let entity_tag = parts.headers.get(ETAG).and_then(|tag| tag.to_str().ok());
        Ok(Response {
            body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            entity_tag: entity_tag.map(str::to_owned),
            status: parts.status.as_u16(),
        })
    }

    async fn get(&self, path: &str) -> Result<Response, Error> {
        self.call(&Call::new(Method::GET, path)).await
    }

    fn request(&self, call: &Call) -> Result<Request<Full<Bytes>>, Error> {
        let uri = format!("http://{}{}", self.address, call.path);
        let mut request = Request::builder().method(&call.method).uri(uri);
        for (name, value) in &call.headers {
            request = request.header(name, value);
        }
        if let Some(key) = &self.key {
            request = request.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        request
            .body(Full::new(call.body.clone()))
            .map_err(|error| Error::Request {
                reason: error.to_string(),
            })
    }
}

async fn random<const BYTES: usize>() -> Result<String, Error> {
    random_hex::<BYTES>().await.map_err(|error| Error::Request {
        reason: format!("no random bytes: {error}"),
    })
}

fn row_path(customer: &str, kind: &str) -> String {
    format!("/v1/table/rows/{}/{}", encode(customer), encode(kind))
}

fn with_sources(error: &dyn std::error::Error) -> String {
    let sources = std::iter::successors(Some(error), |error| error.source());
    let texts: Vec<String> = sources.map(ToString::to_string).collect();
    texts.join(": ")
}
