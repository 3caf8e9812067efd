//! Clients that generate load and record the responses in a ledger.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fakes::answer::{TokenDefect, check_answer};
use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::http_client::{HttpClient, HttpResponse};
use crate::promise_report::{Promise, PromiseReport};

/// Customer of all clients.
pub(crate) const CUSTOMER: &str = "Maracas Ridge";

/// Model of all completions.
pub(crate) const MODEL: &str = "quote";

/// Service that receives all bookings.
pub(crate) const SERVICE: &str = "booking";

const BOOKING_PATH: &str = "/services/booking/seats";

/// Attempts of a booking with an idempotency key; all are sent, whatever the responses.
const KEYED_BOOKING_ATTEMPTS: usize = 4;

const MAX_TOKENS: u32 = 2_000;
const PAUSE_MS_MAX: u64 = 20;

/// Requests of all clients, by what their responses said about execution.
#[derive(Debug, Default)]
pub(crate) struct ClientLedger {
    /// Prompts with a complete successful response, and its number of tokens.
    pub(crate) completed_prompts: Vec<(String, u32)>,
    /// Prompts whose responses had the outcome `not-run` and no text.
    pub(crate) prompts_not_run: Vec<String>,
    /// Seats of all booking requests.
    pub(crate) seats: Vec<String>,
    /// Seats for which the responses to all attempts had the outcome `not-run`.
    pub(crate) seats_not_run: Vec<String>,
}

/// State shared by all client tasks.
#[derive(Debug)]
pub(crate) struct Clients {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) is_stopped: AtomicBool,
    pub(crate) ledger: Mutex<ClientLedger>,
    pub(crate) next_number: AtomicU64,
    pub(crate) report: PromiseReport,
    pub(crate) requests: AtomicU64,
    pub(crate) successes: AtomicU64,
}

impl Clients {
    pub(crate) fn new(addresses: Vec<SocketAddr>, report: &PromiseReport) -> Arc<Self> {
        Arc::new(Self {
            addresses,
            is_stopped: AtomicBool::new(false),
            ledger: Mutex::default(),
            next_number: AtomicU64::new(0),
            report: report.clone(),
            requests: AtomicU64::new(0),
            successes: AtomicU64::new(0),
        })
    }

    /// Sends random requests until `is_stopped` is set.
    pub(crate) async fn run(self: Arc<Self>, seed: u64) {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let http = HttpClient::new(CUSTOMER);
        while !self.is_stopped.load(Ordering::SeqCst) {
            let address = self.addresses[random.random_range(0..self.addresses.len())];
            match random.random_range(0..10) {
                0..5 => drop(self.complete_prompt(&http, address, true).await),
                5..7 => drop(self.complete_prompt(&http, address, false).await),
                7..9 => self.book_with_key(&http, &mut random).await,
                _ => self.book_without_key(&http, address).await,
            }
            sleep(Duration::from_millis(random.random_range(0..PAUSE_MS_MAX))).await;
        }
    }

    /// Requests the completion of a new prompt; returns whether the response is whole.
    pub(crate) async fn complete_prompt(
        &self,
        http: &HttpClient,
        address: SocketAddr,
        stream: bool,
    ) -> bool {
        let prompt = format!("survey {}", self.next_number());
        let body = json!({
            "max_tokens": MAX_TOKENS, "model": MODEL, "prompt": prompt, "stream": stream,
        });
        let headers = [("content-type", "application/json")];
        let response = http
            .send(
                Method::POST,
                address,
                "/v1/completions",
                &headers,
                &body.to_string(),
            )
            .await;
        self.count(&response);
        let (text, is_finished) = if stream {
            parse_stream(&response)
        } else {
            parse_completion(&response)
        };
        self.check_completion(&prompt, &response, &text, is_finished)
    }

    async fn book(
        &self,
        http: &HttpClient,
        address: SocketAddr,
        seat: &str,
        headers: &[(&str, &str)],
    ) -> HttpResponse {
        let body = json!({ "seat": seat }).to_string();
        let response = http
            .send(Method::POST, address, BOOKING_PATH, headers, &body)
            .await;
        self.count(&response);
        response
    }

    async fn book_with_key(&self, http: &HttpClient, random: &mut Xoshiro256PlusPlus) {
        let seat = format!("key-{}", self.next_number());
        let key = [("idempotency-key", seat.as_str())];
        let mut all_not_run = true;
        let mut bodies: Vec<String> = Vec::new();
        for _ in 0..KEYED_BOOKING_ATTEMPTS {
            let address = self.addresses[random.random_range(0..self.addresses.len())];
            let response = self.book(http, address, &seat, &key).await;
            all_not_run &= response.outcome == "not-run";
            if response.is_success() {
                bodies.push(response.body);
            }
        }
        bodies.dedup();
        let violation = (bodies.len() > 1).then(|| format!("seat {seat} answered {bodies:?}"));
        self.report.record(Promise::WholeAnswer, violation);
        let mut ledger = self.ledger();
        ledger.seats.push(seat.clone());
        if all_not_run {
            ledger.seats_not_run.push(seat);
        }
    }

    async fn book_without_key(&self, http: &HttpClient, address: SocketAddr) {
        let seat = format!("once-{}", self.next_number());
        let response = self.book(http, address, &seat, &[]).await;
        let mut ledger = self.ledger();
        ledger.seats.push(seat.clone());
        if response.outcome == "not-run" {
            ledger.seats_not_run.push(seat);
        }
    }

    /// Checks the text of a completion and records it; returns whether the response is whole.
    fn check_completion(
        &self,
        prompt: &str,
        response: &HttpResponse,
        text: &str,
        is_finished: bool,
    ) -> bool {
        let checked = check_answer(text, prompt);
        let tokens = checked.map_or(0, |checked| checked.tokens);
        let is_foreign = checked.is_err_and(|fault| fault.defect == TokenDefect::ForeignPrompt);
        let violation = checked.err().map(|fault| format!("{prompt}: {fault}"));
        if !text.is_empty() {
            let foreign_prompt = violation.clone().filter(|_| is_foreign);
            self.report.record(Promise::WholeAnswer, foreign_prompt);
            self.report.record(Promise::TokensOnce, violation);
        }
        let mut ledger = self.ledger();
        if response.outcome == "not-run" && text.is_empty() {
            ledger.prompts_not_run.push(prompt.to_owned());
        }
        let is_whole = response.is_success() && is_finished;
        if is_whole {
            ledger.completed_prompts.push((prompt.to_owned(), tokens));
        }
        is_whole
    }

    fn count(&self, response: &HttpResponse) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        if response.is_success() {
            self.successes.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn ledger(&self) -> MutexGuard<'_, ClientLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }
}

fn parse_completion(response: &HttpResponse) -> (String, bool) {
    let document: Value = serde_json::from_str(&response.body).unwrap_or_default();
    let text = document["choices"][0]["text"].as_str().unwrap_or_default();
    (text.to_owned(), response.is_success())
}

/// Returns the text of a stream, and whether it ended with `[DONE]` and without an error event.
fn parse_stream(response: &HttpResponse) -> (String, bool) {
    let mut text = String::new();
    let mut is_done = false;
    for line in response.body.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        is_done |= data == "[DONE]";
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    (text, is_done && !response.body.contains("event: error"))
}
