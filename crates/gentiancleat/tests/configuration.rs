//! Configuration leases of processes: what an instance may do that cannot renew its own.

mod common;

use common::{complete, engine, eventually, fleet, ready};
use hyper::Method;
use serde_json::Value;
use soak::{Fleet, HttpClient};

const ROW_PATH: &str = "/v1/table/rows/Maracas%20Ridge/quote";

async fn status(fleet: &Fleet, number: usize) -> Value {
    let admin = fleet.instances[number].admin_address;
    let http = HttpClient::new("operator");
    let answer = http.send(Method::GET, admin, "/v1/status", &[], "").await;
    serde_json::from_str(&answer.body).unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_quorum_nothing_new_is_admitted() {
    let mut fleet = fleet(3, &["quote"]).await;
    let engine = engine("engine-1", 4, fleet.endpoint_addresses()).await;
    ready(&fleet).await;
    let caller = fleet.instances[2].client_address;
    eventually("completion served", async || {
        complete(caller).await.is_success()
    })
    .await;
    fleet.kill(0);
    fleet.kill(1);
    eventually("instance not ready", async || {
        status(&fleet, 2).await["ready"].as_bool() == Some(false)
    })
    .await;
    let started = engine.ledger().len();
    let refused = complete(caller).await;
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert_eq!(refused.outcome, "not-run");
    assert_eq!(engine.ledger().len(), started, "nothing was started");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_is_in_force_although_an_instance_is_frozen() {
    let fleet = fleet(3, &["quote"]).await;
    ready(&fleet).await;
    let leader = status(&fleet, 0).await["leader"]
        .as_str()
        .unwrap()
        .to_owned();
    let frozen = (0..3).find(|&n| fleet.instances[n].name != leader).unwrap();
    let editor = (0..3).find(|&n| n != frozen).unwrap();
    fleet.set_suspended(frozen, true);
    let http = HttpClient::new("operator");
    let admin = fleet.instances[editor].admin_address;
    let present = http.send(Method::GET, admin, ROW_PATH, &[], "").await;
    let mut row: Value = serde_json::from_str(&present.body).unwrap();
    row["weight"] = 7.into();
    let path = format!("{ROW_PATH}?wait=in-force");
    let headers = [
        ("gentiancleat-edit-id", "while-frozen"),
        ("if-match", present.entity_tag.as_str()),
    ];
    let edited = http
        .send(Method::PUT, admin, &path, &headers, &row.to_string())
        .await;
    assert_eq!(edited.status, 200, "{}", edited.body);
    let accepted: Value = serde_json::from_str(&edited.body).unwrap();
    fleet.set_suspended(frozen, false);
    eventually("thawed instance up to date", async || {
        let status = status(&fleet, frozen).await;
        let up_to_date = status["revision"].as_u64() >= accepted["revision"].as_u64();
        assert!(
            up_to_date || status["ready"].as_bool() != Some(true),
            "an instance is ready with an old table: {status}"
        );
        up_to_date
    })
    .await;
}
