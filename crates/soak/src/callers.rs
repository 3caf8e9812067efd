//! Callers that keep a ledger of what they were told.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fakes::answer::{TokenDefect, check_answer};
use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::http::{HttpClient, HttpResponse};
use crate::promises::{Promise, PromiseReport};

/// Customer that all callers belong to.
pub(crate) const CUSTOMER: &str = "Maracas Ridge";

/// Model that callers ask.
pub(crate) const MODEL: &str = "quote";

/// Service that callers book with.
pub(crate) const SERVICE: &str = "booking";

const BOOKING_PATH: &str = "/services/booking/seats";
const BOOKING_TRIES: usize = 4;
const MAX_TOKENS: u32 = 2_000;
const PAUSE_MS: u64 = 20;

/// Work that a caller was told did not run, or a booking and what was told of it.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// Prompts of requests that did not run, as callers were told.
    pub(crate) prompts_not_run: Vec<String>,
    /// Prompts that were answered whole, with the number of tokens.
    pub(crate) prompts_whole: Vec<(String, u32)>,
    /// Keys of bookings none of whose tries ran, as callers were told.
    pub(crate) seats_not_run: Vec<String>,
    /// Seats that were asked for.
    pub(crate) seats: Vec<String>,
}

/// What all callers share.
#[derive(Debug)]
pub(crate) struct Callers {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) ledger: Mutex<Ledger>,
    pub(crate) number: AtomicU64,
    pub(crate) promises: PromiseReport,
    pub(crate) requests: AtomicU64,
    pub(crate) stop: AtomicBool,
    pub(crate) successes: AtomicU64,
}

impl Callers {
    pub(crate) fn new(addresses: Vec<SocketAddr>, promises: &PromiseReport) -> Arc<Self> {
        Arc::new(Self {
            addresses,
            ledger: Mutex::default(),
            number: AtomicU64::new(0),
            promises: promises.clone(),
            requests: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            successes: AtomicU64::new(0),
        })
    }

    /// Calls until told to stop.
    pub(crate) async fn run(self: Arc<Self>, seed: u64) {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let http = HttpClient::new(CUSTOMER);
        while !self.stop.load(Ordering::SeqCst) {
            let address = self.addresses[random.random_range(0..self.addresses.len())];
            match random.random_range(0..10) {
                0..5 => drop(self.complete(&http, address, true).await),
                5..7 => drop(self.complete(&http, address, false).await),
                7..9 => self.book_with_key(&http, &mut random).await,
                _ => self.book_once(&http, address).await,
            }
            sleep(Duration::from_millis(random.random_range(0..PAUSE_MS))).await;
        }
    }

    /// Asks for one completion; says whether it came whole.
    pub(crate) async fn complete(
        &self,
        http: &HttpClient,
        address: SocketAddr,
        stream: bool,
    ) -> bool {
        let prompt = format!("survey {}", self.next());
        let body = json!({
            "max_tokens": MAX_TOKENS, "model": MODEL, "prompt": prompt, "stream": stream,
        });
        let headers = [("content-type", "application/json")];
        let answer = http
            .send(
                Method::POST,
                address,
                "/v1/completions",
                &headers,
                &body.to_string(),
            )
            .await;
        self.count(&answer);
        let (text, finished) = if stream {
            streamed_text(&answer)
        } else {
            whole_text(&answer)
        };
        self.judge(&prompt, &answer, &text, finished)
    }

    async fn book_once(&self, http: &HttpClient, address: SocketAddr) {
        let seat = format!("once-{}", self.next());
        let answer = self.book(http, address, &seat, &[]).await;
        let mut ledger = self.ledger();
        ledger.seats.push(seat.clone());
        if answer.outcome == "not-run" {
            ledger.seats_not_run.push(seat);
        }
    }

    async fn book_with_key(&self, http: &HttpClient, random: &mut Xoshiro256PlusPlus) {
        let seat = format!("key-{}", self.next());
        let key = [("idempotency-key", seat.as_str())];
        let mut told_not_run = true;
        let mut bodies: Vec<String> = Vec::new();
        for _ in 0..BOOKING_TRIES {
            let address = self.addresses[random.random_range(0..self.addresses.len())];
            let answer = self.book(http, address, &seat, &key).await;
            told_not_run &= answer.outcome == "not-run";
            if answer.is_success() {
                bodies.push(answer.body);
            }
        }
        bodies.dedup();
        let violation = (bodies.len() > 1).then(|| format!("seat {seat} answered {bodies:?}"));
        self.promises.record(Promise::WholeAnswer, violation);
        let mut ledger = self.ledger();
        ledger.seats.push(seat.clone());
        if told_not_run {
            ledger.seats_not_run.push(seat);
        }
    }

    async fn book(
        &self,
        http: &HttpClient,
        address: SocketAddr,
        seat: &str,
        headers: &[(&str, &str)],
    ) -> HttpResponse {
        let body = json!({ "seat": seat }).to_string();
        let answer = http
            .send(Method::POST, address, BOOKING_PATH, headers, &body)
            .await;
        self.count(&answer);
        answer
    }

    fn count(&self, answer: &HttpResponse) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        if answer.is_success() {
            self.successes.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn judge(&self, prompt: &str, answer: &HttpResponse, text: &str, finished: bool) -> bool {
        let checked = check_answer(text, prompt);
        let tokens = checked.map_or(0, |checked| checked.tokens);
        let is_foreign = checked.is_err_and(|fault| fault.defect == TokenDefect::ForeignPrompt);
        let violation = checked.err().map(|fault| format!("{prompt}: {fault}"));
        if !text.is_empty() {
            let own = violation.clone().filter(|_| is_foreign);
            self.promises.record(Promise::WholeAnswer, own);
            self.promises.record(Promise::TokensOnce, violation);
        }
        let mut ledger = self.ledger();
        if answer.outcome == "not-run" && text.is_empty() {
            ledger.prompts_not_run.push(prompt.to_owned());
        }
        let whole = answer.is_success() && finished;
        if whole {
            ledger.prompts_whole.push((prompt.to_owned(), tokens));
        }
        whole
    }

    fn ledger(&self) -> std::sync::MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next(&self) -> u64 {
        self.number.fetch_add(1, Ordering::Relaxed)
    }
}

/// Text of a stream, and whether the stream ended as it should.
fn streamed_text(answer: &HttpResponse) -> (String, bool) {
    let mut text = String::new();
    let mut finished = false;
    for line in answer.body.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        finished |= data == "[DONE]";
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    (text, finished && !answer.body.contains("event: error"))
}

fn whole_text(answer: &HttpResponse) -> (String, bool) {
    let document: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    let text = document["choices"][0]["text"].as_str().unwrap_or_default();
    (text.to_owned(), answer.is_success())
}
