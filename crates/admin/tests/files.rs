//! The table as a file over HTTP.

mod common;

use std::sync::atomic::Ordering;

use common::{Answer, Bench, NEW};

async fn put(bench: &Bench, query: &str, id: &str, file: &str) -> Answer {
    let id = format!("gentiancleat-edit-id: {id}");
    let call = format!("PUT /v1/table.csv{query}");
    bench.call(&call, "edit", &[&id], file.to_owned()).await
}

#[tokio::test]
async fn a_file_is_shown_as_a_diff_and_then_applied() {
    let bench = Bench::new().await;
    bench.put_row("c/advice", "a", NEW, 5).await;
    let file = bench.get("/v1/table.csv").await;
    assert_eq!(file.header("content-type"), "text/csv; charset=utf-8");
    let file = file.body.replace("c,advice,5,", "c,advice,6,");
    let diff = put(&bench, "?dry-run=true", "x", &file).await;
    assert_eq!(diff.status, 200, "{}", diff.body);
    assert_eq!(
        diff.body,
        "~ c/advice: weight 5→6\n0 added, 1 changed, 0 removed, 0 in conflict\n"
    );
    assert_eq!(
        bench.get("/v1/table/rows/c/advice").await.json()["weight"],
        5
    );
    let applied = put(&bench, "", "b", &file).await;
    assert_eq!(
        (applied.status, applied.json()["revision"].as_u64()),
        (200, Some(3))
    );
    assert_eq!(
        bench.get("/v1/table/rows/c/advice").await.json()["weight"],
        6
    );
}

#[tokio::test]
async fn a_file_whose_answer_was_lost_is_applied_once() {
    let bench = Bench::new().await;
    bench.put_row("c/advice", "a", NEW, 5).await;
    let file = bench.get("/v1/table.csv").await.body;
    let file = file.replace("c,advice,5,", "c,advice,6,");
    bench.backend.lost_answers.store(1, Ordering::SeqCst);
    assert_eq!(put(&bench, "", "b", &file).await.status, 504);
    bench.put_row("c/advice", "c", "if-match: \"3\"", 7).await;
    let again = put(&bench, "", "b", &file).await;
    assert_eq!(
        (again.status, again.json()["revision"].as_u64()),
        (200, Some(3))
    );
    assert_eq!(
        bench.get("/v1/table/rows/c/advice").await.json()["weight"],
        7
    );
    let other = put(&bench, "", "b", &file.replace("c,advice,6,", "c,advice,8,")).await;
    assert_eq!(other.status, 409);
}

#[tokio::test]
async fn a_stale_file_is_refused_whole() {
    let bench = Bench::new().await;
    bench.put_row("c/advice", "a", NEW, 5).await;
    let file = bench.get("/v1/table.csv").await.body;
    bench.put_row("c/advice", "b", "if-match: \"2\"", 7).await;
    let stale = put(&bench, "", "c", &file.replace("c,advice,5,", "c,advice,6,")).await;
    assert_eq!(stale.status, 409);
    let line = "! c/advice: was changed at revision 3, after the file was written";
    assert_eq!(stale.json()["conflicts"][0], line);
}

#[tokio::test]
async fn a_bad_file_names_line_and_column() {
    let bench = Bench::new().await;
    bench.put_row("c/advice", "a", NEW, 5).await;
    let file = bench.get("/v1/table.csv").await.body;
    let bad = put(
        &bench,
        "",
        "b",
        &file.replace("c,advice,5,", "c,advice,-5,"),
    )
    .await;
    assert_eq!(bad.status, 422);
    assert_eq!(bad.json()["problems"][0]["row"], "line 2");
    assert_eq!(bad.json()["problems"][0]["column"], "weight");
    for file in ["", "\u{0}", "a;b\n1;2", "=cmd()"] {
        assert_eq!(put(&bench, "?dry-run=true", "c", file).await.status, 400);
    }
}
