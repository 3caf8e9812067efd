//! Tests of the fake engine over HTTP, with and without injected faults.

mod support;

use std::time::Duration;

use fakes::answer::{TokenDefect, TokenError, check_answer, generation_tag};
use fakes::engine::{EndReason, EngineSettings};
use fakes::http::{AnnouncementSettings, Fault, FaultRequest, GenerationLength};
use fakes::http::{BookingServer, BookingSettings, EngineServer, EngineServerSettings};
use hyper::{Method, StatusCode};
use names::GenerationId;
use serde_json::{Value, json};
use support::{CapturedResponse, send_request};
use tokio::time::{Instant, sleep};

const GENERATION_PATH: &str = "/generations/0000000000000000000000000000002a";

const PROMPT: &str = "Draft a syllabus on the forging of hinges.";

/// Spawns an engine whose generations all have this many tokens.
async fn spawn_engine(tokens: u32) -> EngineServer {
    let length = GenerationLength::Fixed(tokens);
    let settings = EngineServerSettings {
        length,
        ..EngineServerSettings::default()
    };
    EngineServer::spawn(settings).await.expect("a free port")
}

/// The JSON of each event; null for an invalid one.
fn parse_events(response: &CapturedResponse) -> Vec<Value> {
    let lines = response.body.lines();
    let data = lines.filter_map(|line| line.strip_prefix("data: "));
    data.map(|line| serde_json::from_str(line).unwrap_or(Value::Null))
        .collect()
}

fn start_body(max_tokens: u32) -> Value {
    json!({"model": "fake", "prompt": PROMPT, "max_tokens": max_tokens, "priority": 0})
}

/// The text of all tokens.
fn token_text(response: &CapturedResponse) -> String {
    let parse_events = parse_events(response);
    parse_events
        .iter()
        .filter_map(|event| event["text"].as_str())
        .collect()
}

fn inject_once(fault: Fault) -> FaultRequest {
    FaultRequest {
        fault: Some(fault),
        times: Some(1),
    }
}

async fn start_generation(engine: &EngineServer) -> Option<CapturedResponse> {
    send_request(
        engine.address(),
        Method::POST,
        GENERATION_PATH,
        &start_body(64),
    )
    .await
}

async fn response_with_fault(fault: Fault) -> CapturedResponse {
    let engine = spawn_engine(6).await;
    engine.faults().set(inject_once(fault));
    start_generation(&engine).await.expect("response headers")
}

#[tokio::test]
async fn a_stream_has_all_tokens_and_the_end_reason() {
    let engine = spawn_engine(6).await;
    let response = start_generation(&engine).await.expect("a response");
    let checked = check_answer(&token_text(&response), PROMPT).expect("tokens in order");
    assert_eq!(checked.tokens, 6);
    assert_eq!(checked.generation_tag, generation_tag(GenerationId(0x2a)));
    let last = parse_events(&response).pop().expect("an event");
    assert_eq!((&last["end"], &last["tokens"]), (&json!("stop"), &json!(6)));
    let ledger = engine.ledger();
    assert_eq!(
        (ledger.len(), ledger[0].tokens, ledger[0].end),
        (1, 6, Some(EndReason::Stop))
    );
}

#[tokio::test]
async fn a_resumed_stream_begins_at_the_requested_index() {
    let engine = spawn_engine(6).await;
    let whole = token_text(&start_generation(&engine).await.expect("a response"));
    let path = format!("{GENERATION_PATH}/tokens?from=4");
    let resumed = send_request(engine.address(), Method::GET, &path, &Value::Null).await;
    let resumed = resumed.expect("a response");
    assert!(!token_text(&resumed).is_empty() && whole.ends_with(&token_text(&resumed)));
    assert_eq!(parse_events(&resumed)[0]["index"], 4);
    assert_eq!(engine.ledger().len(), 1);
}

#[tokio::test]
async fn a_second_start_with_the_same_id_is_rejected() {
    let engine = spawn_engine(6).await;
    assert_eq!(
        start_generation(&engine).await.expect("a response").status,
        StatusCode::OK
    );
    let second = start_generation(&engine).await.expect("a response");
    assert_eq!(
        (second.status, second.not_run),
        (StatusCode::CONFLICT, false)
    );
    assert_eq!(engine.ledger().len(), 1);
}

#[tokio::test]
async fn a_start_after_a_cancel_of_its_id_is_rejected_as_not_run() {
    let engine = spawn_engine(6).await;
    let cancel = send_request(
        engine.address(),
        Method::DELETE,
        GENERATION_PATH,
        &Value::Null,
    )
    .await;
    assert_eq!(cancel.expect("a response").status, StatusCode::NOT_FOUND);
    let response = start_generation(&engine).await.expect("a response");
    assert_eq!(
        (response.status, response.not_run),
        (StatusCode::CONFLICT, true)
    );
    assert!(engine.ledger().is_empty());
}

#[tokio::test]
async fn a_cancel_ends_the_stream_of_a_running_generation() {
    let engine = spawn_engine(100_000).await;
    let path = GENERATION_PATH.to_owned();
    let address = engine.address();
    let body = start_body(100_000);
    let running =
        tokio::spawn(async move { send_request(address, Method::POST, &path, &body).await });
    while engine
        .ledger()
        .first()
        .is_none_or(|entry| entry.tokens == 0)
    {
        sleep(Duration::from_millis(1)).await;
    }
    let cancel = send_request(address, Method::DELETE, GENERATION_PATH, &Value::Null).await;
    assert_eq!(cancel.expect("a response").status, StatusCode::NO_CONTENT);
    let response = running.await.expect("no panic").expect("a response");
    assert_eq!(
        parse_events(&response).pop().expect("an event")["end"],
        "cancelled"
    );
    assert!(check_answer(&token_text(&response), PROMPT).is_ok());
}

#[tokio::test]
async fn a_refused_start_is_not_in_the_ledger() {
    let engine = spawn_engine(6).await;
    engine.faults().set(inject_once(Fault::Refuse));
    let response = start_generation(&engine).await.expect("a response");
    assert_eq!(
        (response.status, response.not_run),
        (StatusCode::SERVICE_UNAVAILABLE, true)
    );
    assert!(engine.ledger().is_empty());
    assert_eq!(
        start_generation(&engine).await.expect("a response").status,
        StatusCode::OK
    );
}

#[tokio::test]
async fn a_start_with_a_lost_response_runs() {
    let engine = spawn_engine(6).await;
    engine.faults().set(inject_once(Fault::LoseAnswer));
    assert!(start_generation(&engine).await.is_none());
    assert_eq!(engine.ledger().len(), 1);
}

#[tokio::test]
async fn each_stream_fault_changes_the_stream() {
    let cut = response_with_fault(Fault::Cut(3)).await;
    assert!(!cut.complete);
    assert_eq!(
        check_answer(&token_text(&cut), PROMPT)
            .expect("tokens in order")
            .tokens,
        3
    );
    let truncated = response_with_fault(Fault::Truncate(3)).await;
    assert!(truncated.complete && parse_events(&truncated).iter().all(|e| e["end"].is_null()));
    let out_of_order = |position| {
        Err(TokenError {
            defect: TokenDefect::OutOfOrder,
            position,
        })
    };
    let doubled = response_with_fault(Fault::DuplicateToken(3)).await;
    assert_eq!(check_answer(&token_text(&doubled), PROMPT), out_of_order(4));
    let skipped = response_with_fault(Fault::WrongIndex(3)).await;
    assert_eq!(check_answer(&token_text(&skipped), PROMPT), out_of_order(3));
    let malformed = response_with_fault(Fault::MalformedEvent(3)).await;
    assert!(parse_events(&malformed).contains(&Value::Null));
    let foreign = response_with_fault(Fault::WrongId(3)).await;
    let id = |event: &Value| event["generation"].as_str().map(str::to_owned);
    let ids: Vec<_> = parse_events(&foreign).iter().map(id).collect();
    assert!(ids.iter().any(|id| *id != ids[0]));
}

#[tokio::test]
async fn an_order_with_an_old_fencing_number_is_rejected_unless_ignored() {
    let engine = spawn_engine(6).await;
    let order = |fencing, version| {
        let load = json!({"load": {"model": "fake", "version": version, "adapter": null}});
        json!({"order": "o", "fencing": fencing, "action": load})
    };
    let send = async |body| {
        let response = send_request(engine.address(), Method::POST, "/orders", &body).await;
        response.expect("a response").status
    };
    assert_eq!(send(order(5, "2")).await, StatusCode::OK);
    assert_eq!(send(order(4, "1")).await, StatusCode::CONFLICT);
    assert_eq!(engine.configuration().version, "2");
    engine.faults().set(inject_once(Fault::IgnoreFencing));
    assert_eq!(send(order(4, "1")).await, StatusCode::OK);
    assert_eq!(
        (
            engine.configuration().version.as_str(),
            engine.configuration().fencing
        ),
        ("1", 5)
    );
}

#[tokio::test]
async fn an_engine_closes_its_connections_after_the_fault_die() {
    let engine = spawn_engine(6).await;
    let body = json!({"fault": "die"});
    send_request(engine.address(), Method::PUT, "/fault", &body).await;
    engine.stopped().await;
    assert!(start_generation(&engine).await.is_none());
}

#[tokio::test]
async fn an_announcement_goes_to_the_first_instance_that_accepts_it() {
    let refusing = BookingServer::spawn(BookingSettings::default())
        .await
        .expect("a free port");
    refusing.faults().set(FaultRequest {
        fault: Some(Fault::Refuse),
        times: None,
    });
    let accepting = BookingServer::spawn(BookingSettings::default())
        .await
        .expect("a free port");
    let announcement = AnnouncementSettings {
        instances: vec![refusing.address(), accepting.address()],
        name: "engine-7".to_owned(),
        ..AnnouncementSettings::default()
    };
    let settings = EngineServerSettings {
        announcement,
        ..EngineServerSettings::default()
    };
    let engine = EngineServer::spawn(settings).await.expect("a free port");
    while accepting.ledger().is_empty() {
        sleep(Duration::from_millis(1)).await;
    }
    let run = accepting.ledger().remove(0);
    assert_eq!(run.path, "/v1/endpoints/engine-7/announcements");
    let body: Value = serde_json::from_str(&run.body).expect("JSON");
    assert_eq!(body["address"], engine.address().to_string());
    assert_eq!(body["offer"]["engine"]["memory_tokens"], 131_072);
    assert_eq!(
        (&body["state"], &body["sequence"]),
        (&json!("ready"), &json!(1))
    );
    assert!(refusing.ledger().is_empty());
    engine.announce_leaving();
    while accepting.ledger().len() < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    let body: Value = serde_json::from_str(&accepting.ledger()[1].body).expect("JSON");
    assert_eq!(
        (&body["state"], &body["sequence"]),
        (&json!("leaving"), &json!(2))
    );
}

#[tokio::test(start_paused = true)]
async fn the_engine_runs_in_the_time_of_the_runtime() {
    let engine = spawn_engine(20_000).await;
    let started = Instant::now();
    let body = start_body(20_000);
    let response = send_request(engine.address(), Method::POST, GENERATION_PATH, &body)
        .await
        .expect("a response");
    assert_eq!(
        check_answer(&token_text(&response), PROMPT)
            .expect("tokens in order")
            .tokens,
        20_000
    );
    assert!(started.elapsed().as_secs() > 200);
}

#[tokio::test]
async fn a_lost_cache_update_leaves_a_gap_in_the_sequence() {
    let accepting = BookingServer::spawn(BookingSettings::default())
        .await
        .expect("a free port");
    let announcement = AnnouncementSettings {
        instances: vec![accepting.address()],
        name: "engine".to_owned(),
        ..AnnouncementSettings::default()
    };
    let settings = EngineServerSettings {
        announcement,
        ..EngineServerSettings::default()
    };
    let engine = EngineServer::spawn(settings).await.expect("a free port");
    let prompt = |letter: &str| {
        let prompt = letter.repeat(130);
        json!({"model": "fake", "prompt": prompt, "max_tokens": 1, "priority": 0})
    };
    engine.faults().set(inject_once(Fault::LoseCacheNews));
    send_request(
        engine.address(),
        Method::POST,
        GENERATION_PATH,
        &prompt("a"),
    )
    .await
    .expect("a response");
    while engine.faults().current().is_some() {
        sleep(Duration::from_millis(1)).await;
    }
    let other = GENERATION_PATH.replace("2a", "2b");
    send_request(engine.address(), Method::POST, &other, &prompt("b"))
        .await
        .expect("a response");
    let update = || {
        let bodies = accepting.ledger().into_iter().map(|run| run.body);
        let mut update = bodies.map(|body| serde_json::from_str::<Value>(&body).expect("JSON"));
        update.find_map(|body| body.get("cache").filter(|cache| !cache.is_null()).cloned())
    };
    while update().is_none() {
        sleep(Duration::from_millis(1)).await;
    }
    let update = update().expect("seen above");
    assert_eq!(update["first_sequence"], 2);
    assert_eq!(update["added"].as_array().map(Vec::len), Some(2));
}

#[tokio::test(start_paused = true)]
async fn the_status_of_a_waiting_generation_is_repeated() {
    let settings = EngineServerSettings {
        engine: EngineSettings {
            sequences_max: 1,
            ..EngineSettings::default()
        },
        length: GenerationLength::Fixed(200),
        ..EngineServerSettings::default()
    };
    let engine = EngineServer::spawn(settings).await.expect("a free port");
    let (address, body) = (engine.address(), start_body(200));
    let first =
        tokio::spawn(
            async move { send_request(address, Method::POST, GENERATION_PATH, &body).await },
        );
    while engine.ledger().is_empty() {
        sleep(Duration::from_millis(1)).await;
    }
    let other = GENERATION_PATH.replace("2a", "2b");
    let second = send_request(address, Method::POST, &other, &start_body(200)).await;
    let second = second.expect("a response");
    let waiting = |event: &&Value| event["status"] == "waiting";
    assert!(parse_events(&second).iter().filter(waiting).count() >= 3);
    assert!(first.await.expect("no panic").is_some());
}
