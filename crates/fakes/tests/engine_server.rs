//! The engine behind the endpoint interface.

mod support;

use std::time::Duration;

use fakes::answer::{TokenDefect, TokenError, check_answer, generation_tag};
use fakes::engine::{EndReason, EngineSettings};
use fakes::http::{AnnouncementSettings, Fault, FaultRequest, GenerationLength};
use fakes::http::{BookingServer, BookingSettings, EngineServer, EngineServerSettings};
use hyper::{Method, StatusCode};
use names::GenerationId;
use serde_json::{Value, json};
use support::{Answer, call};
use tokio::time::{Instant, sleep};

const PATH: &str = "/generations/0000000000000000000000000000002a";

const PROMPT: &str = "Draft a syllabus on the forging of hinges.";

/// An engine whose generations all have this many tokens.
async fn engine(tokens: u32) -> EngineServer {
    let length = GenerationLength::Fixed(tokens);
    let settings = EngineServerSettings {
        length,
        ..EngineServerSettings::default()
    };
    EngineServer::spawn(settings).await.expect("a free port")
}

/// The JSON of each event; broken ones are null.
fn events(answer: &Answer) -> Vec<Value> {
    let lines = answer.body.lines();
    let data = lines.filter_map(|line| line.strip_prefix("data: "));
    data.map(|line| serde_json::from_str(line).unwrap_or(Value::Null))
        .collect()
}

fn start_body(max_tokens: u32) -> Value {
    json!({"model": "fake", "prompt": PROMPT, "max_tokens": max_tokens, "priority": 0})
}

/// The text of all tokens.
fn text(answer: &Answer) -> String {
    let events = events(answer);
    events
        .iter()
        .filter_map(|event| event["text"].as_str())
        .collect()
}

fn once(fault: Fault) -> FaultRequest {
    FaultRequest {
        fault: Some(fault),
        times: Some(1),
    }
}

async fn start(engine: &EngineServer) -> Option<Answer> {
    call(engine.address(), Method::POST, PATH, &start_body(64)).await
}

async fn answer_under(fault: Fault) -> Answer {
    let engine = engine(6).await;
    engine.faults().set(once(fault));
    start(&engine).await.expect("an answer begins")
}

#[tokio::test]
async fn a_generation_streams_whole_and_names_itself() {
    let engine = engine(6).await;
    let answer = start(&engine).await.expect("an answer");
    let checked = check_answer(&text(&answer), PROMPT).expect("an unmixed answer");
    assert_eq!(checked.tokens, 6);
    assert_eq!(checked.generation_tag, generation_tag(GenerationId(0x2a)));
    let last = events(&answer).pop().expect("events");
    assert_eq!((&last["end"], &last["tokens"]), (&json!("stop"), &json!(6)));
    let ledger = engine.ledger();
    assert_eq!(
        (ledger.len(), ledger[0].tokens, ledger[0].end),
        (1, 6, Some(EndReason::Stop))
    );
}

#[tokio::test]
async fn a_resume_goes_on_at_the_index() {
    let engine = engine(6).await;
    let whole = text(&start(&engine).await.expect("an answer"));
    let path = format!("{PATH}/tokens?from=4");
    let rest = call(engine.address(), Method::GET, &path, &Value::Null).await;
    let rest = rest.expect("an answer");
    assert!(!text(&rest).is_empty() && whole.ends_with(&text(&rest)));
    assert_eq!(events(&rest)[0]["index"], 4);
    assert_eq!(engine.ledger().len(), 1);
}

#[tokio::test]
async fn a_number_runs_once() {
    let engine = engine(6).await;
    assert_eq!(
        start(&engine).await.expect("an answer").status,
        StatusCode::OK
    );
    let second = start(&engine).await.expect("an answer");
    assert_eq!(
        (second.status, second.not_run),
        (StatusCode::CONFLICT, false)
    );
    assert_eq!(engine.ledger().len(), 1);
}

#[tokio::test]
async fn a_cancelled_number_never_starts() {
    let engine = engine(6).await;
    let cancel = call(engine.address(), Method::DELETE, PATH, &Value::Null).await;
    assert_eq!(cancel.expect("an answer").status, StatusCode::NOT_FOUND);
    let answer = start(&engine).await.expect("an answer");
    assert_eq!(
        (answer.status, answer.not_run),
        (StatusCode::CONFLICT, true)
    );
    assert!(engine.ledger().is_empty());
}

#[tokio::test]
async fn a_cancel_ends_a_running_generation() {
    let engine = engine(100_000).await;
    let path = PATH.to_owned();
    let address = engine.address();
    let body = start_body(100_000);
    let running = tokio::spawn(async move { call(address, Method::POST, &path, &body).await });
    while engine
        .ledger()
        .first()
        .is_none_or(|entry| entry.tokens == 0)
    {
        sleep(Duration::from_millis(1)).await;
    }
    let cancel = call(address, Method::DELETE, PATH, &Value::Null).await;
    assert_eq!(cancel.expect("an answer").status, StatusCode::NO_CONTENT);
    let answer = running.await.expect("no panic").expect("an answer");
    assert_eq!(events(&answer).pop().expect("events")["end"], "cancelled");
    assert!(check_answer(&text(&answer), PROMPT).is_ok());
}

#[tokio::test]
async fn a_refusal_runs_nothing() {
    let engine = engine(6).await;
    engine.faults().set(once(Fault::Refuse));
    let answer = start(&engine).await.expect("an answer");
    assert_eq!(
        (answer.status, answer.not_run),
        (StatusCode::SERVICE_UNAVAILABLE, true)
    );
    assert!(engine.ledger().is_empty());
    assert_eq!(
        start(&engine).await.expect("an answer").status,
        StatusCode::OK
    );
}

#[tokio::test]
async fn a_lost_answer_still_runs() {
    let engine = engine(6).await;
    engine.faults().set(once(Fault::LoseAnswer));
    assert!(start(&engine).await.is_none());
    assert_eq!(engine.ledger().len(), 1);
}

#[tokio::test]
async fn each_stream_fault_shows() {
    let cut = answer_under(Fault::Cut(3)).await;
    assert!(!cut.complete);
    assert_eq!(
        check_answer(&text(&cut), PROMPT).expect("a start").tokens,
        3
    );
    let truncated = answer_under(Fault::Truncate(3)).await;
    assert!(truncated.complete && events(&truncated).iter().all(|e| e["end"].is_null()));
    let out_of_order = |position| {
        Err(TokenError {
            defect: TokenDefect::OutOfOrder,
            position,
        })
    };
    let doubled = answer_under(Fault::DuplicateToken(3)).await;
    assert_eq!(check_answer(&text(&doubled), PROMPT), out_of_order(4));
    let skipped = answer_under(Fault::WrongIndex(3)).await;
    assert_eq!(check_answer(&text(&skipped), PROMPT), out_of_order(3));
    let malformed = answer_under(Fault::MalformedEvent(3)).await;
    assert!(events(&malformed).contains(&Value::Null));
    let foreign = answer_under(Fault::WrongId(3)).await;
    let id = |event: &Value| event["generation"].as_str().map(str::to_owned);
    let ids: Vec<_> = events(&foreign).iter().map(id).collect();
    assert!(ids.iter().any(|id| *id != ids[0]));
}

#[tokio::test]
async fn an_old_fencing_number_is_refused_unless_ignored() {
    let engine = engine(6).await;
    let order = |fencing, version| {
        let load = json!({"load": {"model": "fake", "version": version, "adapter": null}});
        json!({"order": "o", "fencing": fencing, "action": load})
    };
    let send = async |body| {
        let answer = call(engine.address(), Method::POST, "/orders", &body).await;
        answer.expect("an answer").status
    };
    assert_eq!(send(order(5, "2")).await, StatusCode::OK);
    assert_eq!(send(order(4, "1")).await, StatusCode::CONFLICT);
    assert_eq!(engine.configuration().version, "2");
    engine.faults().set(once(Fault::IgnoreFencing));
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
async fn a_dead_engine_answers_nothing() {
    let engine = engine(6).await;
    let body = json!({"fault": "die"});
    call(engine.address(), Method::PUT, "/fault", &body).await;
    engine.stopped().await;
    assert!(start(&engine).await.is_none());
}

#[tokio::test]
async fn an_announcement_goes_to_an_instance_that_takes_it() {
    let refusing = BookingServer::spawn(BookingSettings::default())
        .await
        .expect("a port");
    refusing.faults().set(FaultRequest {
        fault: Some(Fault::Refuse),
        times: None,
    });
    let taking = BookingServer::spawn(BookingSettings::default())
        .await
        .expect("a port");
    let announcement = AnnouncementSettings {
        instances: vec![refusing.address(), taking.address()],
        name: "engine-7".to_owned(),
        ..AnnouncementSettings::default()
    };
    let settings = EngineServerSettings {
        announcement,
        ..EngineServerSettings::default()
    };
    let engine = EngineServer::spawn(settings).await.expect("a port");
    while taking.ledger().is_empty() {
        sleep(Duration::from_millis(1)).await;
    }
    let run = taking.ledger().remove(0);
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
    while taking.ledger().len() < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    let body: Value = serde_json::from_str(&taking.ledger()[1].body).expect("JSON");
    assert_eq!(
        (&body["state"], &body["sequence"]),
        (&json!("leaving"), &json!(2))
    );
}

#[tokio::test(start_paused = true)]
async fn a_long_generation_passes_at_once_on_a_paused_clock() {
    let engine = engine(20_000).await;
    let started = Instant::now();
    let body = start_body(20_000);
    let answer = call(engine.address(), Method::POST, PATH, &body)
        .await
        .expect("an answer");
    assert_eq!(
        check_answer(&text(&answer), PROMPT)
            .expect("an unmixed answer")
            .tokens,
        20_000
    );
    assert!(started.elapsed().as_secs() > 200);
}

#[tokio::test]
async fn lost_cache_news_leave_a_gap_in_the_sequence() {
    let taking = BookingServer::spawn(BookingSettings::default())
        .await
        .expect("a port");
    let announcement = AnnouncementSettings {
        instances: vec![taking.address()],
        name: "engine".to_owned(),
        ..AnnouncementSettings::default()
    };
    let settings = EngineServerSettings {
        announcement,
        ..EngineServerSettings::default()
    };
    let engine = EngineServer::spawn(settings).await.expect("a port");
    let prompt = |letter: &str| {
        let prompt = letter.repeat(130);
        json!({"model": "fake", "prompt": prompt, "max_tokens": 1, "priority": 0})
    };
    engine.faults().set(once(Fault::LoseCacheNews));
    call(engine.address(), Method::POST, PATH, &prompt("a"))
        .await
        .expect("an answer");
    while engine.faults().current().is_some() {
        sleep(Duration::from_millis(1)).await;
    }
    let other = PATH.replace("2a", "2b");
    call(engine.address(), Method::POST, &other, &prompt("b"))
        .await
        .expect("an answer");
    let news = || {
        let bodies = taking.ledger().into_iter().map(|run| run.body);
        let mut news = bodies.map(|body| serde_json::from_str::<Value>(&body).expect("JSON"));
        news.find_map(|body| body.get("cache").filter(|cache| !cache.is_null()).cloned())
    };
    while news().is_none() {
        sleep(Duration::from_millis(1)).await;
    }
    let news = news().expect("seen above");
    assert_eq!(news["first_sequence"], 2);
    assert_eq!(news["added"].as_array().map(Vec::len), Some(2));
}

#[tokio::test(start_paused = true)]
async fn a_waiting_generation_repeats_its_status() {
    let settings = EngineServerSettings {
        engine: EngineSettings {
            sequences_max: 1,
            ..EngineSettings::default()
        },
        length: GenerationLength::Fixed(200),
        ..EngineServerSettings::default()
    };
    let engine = EngineServer::spawn(settings).await.expect("a port");
    let (address, body) = (engine.address(), start_body(200));
    let first = tokio::spawn(async move { call(address, Method::POST, PATH, &body).await });
    while engine.ledger().is_empty() {
        sleep(Duration::from_millis(1)).await;
    }
    let other = PATH.replace("2a", "2b");
    let second = call(address, Method::POST, &other, &start_body(200)).await;
    let second = second.expect("an answer");
    let waiting = |event: &&Value| event["status"] == "waiting";
    assert!(events(&second).iter().filter(waiting).count() >= 3);
    assert!(first.await.expect("no panic").is_some());
}
