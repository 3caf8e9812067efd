//! The booking service counts what it ran.

mod support;

use fakes::http::{BookingServer, BookingSettings, Fault, FaultRequest};
use hyper::{Method, StatusCode};
use serde_json::json;
use support::call;

async fn book(service: &BookingServer) -> Option<support::Answer> {
    call(
        service.address(),
        Method::POST,
        "/seats",
        &json!({"seat": "anvil-3"}),
    )
    .await
}

async fn service_with(fault: Option<Fault>) -> BookingServer {
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
async fn every_run_is_in_the_ledger() {
    let service = service_with(None).await;
    for _ in 0..2 {
        let answer = book(&service).await.expect("an answer");
        assert!(answer.complete && answer.status == StatusCode::OK);
    }
    let ledger = service.ledger();
    assert_eq!(ledger.len(), 2);
    assert_eq!(ledger[0].seat.as_deref(), Some("anvil-3"));
    assert_eq!(ledger[0].idempotency_key.as_deref(), Some("key-1"));
    let told = call(service.address(), Method::GET, "/ledger", &json!(null)).await;
    let told: serde_json::Value =
        serde_json::from_str(&told.expect("an answer").body).expect("JSON");
    assert_eq!(told, json!(ledger));
}

#[tokio::test]
async fn a_lost_answer_ran() {
    let service = service_with(Some(Fault::LoseAnswer)).await;
    assert!(book(&service).await.is_none());
    assert_eq!(service.ledger().len(), 1);
}

#[tokio::test]
async fn a_refusal_did_not_run() {
    let service = service_with(Some(Fault::Refuse)).await;
    assert!(book(&service).await.expect("an answer").not_run);
    assert!(service.ledger().is_empty());
}

#[tokio::test]
async fn a_full_service_refuses() {
    let settings = BookingSettings {
        calls_max: 0,
        ..BookingSettings::default()
    };
    let service = BookingServer::spawn(settings).await.expect("a free port");
    assert!(book(&service).await.expect("an answer").not_run);
    assert!(service.ledger().is_empty());
}
