//! Export, comparison and import of the table as a CSV file over HTTP.

mod common;

use std::sync::atomic::Ordering;

use common::{IF_NONE_MATCH_ANY, TestResponse, TestServer};

async fn put_file(server: &TestServer, query: &str, id: &str, file: &str) -> TestResponse {
    let id = format!("gentiancleat-edit-id: {id}");
    let method_and_path = format!("PUT /v1/table.csv{query}");
    server
        .send(&method_and_path, "edit", &[&id], file.to_owned())
        .await
}

#[tokio::test]
async fn a_dry_run_returns_the_diff_and_an_import_applies_it() {
    let server = TestServer::new().await;
    server.put_row("c/advice", "a", IF_NONE_MATCH_ANY, 5).await;
    let file = server.get("/v1/table.csv").await;
    assert_eq!(file.header("content-type"), "text/csv; charset=utf-8");
    let file = file.body.replace("c,advice,5,", "c,advice,6,");
    let diff = put_file(&server, "?dry-run=true", "x", &file).await;
    assert_eq!(diff.status, 200, "{}", diff.body);
    assert_eq!(
        diff.body,
        "~ c/advice: weight 5→6\n0 added, 1 changed, 0 removed, 0 in conflict\n"
    );
    assert_eq!(
        server.get("/v1/table/rows/c/advice").await.json()["weight"],
        5
    );
    let applied = put_file(&server, "", "b", &file).await;
    assert_eq!(
        (applied.status, applied.json()["revision"].as_u64()),
        (200, Some(3))
    );
    assert_eq!(
        server.get("/v1/table/rows/c/advice").await.json()["weight"],
        6
    );
}

#[tokio::test]
async fn a_file_sent_again_after_a_lost_response_is_applied_once() {
    let server = TestServer::new().await;
    server.put_row("c/advice", "a", IF_NONE_MATCH_ANY, 5).await;
    let file = server.get("/v1/table.csv").await.body;
    let file = file.replace("c,advice,5,", "c,advice,6,");
    server.backend.lost_responses.store(1, Ordering::SeqCst);
    assert_eq!(put_file(&server, "", "b", &file).await.status, 504);
    server.put_row("c/advice", "c", "if-match: \"3\"", 7).await;
    let again = put_file(&server, "", "b", &file).await;
    assert_eq!(
        (again.status, again.json()["revision"].as_u64()),
        (200, Some(3))
    );
    assert_eq!(
        server.get("/v1/table/rows/c/advice").await.json()["weight"],
        7
    );
    let other = put_file(
        &server,
        "",
        "b",
        &file.replace("c,advice,6,", "c,advice,8,"),
    )
    .await;
    assert_eq!(other.status, 409);
}

#[tokio::test]
async fn a_file_with_an_outdated_row_is_refused() {
    let server = TestServer::new().await;
    server.put_row("c/advice", "a", IF_NONE_MATCH_ANY, 5).await;
    let file = server.get("/v1/table.csv").await.body;
    server.put_row("c/advice", "b", "if-match: \"2\"", 7).await;
    let stale = put_file(
        &server,
        "",
        "c",
        &file.replace("c,advice,5,", "c,advice,6,"),
    )
    .await;
    assert_eq!(stale.status, 409);
    let line = "! c/advice: was changed at revision 3, after the file was written";
    assert_eq!(stale.json()["conflicts"][0], line);
}

#[tokio::test]
async fn an_invalid_file_is_refused_with_line_and_column() {
    let server = TestServer::new().await;
    server.put_row("c/advice", "a", IF_NONE_MATCH_ANY, 5).await;
    let file = server.get("/v1/table.csv").await.body;
    let refused = put_file(
        &server,
        "",
        "b",
        &file.replace("c,advice,5,", "c,advice,-5,"),
    )
    .await;
    assert_eq!(refused.status, 422);
    assert_eq!(refused.json()["problems"][0]["row"], "line 2");
    assert_eq!(refused.json()["problems"][0]["column"], "weight");
    for file in ["", "\u{0}", "a;b\n1;2", "=cmd()"] {
        assert_eq!(
            put_file(&server, "?dry-run=true", "c", file).await.status,
            400
        );
    }
}
