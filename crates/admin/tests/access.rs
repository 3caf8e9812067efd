//! Roles, keys, and hostile or malformed requests.

mod common;

use std::time::Duration;

use common::{Bench, NEW, row};
use quickcheck::{Arbitrary, Gen};
use serde_json::json;
use table::KeyHash;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CALLS: [(&str, u8); 18] = [
    ("GET /v1/table", 0),
    ("GET /v1/table.csv", 0),
    ("GET /v1/table/history", 0),
    ("GET /v1/table/rows/c/advice", 0),
    ("GET /v1/instances", 0),
    ("GET /v1/endpoints", 0),
    ("GET /v1/status", 0),
    ("GET /v1/kinds", 0),
    ("PUT /v1/table/rows/c/advice", 1),
    ("DELETE /v1/table/rows/c/advice", 1),
    ("PUT /v1/table.csv", 1),
    ("POST /v1/table/edits", 1),
    ("PUT /v1/kinds/other", 2),
    ("DELETE /v1/kinds/advice", 2),
    ("POST /v1/keys", 2),
    ("GET /v1/keys", 2),
    ("DELETE /v1/keys/customers/00", 2),
    ("POST /v1/drain", 2),
];

#[tokio::test]
async fn every_call_needs_a_key_with_its_role() {
    let bench = Bench::new().await;
    for (call, needed) in CALLS {
        // A path that names no key is found out before the role is.
        let call = call.replace("/00", &format!("/{}", "0".repeat(64)));
        for (role, key) in ["read", "edit", "operate"].into_iter().enumerate() {
            let status = bench.call(&call, key, &[], "").await.status;
            let is_refused = role < usize::from(needed);
            assert_eq!(status == 403, is_refused, "{call} as {key}: {status}");
        }
        for key in ["", "unknown", "Read", &"k".repeat(5_000)] {
            let answer = bench.call(&call, key, &[], "").await;
            assert_eq!(answer.status, 401, "{call}");
            assert_eq!(answer.header("www-authenticate"), "Bearer");
        }
    }
}

#[tokio::test]
async fn health_readiness_and_metrics_need_no_key() {
    let bench = Bench::new().await;
    assert_eq!(bench.call("GET /healthz", "", &[], "").await.status, 200);
    assert_eq!(bench.call("GET /readyz", "", &[], "").await.status, 200);
    let metrics = bench.call("GET /metrics", "", &[], "").await;
    assert_eq!(metrics.body, "requests_total 3\n");
    let drain = bench.call("POST /v1/drain", "operate", &[], "").await;
    assert_eq!(drain.status, 202);
    let ready = bench.call("GET /readyz", "", &[], "").await;
    assert_eq!((ready.status, ready.body.as_str()), (503, "draining\n"));
    assert_eq!(bench.call("GET /healthz", "", &[], "").await.status, 200);
}

#[tokio::test]
async fn a_new_operators_key_works_until_it_is_removed() {
    let bench = Bench::new().await;
    let hash = KeyHash::of("fresh-key").to_string();
    let body = json!({"key_sha256": hash, "operator": "нов", "role": "edit"}).to_string();
    let id = ["gentiancleat-edit-id: k"];
    let made = bench
        .call("POST /v1/keys", "operate", &id, body.clone())
        .await;
    assert_eq!(made.status, 200, "{}", made.body);
    assert_eq!(
        bench
            .call("GET /v1/table", "fresh-key", &[], "")
            .await
            .status,
        200
    );
    let keys = bench.call("GET /v1/keys", "operate", &[], "").await.json();
    let listed = json!({"key_sha256": hash, "operator": "нов", "role": "edit", "revision": 2});
    assert!(keys["keys"].as_array().unwrap().contains(&listed), "{keys}");
    let headers = ["gentiancleat-edit-id: r", "if-match: \"2\""];
    let call = format!("DELETE /v1/keys/operators/{hash}");
    assert_eq!(bench.call(&call, "operate", &headers, "").await.status, 200);
    assert_eq!(
        bench
            .call("GET /v1/table", "fresh-key", &[], "")
            .await
            .status,
        401
    );
    let unclear = json!({"key_sha256": hash, "operator": "a", "customer": "b"}).to_string();
    let answer = bench.call("POST /v1/keys", "operate", &id, unclear).await;
    assert_eq!(answer.status, 400);
}

#[tokio::test]
async fn a_kind_is_declared_before_rows_use_it() {
    let bench = Bench::new().await;
    assert_eq!(bench.put_row("c/quote", "a", NEW, 1).await.status, 422);
    let headers = ["gentiancleat-edit-id: k", NEW];
    let kind = bench
        .call("PUT /v1/kinds/quote", "operate", &headers, "")
        .await;
    assert_eq!(kind.status, 200, "{}", kind.body);
    assert_eq!(bench.put_row("c/quote", "b", NEW, 1).await.status, 200);
    let kinds = bench.get("/v1/kinds").await.json();
    assert_eq!(kinds["kinds"][1]["kind"], "quote");
}

#[tokio::test]
async fn unknown_paths_methods_and_names_are_problem_documents() {
    let bench = Bench::new().await;
    let cases = [
        ("GET /", 404),
        ("GET /v1/nothing", 404),
        ("GET /v1/table/rows/c", 404),
        ("POST /v1/table", 405),
        ("GET /v1/drain", 405),
        ("GET /v1/table/rows/%FF/advice", 400),
        ("GET /v1/table/rows/%zz/advice", 400),
        ("GET /v1/table/rows/a%0Ab/advice", 400),
        ("GET /v1/table/rows/%3Dcmd()/advice", 400),
        ("GET /v1/table/rows//advice", 400),
        ("GET /v1/table?limit=many", 400),
        ("GET /v1/table?after=c", 400),
        ("GET /v1/instances", 503),
    ];
    for (call, status) in cases {
        let answer = bench.call(call, "read", &[], "").await;
        assert_eq!(answer.status, status, "{call}");
        assert_eq!(answer.header("content-type"), "application/problem+json");
        assert_eq!(answer.json()["status"], status);
        assert_eq!(answer.json()["outcome"], "not-run");
    }
    let unavailable = bench.get("/v1/instances").await;
    assert_eq!(unavailable.header("retry-after"), "2");
    assert_eq!(unavailable.json()["retry_after_ms"], 1_200);
}

#[tokio::test]
async fn malformed_bodies_change_nothing() {
    let bench = Bench::new().await;
    let deep = "[".repeat(10_000);
    let bodies = [
        "",
        "null",
        "[]",
        "{",
        "\u{feff}{}",
        &deep,
        r#"{"weight":1e400}"#,
        r#"{"weight":{"a":1},"unknown":true,"window":7,"models":[1]}"#,
        &row(1).replace("forge-7b", "a|b|b"),
    ];
    for body in bodies {
        let headers = ["gentiancleat-edit-id: a", NEW];
        let call = "PUT /v1/table/rows/c/advice";
        let answer = bench.call(call, "edit", &headers, body.to_owned()).await;
        assert!(
            matches!(answer.status, 400 | 422),
            "{body}: {}",
            answer.status
        );
    }
    assert_eq!(bench.get("/v1/table").await.json()["rows"], json!([]));
}

#[tokio::test]
async fn a_body_beyond_its_bound_is_refused() {
    let bench = Bench::new().await;
    let headers = ["gentiancleat-edit-id: a", NEW];
    let body = " ".repeat(admin::BODY_BYTES_MAX + 1);
    let call = "PUT /v1/table/rows/c/advice";
    let answer = bench.call(call, "edit", &headers, body).await;
    assert_eq!(answer.status, 413);
}

#[tokio::test]
async fn random_bytes_do_not_stop_the_interface() {
    let bench = Bench::new().await;
    let mut random = Gen::from_size_and_seed(400, 21);
    for round in 0..50 {
        let mut bytes: Vec<u8> = Vec::arbitrary(&mut random);
        if round % 2 == 0 {
            bytes.splice(0..0, *b"GET /v1/table HTTP/1.1\r\nhost: a\r\n");
        }
        let mut stream = TcpStream::connect(bench.admin.address()).await.unwrap();
        // The interface may close the connection while bytes are still sent.
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        let text = String::from_utf8_lossy(&answer);
        assert!(!text.starts_with("HTTP/1.1 2"), "{text}");
    }
    assert_eq!(bench.get("/v1/table").await.status, 200);
}

#[tokio::test]
async fn headers_beyond_their_bound_are_refused() {
    let bench = Bench::new().await;
    let mut stream = TcpStream::connect(bench.admin.address()).await.unwrap();
    let long = "x".repeat(100_000);
    let request = format!("GET /healthz HTTP/1.1\r\nhost: a\r\nx: {long}\r\n\r\n");
    let _ = stream.write_all(request.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    assert!(!answer.starts_with(b"HTTP/1.1 200"));
    assert_eq!(bench.call("GET /healthz", "", &[], "").await.status, 200);
}

/// Sends `bytes` and no more; gives the answer and the time until the connection closed.
async fn stall_after(bytes: &[u8]) -> (String, Duration) {
    let bench = Bench::new().await;
    let mut stream = TcpStream::connect(bench.admin.address()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let started = tokio::time::Instant::now();
    let mut answer = Vec::new();
    // The connection may end with a reset.
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8(answer).unwrap();
    (answer, started.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_client_that_sends_no_headers_is_cut_off() {
    let limit = Duration::from_millis(admin::HEADERS_TIMEOUT_MS);
    for bytes in ["", "GET /healthz HTTP/1.1\r\n"] {
        let (_, elapsed) = stall_after(bytes.as_bytes()).await;
        assert!(
            (limit..limit * 2).contains(&elapsed),
            "{bytes:?}: {elapsed:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_client_that_keeps_an_idle_connection_is_cut_off() {
    let limit = Duration::from_millis(admin::HEADERS_TIMEOUT_MS);
    let (answer, elapsed) = stall_after(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!((limit..limit * 2).contains(&elapsed), "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn a_client_that_sends_no_body_gets_a_timeout() {
    let request = "POST /v1/table/edits HTTP/1.1\r\nhost: a\r\nauthorization: Bearer edit\r\n\
                   gentiancleat-edit-id: a\r\ncontent-length: 9\r\n\r\n{";
    let (answer, elapsed) = stall_after(request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(elapsed >= Duration::from_millis(admin::REQUEST_BODY_TIMEOUT_MS));
}

#[tokio::test]
async fn a_planned_stop_of_the_interface_ends_and_frees_its_address() {
    let bench = Bench::new().await;
    assert_eq!(bench.get("/v1/status").await.status, 200);
    let address = bench.admin.address();
    bench.admin.shutdown().await;
    assert!(TcpStream::connect(address).await.is_err());
}
