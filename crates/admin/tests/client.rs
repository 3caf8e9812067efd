//! The client of the command line against a server, and the rendered text.

mod common;

use std::sync::atomic::Ordering;

use admin::{AdminClient, KeyOwner, render};
use common::TestServer;
use table::Role;

fn client(server: &TestServer, key: &str) -> AdminClient {
    AdminClient::new(&server.admin.address().to_string(), Some(key))
}

fn fields(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    let to_owned = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    pairs.iter().map(to_owned).collect()
}

fn complete_row() -> Vec<(String, String)> {
    fields(&[
        ("weight", "5"),
        ("priority", "0"),
        ("running_max", "4"),
        ("queued_max", "10"),
        ("queueing_ms_max", "5000"),
        ("urgent_share_percent", "25"),
        ("models", "forge-7b"),
    ])
}

#[tokio::test]
async fn table_set_adds_and_changes_a_row() {
    let server = TestServer::new().await;
    let client = client(&server, "edit");
    let set = client
        .table_set("Център", "съвет", &complete_row())
        .await
        .unwrap();
    assert!(set.is_success(), "{}", set.body);
    let weight = fields(&[("weight", "6")]);
    let changed = client.table_set("Център", "съвет", &weight).await.unwrap();
    assert!(changed.is_success(), "{}", changed.body);
    let shown = client.table_show(Some("Център")).await.unwrap();
    let text = render::rows(&shown.json());
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(
        lines[1].starts_with("Център    съвет  3         6"),
        "{text}"
    );
    let none = client.table_show(Some("other")).await.unwrap();
    assert_eq!(none.json()["rows"].as_array().unwrap().len(), 0);
}

#[tokio::test]
async fn an_edit_is_retried_after_a_lost_response_and_applied_once() {
    let server = TestServer::new().await;
    let client = client(&server, "edit");
    server.backend.lost_responses.store(1, Ordering::SeqCst);
    let set = client
        .table_set("c", "advice", &complete_row())
        .await
        .unwrap();
    assert_eq!(
        (set.status, set.json()["revision"].as_u64()),
        (200, Some(2))
    );
    let history = client.history(10).await.unwrap().json();
    assert_eq!(history["edits"].as_array().unwrap().len(), 2);
    assert!(render::history(&history).contains("type=row"));
}

#[tokio::test]
async fn an_exported_file_can_be_edited_compared_and_applied() {
    let server = TestServer::new().await;
    let client = client(&server, "edit");
    client
        .table_set("c", "advice", &complete_row())
        .await
        .unwrap();
    let file = client.table_csv().await.unwrap().body;
    let file = file.replace("c,advice,5", "c,advice,8");
    let diff = client.table_diff(&file).await.unwrap();
    assert!(
        diff.body.starts_with("~ c/advice: weight 5→8\n"),
        "{}",
        diff.body
    );
    let applied = client.table_apply(&file).await.unwrap();
    assert!(applied.is_success(), "{}", applied.body);
    assert_eq!(client.row("c", "advice").await.unwrap().json()["weight"], 8);
}

#[tokio::test]
async fn a_refused_edit_is_rendered_with_its_rows() {
    let server = TestServer::new().await;
    let client = client(&server, "edit");
    let refused = client
        .table_set("c", "advice", &fields(&[("weight", "-1")]))
        .await
        .unwrap();
    assert_eq!(refused.status, 422);
    let text = render::problem(&refused.json());
    assert!(
        text.contains("  row c/advice, column weight: -1 is not from"),
        "{text}"
    );
}

#[tokio::test]
async fn created_keys_authenticate_their_owners() {
    let server = TestServer::new().await;
    let client = client(&server, "operate");
    let owner = KeyOwner::Operator("ana".to_owned(), Role::Read);
    let (key, created) = client.create_key(&owner).await.unwrap();
    assert!(created.is_success(), "{}", created.body);
    let operator_client = AdminClient::new(&server.admin.address().to_string(), Some(&key));
    assert!(operator_client.status().await.unwrap().is_success());
    let owner = KeyOwner::Customer("Център".to_owned());
    let (key, created) = client.create_key(&owner).await.unwrap();
    assert!(created.is_success(), "{}", created.body);
    let guard = server.backend.table.lock().unwrap();
    assert_eq!(
        guard.0.items().customer_by_key(&key).unwrap().as_str(),
        "Център"
    );
}

#[tokio::test]
async fn endpoints_and_status_are_rendered_in_aligned_columns() {
    let server = TestServer::new().await;
    let client = client(&server, "operate");
    let endpoints = render::endpoints(&client.endpoints().await.unwrap().json());
    assert!(
        endpoints.contains("engine-7  ready  forge-7b 3  bg"),
        "{endpoints}"
    );
    let status = render::fields(&client.status().await.unwrap().json());
    assert!(status.contains("term               4\n"), "{status}");
    assert_eq!(client.drain().await.unwrap().status, 202);
    assert!(client.put_kind("quote").await.unwrap().is_success());
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_instance_is_named_in_the_error() {
    let server = TestServer::new().await;
    let address = server.admin.address().to_string();
    server.admin.shutdown().await;
    let error = AdminClient::new(&address, None).status().await.unwrap_err();
    assert!(error.to_string().contains(&address), "{error}");
}
