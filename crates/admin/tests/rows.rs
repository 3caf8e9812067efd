//! Rows over HTTP: entity tags, races, resent ids, batches.

mod common;

use std::sync::atomic::Ordering;

use common::{Bench, NEW, row};
use serde_json::json;

#[tokio::test]
async fn a_row_is_put_read_changed_and_deleted_under_its_cyrillic_name() {
    let bench = Bench::new().await;
    let path = "%D0%A6%D0%B5%D0%BD%D1%82%D1%8A%D1%80%201/%D1%81%D1%8A%D0%B2%D0%B5%D1%82";
    let put = bench.put_row(path, "a", NEW, 5).await;
    assert_eq!(
        (put.status, put.header("etag")),
        (200, "\"2\""),
        "{}",
        put.body
    );
    let got = bench.get(&format!("/v1/table/rows/{path}")).await;
    assert_eq!((got.status, got.header("etag")), (200, "\"2\""));
    let document = got.json();
    assert_eq!(document["customer"], "Център 1");
    assert_eq!(document["kind"], "съвет");
    assert_eq!(document["window"]["start"], "08:00");
    let call = format!("PUT /v1/table/rows/{path}");
    let headers = ["gentiancleat-edit-id: b", "if-match: \"2\""];
    let again = bench.call(&call, "edit", &headers, got.body).await;
    assert_eq!(again.status, 200, "a row can be sent back as it was read");
    let call = format!("DELETE /v1/table/rows/{path}");
    let headers = ["gentiancleat-edit-id: c", "if-match: \"3\""];
    assert_eq!(bench.call(&call, "edit", &headers, "").await.status, 200);
    assert_eq!(
        bench.get(&format!("/v1/table/rows/{path}")).await.status,
        404
    );
}

#[tokio::test]
async fn of_two_racing_edits_one_wins_and_the_other_sees_the_row() {
    let bench = Bench::new().await;
    bench.put_row("c/advice", "a", NEW, 1).await;
    let tag = "if-match: \"2\"";
    let (first, second) = tokio::join!(
        bench.put_row("c/advice", "b", tag, 2),
        bench.put_row("c/advice", "c", tag, 3)
    );
    let (winner, loser) = if first.status == 200 {
        (first, second)
    } else {
        (second, first)
    };
    assert_eq!((winner.status, loser.status), (200, 412));
    let problem = loser.json();
    assert_eq!(problem["type"], "urn:gentiancleat:problem:conflict");
    assert_eq!(problem["outcome"], "not-run");
    assert_eq!(problem["current"][0]["target"], "c/advice");
    assert_eq!(problem["current"][0]["revision"], winner.json()["revision"]);
    assert!(problem["current"][0]["row"]["weight"].is_u64());
}

#[tokio::test]
async fn a_resent_edit_gets_its_first_answer_also_after_a_lost_one() {
    let bench = Bench::new().await;
    bench.backend.lost_answers.store(1, Ordering::SeqCst);
    let lost = bench.put_row("c/advice", "a", NEW, 1).await;
    assert_eq!(
        (lost.status, lost.json()["outcome"].as_str()),
        (504, Some("unknown"))
    );
    let again = bench.put_row("c/advice", "a", NEW, 1).await;
    assert_eq!(
        (again.status, again.json()["revision"].as_u64()),
        (200, Some(2))
    );
    let other = bench.put_row("c/advice", "a", NEW, 2).await;
    assert_eq!(other.status, 409);
    assert_eq!(
        other.json()["type"],
        "urn:gentiancleat:problem:edit-id-reused"
    );
}

#[tokio::test]
async fn an_edit_without_its_precondition_or_id_is_refused() {
    let bench = Bench::new().await;
    let call = "PUT /v1/table/rows/c/advice";
    let id = "gentiancleat-edit-id: a";
    let cases: [(&[&str], u16); 6] = [
        (&[id], 428),
        (&[NEW], 400),
        (&[id, "if-match: W/\"2\""], 400),
        (&[id, "if-match: *"], 400),
        (&[id, "if-match: \"99999999999999999999\""], 400),
        (&["gentiancleat-edit-id: a b", NEW], 400),
    ];
    for (headers, status) in cases {
        let answer = bench.call(call, "edit", headers, row(1)).await;
        assert_eq!(answer.status, status, "{headers:?}");
    }
    assert_eq!(bench.get("/v1/table").await.json()["rows"], json!([]));
}

#[tokio::test]
async fn a_row_that_names_another_than_its_path_is_refused() {
    let bench = Bench::new().await;
    let body = row(1).replacen('{', r#"{"customer":"other","#, 1);
    let headers = ["gentiancleat-edit-id: a", NEW];
    let call = "PUT /v1/table/rows/c/advice";
    let answer = bench.call(call, "edit", &headers, body).await;
    assert_eq!(answer.status, 422, "{}", answer.body);
}

#[tokio::test]
async fn each_broken_rule_names_row_column_and_reason() {
    let bench = Bench::new().await;
    let body = row(-4)
        .replace("Europe/Sofia", "Europe/Atlantis")
        .replace("08:00", "8h");
    let headers = ["gentiancleat-edit-id: a", NEW];
    let call = "PUT /v1/table/rows/c/advice";
    let answer = bench.call(call, "edit", &headers, body).await;
    assert_eq!(answer.status, 422);
    let problems = &answer.json()["problems"];
    assert_eq!(
        *problems,
        json!([
            {"row": "c/advice", "column": "weight", "reason": "-4 is not from 1 to 1000000"},
            {"row": "c/advice", "column": "window_start", "reason": "`8h` is not a time of day as HH:MM"},
        ])
    );
    let body = row(4).replace("Europe/Sofia", "Europe/Atlantis");
    let answer = bench.call(call, "edit", &headers, body).await;
    assert_eq!(answer.json()["problems"][0]["column"], "window_time_zone");
}

#[tokio::test]
async fn a_batch_is_accepted_whole_or_not_at_all() {
    let bench = Bench::new().await;
    let change = |customer: &str, kind: &str| {
        let row = row(1);
        format!(r#"{{"customer":"{customer}","kind":"{kind}","expected_revision":0,"row":{row}}}"#)
    };
    let post = async |id: &str, changes: &[String]| {
        let body = format!(r#"{{"changes":[{}]}}"#, changes.join(","));
        let id = format!("gentiancleat-edit-id: {id}");
        bench
            .call("POST /v1/table/edits", "edit", &[&id], body)
            .await
    };
    let bad = post("a", &[change("a", "advice"), change("b", "unknown")]).await;
    assert_eq!(bad.status, 422, "{}", bad.body);
    assert_eq!(bench.get("/v1/table").await.json()["rows"], json!([]));
    let good = post("b", &[change("a", "advice"), change("б", "съвет")]).await;
    assert_eq!(good.status, 200, "{}", good.body);
    let conflict = post("c", &[change("b", "advice"), change("a", "advice")]).await;
    assert_eq!(conflict.status, 409);
    let first = bench.get("/v1/table?limit=1").await.json();
    assert_eq!(first["next_after"], "a/advice");
    let second = bench.get("/v1/table?limit=1&after=a%2Fadvice").await.json();
    assert_eq!(second["rows"][0]["customer"], "б");
    assert!(second.get("next_after").is_none());
}

#[tokio::test]
async fn an_edit_waits_until_it_is_in_force_or_says_that_it_is_not_yet() {
    let bench = Bench::new().await;
    let put = bench.put_row("c/advice?wait=in-force", "a", NEW, 1).await;
    assert_eq!(
        (put.status, put.json()["in_force"].as_bool()),
        (200, Some(true))
    );
    bench.backend.never_in_force.store(true, Ordering::SeqCst);
    let put = bench
        .put_row("c/advice?wait=in-force", "b", "if-match: \"2\"", 2)
        .await;
    assert_eq!(
        (put.status, put.json()["in_force"].as_bool()),
        (202, Some(false))
    );
    assert_eq!(put.json()["revision"], 3);
}

#[tokio::test]
async fn history_says_who_changed_what() {
    let bench = Bench::new().await;
    bench.put_row("c/advice", "a", NEW, 1).await;
    let edits = bench.get("/v1/table/history?limit=1").await.json();
    assert_eq!(
        edits["edits"],
        json!([{
            "at_ms": 2, "author": "edit", "edit_id": "a", "revision": 2,
            "changed": [{"type": "row", "name": "c/advice"}],
        }])
    );
    let older = bench.get("/v1/table/history?before=2").await.json();
    assert_eq!(older["edits"][0]["author"], "setup");
}
