//! Callers, instances and endpoints as separate parts that talk by HTTP.

mod common;

use common::{booking, complete, engine, eventually, fleet, post, ready};

const SEATS: &str = "/services/booking/seats";
const TOKENS: u32 = 12;

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_passes_every_instance_and_a_booking_runs_once() {
    let fleet = fleet(3, &["quote", "booking"]).await;
    let engine = engine("engine-1", TOKENS, fleet.endpoint_addresses()).await;
    let booking = booking(fleet.endpoint_addresses()).await;
    ready(&fleet).await;
    for instance in &fleet.instances {
        eventually("completion served", async || {
            let answer = complete(instance.client_address).await;
            answer.is_success() && answer.body.contains(r#""completion_tokens":12"#)
        })
        .await;
    }
    let key = [("idempotency-key", "seat-7")];
    let body = r#"{"seat":"7"}"#;
    eventually("seat booked", async || {
        let caller = fleet.instances[0].client_address;
        post(caller, SEATS, &key, body).await.is_success()
    })
    .await;
    for instance in &fleet.instances {
        let repeat = post(instance.client_address, SEATS, &key, body).await;
        assert!(repeat.is_success(), "{}", repeat.body);
        assert_eq!(repeat.outcome, "ran");
    }
    assert_eq!(booking.ledger().len(), 1, "one seat is booked once");
    drop(engine);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_is_replaced_and_a_planned_stop_exits_with_zero() {
    let mut fleet = fleet(3, &["quote"]).await;
    let engine = engine("engine-1", TOKENS, fleet.endpoint_addresses()).await;
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
    ready(&fleet).await;
    assert_eq!(fleet.drain(1).await, Some(0));
    for number in [0, 2] {
        let caller = fleet.instances[number].client_address;
        eventually("completion served after a planned stop", async || {
            complete(caller).await.is_success()
        })
        .await;
    }
    drop(engine);
}
