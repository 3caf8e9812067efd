//! Generations through an entry, from the client's request to the engine's event stream.

mod support;

use std::sync::atomic::Ordering;

use entry::dependencies::{PermitEnd, Target};
use support::{
    EntryBuilder, FakeEndpoint, ReceivedRequest, ServerConnection, TestClient, end_event,
    generation_id, status_event, token_event,
};

/// Engine that streams three tokens.
async fn stream_three_tokens(request: ReceivedRequest, mut connection: ServerConnection) {
    if request.method() == "DELETE" {
        return connection.respond("204 No Content", "", "").await;
    }
    let generation = generation_id(&request);
    connection.start_event_stream().await;
    connection
        .send_chunk(&status_event(&generation, "prefill"))
        .await;
    for (index, text) in (0..).zip(["Fo", "\n\ndata: r", "ge"]) {
        connection
            .send_chunk(&token_event(&generation, index, text))
            .await;
    }
    connection.send_chunk(&end_event(&generation, 3)).await;
    connection.end_body().await;
}

#[tokio::test]
async fn a_stream_contains_each_token_once_and_ends_with_done() {
    let engine = FakeEndpoint::bind(|request, connection| {
        Box::pin(stream_three_tokens(request, connection))
    })
    .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address]).bind().await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.outcome(), Some("ran"));
    assert_eq!(response.header("content-type"), Some("text/event-stream"));
    assert_eq!(response.text(), "Fo\n\ndata: rge");
    assert!(response.body.ends_with("data: [DONE]\n\n"));
    let ends = backend.finished_permits.lock().unwrap().clone();
    assert_eq!(ends, [("e0".to_owned(), PermitEnd::Completed, 3)]);
}

#[tokio::test]
async fn a_buffered_response_has_the_full_text_and_the_usage() {
    let engine = FakeEndpoint::bind(|request, connection| {
        Box::pin(stream_three_tokens(request, connection))
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[engine.address]).bind().await;
    let body =
        r#"{"model":"forge","messages":[{"role":"user","content":"anvil?"}],"max_tokens":9}"#;
    let response =
        TestClient::request(entry.address(), "POST /v1/chat/completions", "", body).await;
    let json = response.json();
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
async fn a_request_without_a_key_is_unauthorized() {
    let (entry, _) = EntryBuilder::new(&[]).bind().await;
    let mut client = TestClient::connect(entry.address()).await;
    client
        .send_raw("GET /v1/models HTTP/1.1\r\nhost: e\r\n\r\n")
        .await;
    let response = client.read_response().await;
    assert_eq!(response.status(), 401);
    assert_eq!(response.json()["outcome"], "not-run");
}

#[tokio::test]
async fn models_are_listed() {
    let (entry, _) = EntryBuilder::new(&[]).bind().await;
    let response = TestClient::request(entry.address(), "GET /v1/models", "", "").await;
    assert_eq!(response.json()["data"][0]["id"], "forge");
}

#[tokio::test]
async fn a_request_without_a_ready_endpoint_is_refused_as_not_run() {
    let (entry, backend) = EntryBuilder::new(&[]).bind().await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.status(), 503);
    assert_eq!(response.outcome(), Some("not-run"));
    assert_eq!(response.header("retry-after"), Some("2"));
    assert_eq!(response.json()["retry_after_ms"], 1_500);
    let permit_request = backend.permit_requests.lock().unwrap().remove(0);
    assert!(matches!(permit_request.target, Target::Model(model) if model.as_str() == "forge"));
}

#[tokio::test]
async fn requests_without_a_live_configuration_lease_are_refused() {
    let engine = FakeEndpoint::bind(|request, connection| {
        Box::pin(stream_three_tokens(request, connection))
    })
    .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address]).bind().await;
    backend.is_lease_lost.store(true, Ordering::SeqCst);
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.status(), 503);
    assert_eq!(response.outcome(), Some("not-run"));
    assert!(response.header("retry-after").is_some());
    assert!(engine.requests_by_method("POST").is_empty());
    assert!(!entry.is_ready());
}

#[tokio::test]
async fn a_client_disconnect_cancels_the_generation() {
    for is_stream in [true, false] {
        let mut engine = FakeEndpoint::bind(|request, mut connection| {
            Box::pin(async move {
                if request.method() == "DELETE" {
                    return connection.respond("204 No Content", "", "").await;
                }
                connection.start_event_stream().await;
                connection
                    .send_chunk(&token_event(&generation_id(&request), 0, "a"))
                    .await;
                connection.wait_until_closed().await;
            })
        })
        .await;
        let (entry, backend) = EntryBuilder::new(&[engine.address]).bind().await;
        let mut client = TestClient::connect(entry.address()).await;
        let body = format!("{{\"model\":\"forge\",\"prompt\":\"p\",\"stream\":{is_stream}}}");
        client.send("POST /v1/completions", "", &body).await;
        if is_stream {
            client.read_until("\"text\":\"a\"").await;
        } else {
            engine.wait_for_requests("POST", 1).await;
        }
        drop(client);
        engine.wait_for_requests("DELETE", 1).await;
        let started = generation_id(&engine.requests_by_method("POST")[0]);
        assert_eq!(
            generation_id(&engine.requests_by_method("DELETE")[0]),
            started
        );
        let ends = backend.finished_permits.lock().unwrap().clone();
        assert_eq!(ends[0].1, PermitEnd::Cancelled);
    }
}
