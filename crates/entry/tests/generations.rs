//! Generations through an entry, from the caller's request to the engine's stream.

mod support;

use std::sync::atomic::Ordering;

use entry::dependencies::{PermitEnd, Target};
use support::{
    EntryBuilder, FakeEndpoint, ReceivedRequest, ServerConnection, TestClient, end_event,
    generation_id, status_event, token_event,
};

/// Engine that answers three tokens.
async fn three_tokens(seen: ReceivedRequest, mut wire: ServerConnection) {
    if seen.method() == "DELETE" {
        return wire.respond("204 No Content", "", "").await;
    }
    let generation = generation_id(&seen);
    wire.start_event_stream().await;
    wire.send_chunk(&status_event(&generation, "prefill")).await;
    for (index, text) in (0..).zip(["Fo", "\n\ndata: r", "ge"]) {
        wire.send_chunk(&token_event(&generation, index, text))
            .await;
    }
    wire.send_chunk(&end_event(&generation, 3)).await;
    wire.end_body().await;
}

#[tokio::test]
async fn a_stream_brings_each_token_once_and_ends_with_done() {
    let engine = FakeEndpoint::bind(|seen, wire| Box::pin(three_tokens(seen, wire))).await;
    let (entry, neighbours) = EntryBuilder::new(&[engine.address]).bind().await;
    let answer = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.outcome(), Some("ran"));
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
    assert_eq!(answer.text(), "Fo\n\ndata: rge");
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    let ends = neighbours.finished_permits.lock().unwrap().clone();
    assert_eq!(ends, [("e0".to_owned(), PermitEnd::Completed, 3)]);
}

#[tokio::test]
async fn a_whole_answer_has_all_text_and_its_usage() {
    let engine = FakeEndpoint::bind(|seen, wire| Box::pin(three_tokens(seen, wire))).await;
    let (entry, _) = EntryBuilder::new(&[engine.address]).bind().await;
    let body =
        r#"{"model":"forge","messages":[{"role":"user","content":"anvil?"}],"max_tokens":9}"#;
    let answer = TestClient::request(entry.address(), "POST /v1/chat/completions", "", body).await;
    let json = answer.json();
    assert_eq!(json["choices"][0]["message"]["content"], "Fo\n\ndata: rge");
    assert_eq!(json["choices"][0]["finish_reason"], "stop");
    assert_eq!(json["usage"]["completion_tokens"], 3);
    let start = engine.requests_by_method("POST").remove(0);
    let start: serde_json::Value = serde_json::from_str(&start.body).unwrap();
    assert_eq!(start["prompt"], "user: anvil?\n\nassistant:");
    assert_eq!(start["max_tokens"], 9);
    assert_eq!(start["priority"], 7);
}

#[tokio::test]
async fn a_caller_without_a_key_is_not_served() {
    let (entry, _) = EntryBuilder::new(&[]).bind().await;
    let mut caller = TestClient::connect(entry.address()).await;
    caller
        .send_raw("GET /v1/models HTTP/1.1\r\nhost: e\r\n\r\n")
        .await;
    let answer = caller.read_response().await;
    assert_eq!(answer.status(), 401);
    assert_eq!(answer.json()["outcome"], "not-run");
}

#[tokio::test]
async fn models_are_listed() {
    let (entry, _) = EntryBuilder::new(&[]).bind().await;
    let answer = TestClient::request(entry.address(), "GET /v1/models", "", "").await;
    assert_eq!(answer.json()["data"][0]["id"], "forge");
}

#[tokio::test]
async fn a_request_without_an_endpoint_is_refused_at_once_as_not_run() {
    let (entry, neighbours) = EntryBuilder::new(&[]).bind().await;
    let answer = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.outcome(), Some("not-run"));
    assert_eq!(answer.header("retry-after"), Some("2"));
    assert_eq!(answer.json()["retry_after_ms"], 1_500);
    let asked = neighbours.permit_requests.lock().unwrap().remove(0);
    assert!(matches!(asked.target, Target::Model(model) if model.as_str() == "forge"));
}

#[tokio::test]
async fn without_a_configuration_lease_nothing_new_is_admitted() {
    let engine = FakeEndpoint::bind(|seen, wire| Box::pin(three_tokens(seen, wire))).await;
    let (entry, neighbours) = EntryBuilder::new(&[engine.address]).bind().await;
    neighbours.is_lease_lost.store(true, Ordering::SeqCst);
    let answer = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.outcome(), Some("not-run"));
    assert!(answer.header("retry-after").is_some());
    assert!(engine.requests_by_method("POST").is_empty());
    assert!(!entry.is_ready());
}

#[tokio::test]
async fn a_caller_who_leaves_cancels_the_generation() {
    for is_stream in [true, false] {
        let mut engine = FakeEndpoint::bind(|seen, mut wire| {
            Box::pin(async move {
                if seen.method() == "DELETE" {
                    return wire.respond("204 No Content", "", "").await;
                }
                wire.start_event_stream().await;
                wire.send_chunk(&token_event(&generation_id(&seen), 0, "a"))
                    .await;
                wire.wait_until_closed().await;
            })
        })
        .await;
        let (entry, neighbours) = EntryBuilder::new(&[engine.address]).bind().await;
        let mut caller = TestClient::connect(entry.address()).await;
        let body = format!("{{\"model\":\"forge\",\"prompt\":\"p\",\"stream\":{is_stream}}}");
        caller.send("POST /v1/completions", "", &body).await;
        if is_stream {
            caller.read_until("\"text\":\"a\"").await;
        } else {
            engine.wait_for_requests("POST", 1).await;
        }
        drop(caller);
        engine.wait_for_requests("DELETE", 1).await;
        let started = generation_id(&engine.requests_by_method("POST")[0]);
        assert_eq!(
            generation_id(&engine.requests_by_method("DELETE")[0]),
            started
        );
        let ends = neighbours.finished_permits.lock().unwrap().clone();
        assert_eq!(ends[0].1, PermitEnd::Cancelled);
    }
}
