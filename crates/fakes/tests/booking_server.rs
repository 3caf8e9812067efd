//! The ledger of the booking service has exactly the calls that it ran.

mod support;

use fakes::http::{BookingServer, BookingSettings, Fault, FaultRequest};
use hyper::{Method, StatusCode};
use serde_json::json;
use support::send_request;

async fn book_seat(service: &BookingServer) -> Option<support::CapturedResponse> {
    send_request(
        service.address(),
        Method::POST,
        "/seats",
        &json!({"seat": "anvil-3"}),
    )
    .await
}

async fn spawn_with_fault(fault: Option<Fault>) -> BookingServer {
    let service = BookingServer::spawn(BookingSettings::default())
        .await
        .expect("a free port");
    service.faults().set(FaultRequest {
        fault,
        times: Some(1),
    });
    service
}

#[tokio::test]
async fn each_executed_call_is_in_the_ledger() {
    let service = spawn_with_fault(None).await;
    for _ in 0..2 {
        let response = book_seat(&service).await.expect("a response");
        assert!(response.complete && response.status == StatusCode::OK);
    }
    let ledger = service.ledger();
    assert_eq!(ledger.len(), 2);
    assert_eq!(ledger[0].seat.as_deref(), Some("anvil-3"));
    assert_eq!(ledger[0].idempotency_key.as_deref(), Some("key-1"));
    let response = send_request(service.address(), Method::GET, "/ledger", &json!(null)).await;
    let served_ledger: serde_json::Value =
        serde_json::from_str(&response.expect("a response").body).expect("JSON");
    assert_eq!(served_ledger, json!(ledger));
}

#[tokio::test]
async fn a_call_with_a_lost_response_is_in_the_ledger() {
    let service = spawn_with_fault(Some(Fault::LoseAnswer)).await;
    assert!(book_seat(&service).await.is_none());
    assert_eq!(service.ledger().len(), 1);
}

#[tokio::test]
async fn a_refused_call_is_not_in_the_ledger() {
    let service = spawn_with_fault(Some(Fault::Refuse)).await;
    assert!(book_seat(&service).await.expect("a response").not_run);
    assert!(service.ledger().is_empty());
}

#[tokio::test]
async fn a_call_over_calls_max_is_refused_as_not_run() {
    let settings = BookingSettings {
        calls_max: 0,
        ..BookingSettings::default()
    };
    let service = BookingServer::spawn(settings).await.expect("a free port");
    assert!(book_seat(&service).await.expect("a response").not_run);
    assert!(service.ledger().is_empty());
}
