//! Requests from clients through instances to endpoints, each connected by HTTP.

mod common;

use common::{
    complete, eventually, post, start_booking, start_engine, start_fleet, wait_until_ready,
};

const SEATS: &str = "/services/booking/seats";
const COMPLETION_TOKENS: u32 = 12;

#[tokio::test(flavor = "multi_thread")]
async fn every_instance_serves_completions_and_a_repeated_booking_runs_once() {
    let fleet = start_fleet(3, &["quote", "booking"]).await;
    let engine = start_engine("engine-1", COMPLETION_TOKENS, fleet.endpoint_addresses()).await;
    let booking = start_booking(fleet.endpoint_addresses()).await;
    wait_until_ready(&fleet).await;
    for instance in &fleet.instances {
        eventually("completion served", async || {
            let response = complete(instance.client_address).await;
            response.is_success() && response.body.contains(r#""completion_tokens":12"#)
        })
        .await;
    }
    let headers = [("idempotency-key", "seat-7")];
    let body = r#"{"seat":"7"}"#;
    eventually("seat booked", async || {
        let client_address = fleet.instances[0].client_address;
        post(client_address, SEATS, &headers, body)
            .await
            .is_success()
    })
    .await;
    for instance in &fleet.instances {
        let repeat = post(instance.client_address, SEATS, &headers, body).await;
        assert!(repeat.is_success(), "{}", repeat.body);
        assert_eq!(repeat.outcome, "ran");
    }
    assert_eq!(booking.ledger().len(), 1, "one seat is booked once");
    drop(engine);
}

#[tokio::test(flavor = "multi_thread")]
async fn completions_are_served_after_a_kill_and_after_a_planned_stop_that_exits_with_zero() {
    let mut fleet = start_fleet(3, &["quote"]).await;
    let engine = start_engine("engine-1", COMPLETION_TOKENS, fleet.endpoint_addresses()).await;
    for instance in &fleet.instances {
        eventually("completion served", async || {
            complete(instance.client_address).await.is_success()
        })
        .await;
    }
    fleet.kill(0);
    for instance in &fleet.instances[1..] {
        eventually("completion served after a kill", async || {
            complete(instance.client_address).await.is_success()
        })
        .await;
    }
    fleet.start_instance(0);
    wait_until_ready(&fleet).await;
    assert_eq!(fleet.drain(1).await, Some(0));
    for number in [0, 2] {
        let client_address = fleet.instances[number].client_address;
        eventually("completion served after a planned stop", async || {
            complete(client_address).await.is_success()
        })
        .await;
    }
    drop(engine);
}
