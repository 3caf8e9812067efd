//! The command line's client against the interface, and its text.

mod common;

use std::sync::atomic::Ordering;

use admin::{AdminClient, KeyHolder, render};
use common::Bench;
use table::Role;

fn client(bench: &Bench, key: &str) -> AdminClient {
    AdminClient::new(&bench.admin.address().to_string(), Some(key))
}

fn fields(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    let own = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    pairs.iter().map(own).collect()
}

fn whole_row() -> Vec<(String, String)> {
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
async fn a_row_is_set_changed_and_shown() {
    let bench = Bench::new().await;
    let client = client(&bench, "edit");
    let set = client
        .table_set("Център", "съвет", &whole_row())
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
async fn an_edit_whose_answers_are_lost_is_sent_again_and_applied_once() {
    let bench = Bench::new().await;
    let client = client(&bench, "edit");
    bench.backend.lost_answers.store(1, Ordering::SeqCst);
    let set = client.table_set("c", "advice", &whole_row()).await.unwrap();
    assert_eq!(
        (set.status, set.json()["revision"].as_u64()),
        (200, Some(2))
    );
    let history = client.history(10).await.unwrap().json();
    assert_eq!(history["edits"].as_array().unwrap().len(), 2);
    assert!(render::history(&history).contains("type=row"));
}

#[tokio::test]
async fn a_file_goes_out_and_back() {
    let bench = Bench::new().await;
    let client = client(&bench, "edit");
    client.table_set("c", "advice", &whole_row()).await.unwrap();
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
async fn a_refusal_is_shown_with_its_rows() {
    let bench = Bench::new().await;
    let client = client(&bench, "edit");
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
async fn keys_are_made_without_being_sent() {
    let bench = Bench::new().await;
    let client = client(&bench, "operate");
    let holder = KeyHolder::Operator("ana".to_owned(), Role::Read);
    let (key, made) = client.create_key(&holder).await.unwrap();
    assert!(made.is_success(), "{}", made.body);
    let hers = AdminClient::new(&bench.admin.address().to_string(), Some(&key));
    assert!(hers.status().await.unwrap().is_success());
    let holder = KeyHolder::Customer("Център".to_owned());
    let (key, made) = client.create_key(&holder).await.unwrap();
    assert!(made.is_success(), "{}", made.body);
    let guard = bench.backend.table.lock().unwrap();
    assert_eq!(
        guard.0.items().customer_by_key(&key).unwrap().as_str(),
        "Център"
    );
}

#[tokio::test]
async fn fleet_answers_are_aligned() {
    let bench = Bench::new().await;
    let client = client(&bench, "operate");
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
async fn an_instance_that_cannot_be_reached_is_named() {
    let bench = Bench::new().await;
    let address = bench.admin.address().to_string();
    bench.admin.shutdown().await;
    let error = AdminClient::new(&address, None).status().await.unwrap_err();
    assert!(error.to_string().contains(&address), "{error}");
}
