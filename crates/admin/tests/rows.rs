//! Rows over HTTP: entity tags, concurrent edits, repeated edit ids, batches and history.

mod common;

use std::sync::atomic::Ordering;

use common::{IF_NONE_MATCH_ANY, TestServer, row_json};
use serde_json::json;

#[tokio::test]
async fn a_row_with_a_cyrillic_name_is_added_read_changed_and_deleted() {
    let server = TestServer::new().await;
    let path = "%D0%A6%D0%B5%D0%BD%D1%82%D1%8A%D1%80%201/%D1%81%D1%8A%D0%B2%D0%B5%D1%82";
    let put = server.put_row(path, "a", IF_NONE_MATCH_ANY, 5).await;
    assert_eq!(
        (put.status, put.header("etag")),
        (200, "\"2\""),
        "{}",
        put.body
    );
    let read = server.get(&format!("/v1/table/rows/{path}")).await;
    assert_eq!((read.status, read.header("etag")), (200, "\"2\""));
    let document = read.json();
    assert_eq!(document["customer"], "Център 1");
    assert_eq!(document["kind"], "съвет");
    assert_eq!(document["window"]["start"], "08:00");
    let method_and_path = format!("PUT /v1/table/rows/{path}");
    let headers = ["gentiancleat-edit-id: b", "if-match: \"2\""];
    let again = server
        .send(&method_and_path, "edit", &headers, read.body)
        .await;
    assert_eq!(again.status, 200, "a row can be sent back as it was read");
    let method_and_path = format!("DELETE /v1/table/rows/{path}");
    let headers = ["gentiancleat-edit-id: c", "if-match: \"3\""];
    assert_eq!(
        server
            .send(&method_and_path, "edit", &headers, "")
            .await
            .status,
        200
    );
    assert_eq!(
        server.get(&format!("/v1/table/rows/{path}")).await.status,
        404
    );
}

#[tokio::test]
async fn of_two_concurrent_edits_one_is_accepted_and_the_other_gets_the_current_row() {
    let server = TestServer::new().await;
    server.put_row("c/advice", "a", IF_NONE_MATCH_ANY, 1).await;
    let tag = "if-match: \"2\"";
    let (first, second) = tokio::join!(
        server.put_row("c/advice", "b", tag, 2),
        server.put_row("c/advice", "c", tag, 3)
    );
    let (accepted, conflicting) = if first.status == 200 {
        (first, second)
    } else {
        (second, first)
    };
    assert_eq!((accepted.status, conflicting.status), (200, 412));
    let problem = conflicting.json();
    assert_eq!(problem["type"], "urn:gentiancleat:problem:conflict");
    assert_eq!(problem["outcome"], "not-run");
    assert_eq!(problem["current"][0]["target"], "c/advice");
    assert_eq!(
        problem["current"][0]["revision"],
        accepted.json()["revision"]
    );
    assert!(problem["current"][0]["row"]["weight"].is_u64());
}

#[tokio::test]
async fn a_repeated_edit_gets_the_first_outcome_also_after_a_lost_response() {
    let server = TestServer::new().await;
    server.backend.lost_responses.store(1, Ordering::SeqCst);
    let lost = server.put_row("c/advice", "a", IF_NONE_MATCH_ANY, 1).await;
    assert_eq!(
        (lost.status, lost.json()["outcome"].as_str()),
        (504, Some("unknown"))
    );
    let again = server.put_row("c/advice", "a", IF_NONE_MATCH_ANY, 1).await;
    assert_eq!(
        (again.status, again.json()["revision"].as_u64()),
        (200, Some(2))
    );
    let other = server.put_row("c/advice", "a", IF_NONE_MATCH_ANY, 2).await;
    assert_eq!(other.status, 409);
    assert_eq!(
        other.json()["type"],
        "urn:gentiancleat:problem:edit-id-reused"
    );
}

#[tokio::test]
async fn an_edit_without_a_valid_precondition_and_id_is_refused() {
    let server = TestServer::new().await;
    let method_and_path = "PUT /v1/table/rows/c/advice";
    let id = "gentiancleat-edit-id: a";
    let cases: [(&[&str], u16); 6] = [
        (&[id], 428),
        (&[IF_NONE_MATCH_ANY], 400),
        (&[id, "if-match: W/\"2\""], 400),
        (&[id, "if-match: *"], 400),
        (&[id, "if-match: \"99999999999999999999\""], 400),
        (&["gentiancleat-edit-id: a b", IF_NONE_MATCH_ANY], 400),
    ];
    for (headers, status) in cases {
        let response = server
            .send(method_and_path, "edit", headers, row_json(1))
            .await;
        assert_eq!(response.status, status, "{headers:?}");
    }
    assert_eq!(server.get("/v1/table").await.json()["rows"], json!([]));
}

#[tokio::test]
async fn a_row_whose_customer_differs_from_its_path_is_refused() {
    let server = TestServer::new().await;
    let body = row_json(1).replacen('{', r#"{"customer":"other","#, 1);
    let headers = ["gentiancleat-edit-id: a", IF_NONE_MATCH_ANY];
    let method_and_path = "PUT /v1/table/rows/c/advice";
    let response = server.send(method_and_path, "edit", &headers, body).await;
    assert_eq!(response.status, 422, "{}", response.body);
}

#[tokio::test]
async fn each_violated_rule_is_reported_with_row_column_and_reason() {
    let server = TestServer::new().await;
    let body = row_json(-4)
        .replace("Europe/Sofia", "Europe/Atlantis")
        .replace("08:00", "8h");
    let headers = ["gentiancleat-edit-id: a", IF_NONE_MATCH_ANY];
    let method_and_path = "PUT /v1/table/rows/c/advice";
    let response = server.send(method_and_path, "edit", &headers, body).await;
    assert_eq!(response.status, 422);
    let problems = &response.json()["problems"];
    assert_eq!(
        *problems,
        json!([
            {"row": "c/advice", "column": "weight", "reason": "-4 is not from 1 to 1000000"},
            {"row": "c/advice", "column": "window_start", "reason": "`8h` is not a time of day as HH:MM"},
        ])
    );
    let body = row_json(4).replace("Europe/Sofia", "Europe/Atlantis");
    let response = server.send(method_and_path, "edit", &headers, body).await;
    assert_eq!(response.json()["problems"][0]["column"], "window_time_zone");
}

#[tokio::test]
async fn a_batch_is_applied_completely_or_not_at_all() {
    let server = TestServer::new().await;
    let change = |customer: &str, kind: &str| {
        let row = row_json(1);
        format!(r#"{{"customer":"{customer}","kind":"{kind}","expected_revision":0,"row":{row}}}"#)
    };
    let post = async |id: &str, changes: &[String]| {
        let body = format!(r#"{{"changes":[{}]}}"#, changes.join(","));
        let id = format!("gentiancleat-edit-id: {id}");
        server
            .send("POST /v1/table/edits", "edit", &[&id], body)
            .await
    };
    let refused = post("a", &[change("a", "advice"), change("b", "unknown")]).await;
    assert_eq!(refused.status, 422, "{}", refused.body);
    assert_eq!(server.get("/v1/table").await.json()["rows"], json!([]));
    let accepted = post("b", &[change("a", "advice"), change("б", "съвет")]).await;
    assert_eq!(accepted.status, 200, "{}", accepted.body);
    let conflict = post("c", &[change("b", "advice"), change("a", "advice")]).await;
    assert_eq!(conflict.status, 409);
    let first = server.get("/v1/table?limit=1").await.json();
    assert_eq!(first["next_after"], "a/advice");
    let second = server
        .get("/v1/table?limit=1&after=a%2Fadvice")
        .await
        .json();
    assert_eq!(second["rows"][0]["customer"], "б");
    assert!(second.get("next_after").is_none());
}

#[tokio::test]
async fn an_edit_waits_until_it_is_in_force_or_reports_that_it_is_not_yet() {
    let server = TestServer::new().await;
    let put = server
        .put_row("c/advice?wait=in-force", "a", IF_NONE_MATCH_ANY, 1)
        .await;
    assert_eq!(
        (put.status, put.json()["in_force"].as_bool()),
        (200, Some(true))
    );
    server.backend.never_in_force.store(true, Ordering::SeqCst);
    let put = server
        .put_row("c/advice?wait=in-force", "b", "if-match: \"2\"", 2)
        .await;
    assert_eq!(
        (put.status, put.json()["in_force"].as_bool()),
        (202, Some(false))
    );
    assert_eq!(put.json()["revision"], 3);
}

#[tokio::test]
async fn history_lists_author_and_changed_items() {
    let server = TestServer::new().await;
    server.put_row("c/advice", "a", IF_NONE_MATCH_ANY, 1).await;
    let edits = server.get("/v1/table/history?limit=1").await.json();
    assert_eq!(
        edits["edits"],
        json!([{
            "at_ms": 2, "author": "edit", "edit_id": "a", "revision": 2,
            "changed": [{"type": "row", "name": "c/advice"}],
        }])
    );
    let older = server.get("/v1/table/history?before=2").await.json();
    assert_eq!(older["edits"][0]["author"], "setup");
}
