//! Steps of the quickstart, which send requests to the deployment and print the results.

use std::error::Error;
use std::time::Duration;

use admin::AdminClient;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::{Instant, sleep};

use crate::deployment::Deployment;

const COMPLETION_BODY: &str =
    r#"{"model":"advice","prompt":"Which anvil suits a beginner?","max_tokens":40,"stream":true}"#;
const CUSTOMER: &str = "Forge School";
const RETRY_DELAY_MS: u64 = 200;
const STEP_TIMEOUT_MS: u64 = 20_000;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Runs the steps of the quickstart against one deployment.
pub struct Tour<'a> {
    admin: AdminClient,
    deployment: &'a Deployment,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl<'a> Tour<'a> {
    pub fn new(deployment: &'a Deployment) -> Self {
        let admin = deployment.nodes[0].addresses().admin.to_string();
        Self {
            admin: AdminClient::new(&admin, None),
            deployment,
            http: HttpClient::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Runs all steps in order.
    ///
    /// # Errors
    ///
    /// Returns the error of the first step that fails.
    pub async fn run(&self) -> Result<()> {
        self.add_rows().await?;
        self.stream_completion().await?;
        self.book_twice().await?;
        self.edit_weight().await
    }

    /// Prints commands to try while the deployment runs.
    pub fn print_commands(&self) {
        let addresses = self.deployment.nodes[1].addresses();
        println!("\nTry, until you press Ctrl-C:");
        println!(
            "  curl -N http://{}/v1/completions -H 'authorization: Bearer {CUSTOMER}' -d '{COMPLETION_BODY}'",
            addresses.client
        );
        println!(
            "  curl http://{}/services/booking/seats -H 'authorization: Bearer {CUSTOMER}' -H 'idempotency-key: seat-9' -d '{{\"seat\":\"9\"}}'",
            addresses.client
        );
        println!("  curl http://{}/v1/table", addresses.admin);
        println!("  curl http://{}/v1/instances", addresses.admin);
        println!("  curl http://{}/metrics", addresses.admin);
    }

    async fn add_rows(&self) -> Result<()> {
        for kind in ["advice", "booking"] {
            self.retry(async || Ok(self.admin.put_kind(kind).await?.is_success()))
                .await?;
            self.retry(async || self.set_row(kind, "1").await).await?;
        }
        println!("1. rows of {CUSTOMER} for advice and booking are in force");
        Ok(())
    }

    async fn book_twice(&self) -> Result<()> {
        let mut statuses = Vec::new();
        for node in &self.deployment.nodes[..2] {
            let uri = format!("http://{}/services/booking/seats", node.addresses().client);
            let response = self.post(&uri, r#"{"seat":"7"}"#, Some("seat-7")).await?;
            statuses.push(response.status().as_u16());
        }
        let bookings = self.deployment.booking.ledger().len();
        if statuses != [200, 200] || bookings != 1 {
            return Err(format!("statuses {statuses:?}, {bookings} bookings").into());
        }
        println!("3. seat 7 asked for twice with one key, at two instances: {bookings} booking");
        Ok(())
    }

    async fn edit_weight(&self) -> Result<()> {
        let started = Instant::now();
        self.retry(async || self.set_row("advice", "3").await)
            .await?;
        println!(
            "4. weight of advice edited; in force on all instances after {} ms",
            started.elapsed().as_millis()
        );
        Ok(())
    }

    async fn post(
        &self,
        uri: &str,
        body: &str,
        idempotency_key: Option<&str>,
    ) -> Result<Response<Incoming>> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header("authorization", format!("Bearer {CUSTOMER}"));
        if let Some(key) = idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned())))?;
        Ok(self.http.request(request).await?)
    }

    /// Retries a step until it succeeds, since it may fail while the deployment starts.
    async fn retry(&self, step: impl AsyncFn() -> Result<bool>) -> Result<()> {
        let deadline = Instant::now() + Duration::from_millis(STEP_TIMEOUT_MS);
        loop {
            match step().await {
                Ok(true) => return Ok(()),
                Ok(false) if Instant::now() >= deadline => return Err("a step was refused".into()),
                Err(error) if Instant::now() >= deadline => return Err(error),
                Ok(false) | Err(_) => sleep(Duration::from_millis(RETRY_DELAY_MS)).await,
            }
        }
    }

    /// Sets the customer's row for a kind and waits until it is in force.
    async fn set_row(&self, kind: &str, weight: &str) -> Result<bool> {
        let fields = [
            ("weight", weight),
            ("priority", "0"),
            ("queued_max", "100"),
            ("queueing_ms_max", "10000"),
            ("running_max", "50"),
            ("urgent_share_percent", "20"),
        ];
        let fields: Vec<(String, String)> = fields
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect();
        let response = self.admin.table_set(CUSTOMER, kind, &fields).await?;
        Ok(response.is_success())
    }

    async fn stream_completion(&self) -> Result<()> {
        let address = self.deployment.nodes[2].addresses().client;
        let uri = format!("http://{address}/v1/completions");
        let mut text = String::new();
        self.retry(async || {
            let response = self.post(&uri, COMPLETION_BODY, None).await?;
            Ok(response.status().is_success())
        })
        .await?;
        let mut body = self.post(&uri, COMPLETION_BODY, None).await?.into_body();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                text.push_str(&String::from_utf8_lossy(&data));
            }
        }
        let tokens = text
            .lines()
            .filter(|line| line.contains(r#""text":"#))
            .count();
        if !text.trim_end().ends_with("data: [DONE]") {
            return Err("the stream ended without `data: [DONE]`".into());
        }
        println!("2. a streamed answer came whole, in {tokens} events");
        Ok(())
    }
}
