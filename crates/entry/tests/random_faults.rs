//! Random faults under many callers at once: what callers saw against what endpoints ran.

mod support;

use std::sync::{Arc, Mutex};

use entry::Entry;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};
use support::{
    EntryBuilder, FakeEndpoint, ReceivedRequest, ServerConnection, TestClient, end_event,
    generation_id, status_event, token_event,
};

const ENGINES: usize = 3;

const REQUESTS: u64 = 400;

const SIDE_BY_SIDE: u64 = 16;

const SEED: u64 = 20_261_203;

/// Tokens of each generation.
const TOKENS: u32 = 12;

/// What all endpoints ran, by the request's own text.
type Ledger = Arc<Mutex<Vec<String>>>;

type Random = Arc<Mutex<Xoshiro256PlusPlus>>;

fn draw(random: &Random, below: u64) -> u64 {
    random.lock().unwrap().next_u64() % below
}

/// Streams tokens from an index on, with faults; each token names its generation and index.
async fn generate(wire: &mut ServerConnection, generation: &str, from: u32, random: &Random) {
    wire.start_event_stream().await;
    for index in from..TOKENS {
        let text = format!("{}:{index} ", &generation[..8]);
        match draw(random, 60) {
            0 => return,
            1 => return wire.send_chunk("data: {\"generation\"").await,
            2 => {
                wire.send_chunk(&token_event(generation, index + 1, &text))
                    .await;
            }
            3 => {
                wire.send_chunk(&token_event(&"f".repeat(32), index, "crossed "))
                    .await;
            }
            4 => wire.send_chunk(&end_event(generation, TOKENS)).await,
            5 => {
                wire.send_chunk(&status_event(generation, "preempted"))
                    .await;
            }
            6 => {
                wire.send_chunk(&token_event(generation, index, &text))
                    .await;
                wire.send_chunk(&token_event(generation, index, &text))
                    .await;
                continue;
            }
            _ => {}
        }
        wire.send_chunk(&token_event(generation, index, &text))
            .await;
    }
    wire.send_chunk(&end_event(generation, TOKENS)).await;
    wire.end_body().await;
}

async fn engine(seen: ReceivedRequest, mut wire: ServerConnection, ledger: Ledger, random: Random) {
    if seen.method() == "DELETE" {
        return wire.respond("204 No Content", "", "").await;
    }
    let generation = generation_id(&seen);
    if let Some((_, from)) = seen.path().split_once("?from=") {
        return match draw(&random, 12) {
            0 => wire.respond("404 Not Found", "", "").await,
            1 => {}
            _ => generate(&mut wire, &generation, from.parse().unwrap(), &random).await,
        };
    }
    match draw(&random, 10) {
        0 => {
            wire.respond("503 Full", "gentiancleat-outcome: not-run\r\n", "")
                .await;
        }
        1 => wire.respond("500 Oh", "", "").await,
        2 => wire.send_raw("HTTP/1.1 2").await,
        _ => {
            let body: serde_json::Value = serde_json::from_str(&seen.body).unwrap();
            let prompt = body["prompt"].as_str().unwrap().to_owned();
            ledger.lock().unwrap().push(prompt);
            generate(&mut wire, &generation, 0, &random).await;
        }
    }
}

/// Checks that an answer holds tokens of one generation only, each once and in order.
fn check_tokens(text: &str) -> u32 {
    let mut generation = None;
    let mut count = 0;
    for token in text.split_whitespace() {
        let (name, index) = token.split_once(':').expect("a foreign token");
        assert_eq!(*generation.get_or_insert(name), name, "a mixture: {text}");
        assert_eq!(
            index.parse(),
            Ok(count),
            "lost, doubled or out of order: {text}"
        );
        count += 1;
    }
    count
}

#[derive(Debug, Default)]
struct Counts {
    cut_with_error: u32,
    failed: u32,
    not_run: u32,
    whole: u32,
}

async fn ask(entry: &Entry, number: u64) -> (u64, support::Response) {
    let is_stream = number.is_multiple_of(2);
    let body = format!("{{\"model\":\"m\",\"prompt\":\"p{number}\",\"stream\":{is_stream}}}");
    let answer = TestClient::request(entry.address(), "POST /v1/completions", "", &body).await;
    (number, answer)
}

fn check_answer(number: u64, answer: &support::Response, ledger: &[String], counts: &mut Counts) {
    let prompt = format!("p{number}");
    assert!(answer.is_complete, "an answer ends without a word");
    match (answer.status(), answer.outcome()) {
        (200, _) if number.is_multiple_of(2) => {
            let tokens = check_tokens(&answer.text());
            if answer.body.ends_with("data: [DONE]\n\n") {
                assert_eq!(tokens, TOKENS);
                counts.whole += 1;
            } else {
                let delivered = format!("\"delivered_tokens\":{tokens}");
                assert!(answer.body.contains(&delivered), "{}", answer.body);
                counts.cut_with_error += 1;
            }
        }
        (200, _) => {
            let json = answer.json();
            assert_eq!(
                check_tokens(json["choices"][0]["text"].as_str().unwrap()),
                TOKENS
            );
            counts.whole += 1;
        }
        (_, Some("not-run")) => {
            assert!(!ledger.contains(&prompt), "a false not-run");
            counts.not_run += 1;
        }
        _ => counts.failed += 1,
    }
}

#[tokio::test]
async fn generations_are_neither_lost_nor_doubled_nor_mixed_under_random_faults() {
    let ledger = Ledger::default();
    let random = Arc::new(Mutex::new(Xoshiro256PlusPlus::seed_from_u64(SEED)));
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let (ledger, random) = (Arc::clone(&ledger), Arc::clone(&random));
        let script = move |seen, wire| {
            let (ledger, random) = (Arc::clone(&ledger), Arc::clone(&random));
            Box::pin(engine(seen, wire, ledger, random)) as futures::future::BoxFuture<'static, ()>
        };
        engines.push(FakeEndpoint::bind(script).await);
    }
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    let (entry, _) = EntryBuilder::new(&addresses).bind().await;
    let mut counts = Counts::default();
    for round in 0..REQUESTS / SIDE_BY_SIDE {
        let first = round * SIDE_BY_SIDE;
        let asked = (first..first + SIDE_BY_SIDE).map(|number| ask(&entry, number));
        let answers = futures::future::join_all(asked).await;
        let ledger = ledger.lock().unwrap().clone();
        for (number, answer) in answers {
            check_answer(number, &answer, &ledger, &mut counts);
        }
    }
    println!(
        "{counts:?}, {} generations ran",
        ledger.lock().unwrap().len()
    );
    assert!(
        counts.whole > 100 && counts.cut_with_error > 0,
        "{counts:?}"
    );
}

/// Booking service that runs, refuses, loses answers or dies while it reads.
async fn booking(
    seen: ReceivedRequest,
    mut wire: ServerConnection,
    ledger: Ledger,
    random: Random,
) {
    let fault = draw(&random, 6);
    if fault == 0 {
        return wire
            .respond("503 Full", "gentiancleat-outcome: not-run\r\n", "")
            .await;
    }
    if fault == 1 {
        return;
    }
    ledger.lock().unwrap().push(seen.body.clone());
    match fault {
        2 => {}
        3 => {
            wire.send_raw("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nboo")
                .await;
        }
        _ => {
            wire.respond("200 OK", "", &format!("booked {}", seen.body))
                .await;
        }
    }
}

#[tokio::test]
async fn bookings_run_at_most_once_under_random_faults_and_repeats() {
    let ledger = Ledger::default();
    let random = Arc::new(Mutex::new(Xoshiro256PlusPlus::seed_from_u64(SEED + 1)));
    let mut services = Vec::new();
    for _ in 0..ENGINES {
        let (ledger, random) = (Arc::clone(&ledger), Arc::clone(&random));
        let script = move |seen, wire| {
            let (ledger, random) = (Arc::clone(&ledger), Arc::clone(&random));
            Box::pin(booking(seen, wire, ledger, random)) as futures::future::BoxFuture<'static, ()>
        };
        services.push(FakeEndpoint::bind(script).await);
    }
    let addresses: Vec<_> = services.iter().map(|service| service.address).collect();
    let (entry, _) = EntryBuilder::new(&addresses).bind().await;
    let (mut ran, mut not_run, mut unknown) = (0, 0, 0);
    for number in 0..REQUESTS {
        let body = format!("seat {number}");
        let has_key = number.is_multiple_of(2);
        let key = if has_key {
            format!("idempotency-key: k{number}\r\n")
        } else {
            String::new()
        };
        let line = "POST /services/booking/seats";
        let first = TestClient::request(entry.address(), line, &key, &body).await;
        let runs = |ledger: &Ledger| {
            let ledger = ledger.lock().unwrap();
            ledger.iter().filter(|&seat| *seat == body).count()
        };
        let count = runs(&ledger);
        assert!(count <= 1, "{body} ran twice");
        match first.outcome().unwrap() {
            "ran" => {
                assert_eq!(count, 1, "{body} did not run");
                ran += 1;
            }
            "not-run" => {
                assert_eq!(count, 0, "a false not-run");
                not_run += 1;
            }
            _ => unknown += 1,
        }
        if has_key && first.outcome() != Some("not-run") {
            let repeat = TestClient::request(entry.address(), line, &key, &body).await;
            assert_eq!(runs(&ledger), count, "a repeat ran {body} again");
            if first.status() == 200 {
                assert_eq!(repeat.body, first.body);
            }
        }
    }
    println!("{ran} ran, {not_run} not run, {unknown} unknown");
    assert!(ran > 100 && not_run > 10 && unknown > 10);
}
