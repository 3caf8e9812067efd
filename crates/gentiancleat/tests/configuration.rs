//! An instance whose configuration lease has expired admits no requests and is not waited for.

mod common;

use common::{complete, eventually, start_engine, start_fleet, wait_until_ready};
use hyper::Method;
use serde_json::Value;
use soak::{Fleet, HttpClient};

const ROW_PATH: &str = "/v1/table/rows/Maracas%20Ridge/quote";

async fn instance_status(fleet: &Fleet, number: usize) -> Value {
    let admin = fleet.instances[number].admin_address;
    let http = HttpClient::new("operator");
    let response = http.send(Method::GET, admin, "/v1/status", &[], "").await;
    serde_json::from_str(&response.body).unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_quorum_admits_no_request() {
    let mut fleet = start_fleet(3, &["quote"]).await;
    let engine = start_engine("engine-1", 4, fleet.endpoint_addresses()).await;
    wait_until_ready(&fleet).await;
    let client_address = fleet.instances[2].client_address;
    eventually("completion served", async || {
        complete(client_address).await.is_success()
    })
    .await;
    fleet.kill(0);
    fleet.kill(1);
    eventually("instance not ready", async || {
        instance_status(&fleet, 2).await["ready"].as_bool() == Some(false)
    })
    .await;
    let generations_before = engine.ledger().len();
    let response = complete(client_address).await;
    assert_eq!(response.status, 503, "{}", response.body);
    assert_eq!(response.outcome, "not-run");
    assert_eq!(
        engine.ledger().len(),
        generations_before,
        "no generation was started"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_comes_into_force_while_an_instance_is_suspended() {
    let fleet = start_fleet(3, &["quote"]).await;
    wait_until_ready(&fleet).await;
    let leader = instance_status(&fleet, 0).await["leader"]
        .as_str()
        .unwrap()
        .to_owned();
    let suspended = (0..3)
        .find(|&number| fleet.instances[number].name != leader)
        .unwrap();
    let editor = (0..3).find(|&number| number != suspended).unwrap();
    fleet.set_suspended(suspended, true);
    let http = HttpClient::new("operator");
    let admin = fleet.instances[editor].admin_address;
    let current = http.send(Method::GET, admin, ROW_PATH, &[], "").await;
    let mut row: Value = serde_json::from_str(&current.body).unwrap();
    row["weight"] = 7.into();
    let path = format!("{ROW_PATH}?wait=in-force");
    let headers = [
        ("gentiancleat-edit-id", "while-suspended"),
        ("if-match", current.entity_tag.as_str()),
    ];
    let edited = http
        .send(Method::PUT, admin, &path, &headers, &row.to_string())
        .await;
    assert_eq!(edited.status, 200, "{}", edited.body);
    let accepted: Value = serde_json::from_str(&edited.body).unwrap();
    fleet.set_suspended(suspended, false);
    eventually("resumed instance up to date", async || {
        let status = instance_status(&fleet, suspended).await;
        let up_to_date = status["revision"].as_u64() >= accepted["revision"].as_u64();
        assert!(
            up_to_date || status["ready"].as_bool() != Some(true),
            "an instance is ready with an old table: {status}"
        );
        up_to_date
    })
    .await;
}
