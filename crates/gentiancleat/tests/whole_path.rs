//! Callers, instances and endpoints as separate parts that talk by HTTP.

mod common;

use common::{Fleet, booking, call, complete, engine, eventually};
use hyper::Method;

const TOKENS: u32 = 12;

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_passes_every_instance_and_a_booking_runs_once() {
    let fleet = Fleet::start(3);
    fleet.add_rows(&["quote", "booking"]).await;
    let engine = engine("engine-1", TOKENS, fleet.endpoint_addresses()).await;
    let booking = booking(fleet.endpoint_addresses()).await;
    fleet.ready().await;
    for instance in &fleet.instances {
        eventually("completion served", async || {
            let answer = complete(instance.caller, 64).await;
            answer.status == 200 && answer.body.contains(r#""completion_tokens":12"#)
        })
        .await;
    }
    let seats = "/services/booking/seats";
    let key = [("idempotency-key", "seat-7")];
    let body = r#"{"seat":"7"}"#;
    eventually("seat booked", async || {
        let caller = fleet.instances[0].caller;
        call(caller, Method::POST, seats, &key, body).await.status == 200
    })
    .await;
    for instance in &fleet.instances {
        let repeat = call(instance.caller, Method::POST, seats, &key, body).await;
        assert_eq!(repeat.status, 200, "{}", repeat.body);
        assert_eq!(repeat.outcome, "ran");
    }
    assert_eq!(booking.ledger().len(), 1, "one seat is booked once");
    drop(engine);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_is_replaced_and_a_planned_stop_exits_with_zero() {
    let mut fleet = Fleet::start(3);
    fleet.add_rows(&["quote"]).await;
    let engine = engine("engine-1", TOKENS, fleet.endpoint_addresses()).await;
    for instance in &fleet.instances {
        eventually("completion served", async || {
            complete(instance.caller, 64).await.status == 200
        })
        .await;
    }
    fleet.kill(0);
    for instance in &fleet.instances[1..] {
        eventually("completion served after a kill", async || {
            complete(instance.caller, 64).await.status == 200
        })
        .await;
    }
    fleet.restart(0);
    fleet.ready().await;
    assert_eq!(fleet.stop(1).await, Some(0));
    for number in [0, 2] {
        let caller = fleet.instances[number].caller;
        eventually("completion served after a planned stop", async || {
            complete(caller, 64).await.status == 200
        })
        .await;
    }
    drop(engine);
}
