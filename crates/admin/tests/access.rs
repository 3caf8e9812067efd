//! Authorisation by keys and roles, malformed requests, and limits on size and time.

mod common;

use std::time::Duration;

use common::{IF_NONE_MATCH_ANY, TestServer, row_json};
use quickcheck::{Arbitrary, Gen};
use serde_json::json;
use table::KeyHash;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Routes, each with the position of its required role in `read`, `edit`, `operate`.
const ROUTES_WITH_ROLE: [(&str, u8); 18] = [
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
async fn every_route_requires_a_key_with_its_role() {
    let server = TestServer::new().await;
    for (method_and_path, required_role) in ROUTES_WITH_ROLE {
        // An invalid hash would be rejected before the role is checked.
        let method_and_path = method_and_path.replace("/00", &format!("/{}", "0".repeat(64)));
        for (role, key) in ["read", "edit", "operate"].into_iter().enumerate() {
            let status = server.send(&method_and_path, key, &[], "").await.status;
            let is_refused = role < usize::from(required_role);
            assert_eq!(
                status == 403,
                is_refused,
                "{method_and_path} as {key}: {status}"
            );
        }
        for key in ["", "unknown", "Read", &"k".repeat(5_000)] {
            let response = server.send(&method_and_path, key, &[], "").await;
            assert_eq!(response.status, 401, "{method_and_path}");
            assert_eq!(response.header("www-authenticate"), "Bearer");
        }
    }
}

#[tokio::test]
async fn health_readiness_and_metrics_require_no_key() {
    let server = TestServer::new().await;
    assert_eq!(server.send("GET /healthz", "", &[], "").await.status, 200);
    assert_eq!(server.send("GET /readyz", "", &[], "").await.status, 200);
    let metrics = server.send("GET /metrics", "", &[], "").await;
    assert_eq!(metrics.body, "requests_total 3\n");
    let drain = server.send("POST /v1/drain", "operate", &[], "").await;
    assert_eq!(drain.status, 202);
    let ready = server.send("GET /readyz", "", &[], "").await;
    assert_eq!((ready.status, ready.body.as_str()), (503, "draining\n"));
    assert_eq!(server.send("GET /healthz", "", &[], "").await.status, 200);
}

#[tokio::test]
async fn a_new_operator_key_is_valid_until_it_is_deleted() {
    let server = TestServer::new().await;
    let hash = KeyHash::of("fresh-key").to_string();
    let body = json!({"key_sha256": hash, "operator": "нов", "role": "edit"}).to_string();
    let edit_id_header = ["gentiancleat-edit-id: k"];
    let created = server
        .send("POST /v1/keys", "operate", &edit_id_header, body.clone())
        .await;
    assert_eq!(created.status, 200, "{}", created.body);
    assert_eq!(
        server
            .send("GET /v1/table", "fresh-key", &[], "")
            .await
            .status,
        200
    );
    let keys = server.send("GET /v1/keys", "operate", &[], "").await.json();
    let listed = json!({"key_sha256": hash, "operator": "нов", "role": "edit", "revision": 2});
    assert!(keys["keys"].as_array().unwrap().contains(&listed), "{keys}");
    let headers = ["gentiancleat-edit-id: r", "if-match: \"2\""];
    let method_and_path = format!("DELETE /v1/keys/operators/{hash}");
    assert_eq!(
        server
            .send(&method_and_path, "operate", &headers, "")
            .await
            .status,
        200
    );
    assert_eq!(
        server
            .send("GET /v1/table", "fresh-key", &[], "")
            .await
            .status,
        401
    );
    let ambiguous_owner = json!({"key_sha256": hash, "operator": "a", "customer": "b"}).to_string();
    let response = server
        .send("POST /v1/keys", "operate", &edit_id_header, ambiguous_owner)
        .await;
    assert_eq!(response.status, 400);
}

#[tokio::test]
async fn rows_of_an_undeclared_kind_are_refused() {
    let server = TestServer::new().await;
    assert_eq!(
        server
            .put_row("c/quote", "a", IF_NONE_MATCH_ANY, 1)
            .await
            .status,
        422
    );
    let headers = ["gentiancleat-edit-id: k", IF_NONE_MATCH_ANY];
    let kind = server
        .send("PUT /v1/kinds/quote", "operate", &headers, "")
        .await;
    assert_eq!(kind.status, 200, "{}", kind.body);
    assert_eq!(
        server
            .put_row("c/quote", "b", IF_NONE_MATCH_ANY, 1)
            .await
            .status,
        200
    );
    let kinds = server.get("/v1/kinds").await.json();
    assert_eq!(kinds["kinds"][1]["kind"], "quote");
}

#[tokio::test]
async fn invalid_paths_methods_and_names_return_problem_documents() {
    let server = TestServer::new().await;
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
    for (method_and_path, status) in cases {
        let response = server.send(method_and_path, "read", &[], "").await;
        assert_eq!(response.status, status, "{method_and_path}");
        assert_eq!(response.header("content-type"), "application/problem+json");
        assert_eq!(response.json()["status"], status);
        assert_eq!(response.json()["outcome"], "not-run");
    }
    let unavailable = server.get("/v1/instances").await;
    assert_eq!(unavailable.header("retry-after"), "2");
    assert_eq!(unavailable.json()["retry_after_ms"], 1_200);
}

#[tokio::test]
async fn malformed_bodies_are_refused_and_change_nothing() {
    let server = TestServer::new().await;
    let deeply_nested = "[".repeat(10_000);
    let bodies = [
        "",
        "null",
        "[]",
        "{",
        "\u{feff}{}",
        &deeply_nested,
        r#"{"weight":1e400}"#,
        r#"{"weight":{"a":1},"unknown":true,"window":7,"models":[1]}"#,
        &row_json(1).replace("forge-7b", "a|b|b"),
    ];
    for body in bodies {
        let headers = ["gentiancleat-edit-id: a", IF_NONE_MATCH_ANY];
        let method_and_path = "PUT /v1/table/rows/c/advice";
        let response = server
            .send(method_and_path, "edit", &headers, body.to_owned())
            .await;
        assert!(
            matches!(response.status, 400 | 422),
            "{body}: {}",
            response.status
        );
    }
    assert_eq!(server.get("/v1/table").await.json()["rows"], json!([]));
}

#[tokio::test]
async fn a_body_above_the_maximum_length_is_refused() {
    let server = TestServer::new().await;
    let headers = ["gentiancleat-edit-id: a", IF_NONE_MATCH_ANY];
    let body = " ".repeat(admin::BODY_BYTES_MAX + 1);
    let method_and_path = "PUT /v1/table/rows/c/advice";
    let response = server.send(method_and_path, "edit", &headers, body).await;
    assert_eq!(response.status, 413);
}

#[tokio::test]
async fn the_server_keeps_running_after_random_bytes() {
    let server = TestServer::new().await;
    let mut random = Gen::from_size_and_seed(400, 21);
    for round in 0..50 {
        let mut bytes: Vec<u8> = Vec::arbitrary(&mut random);
        if round % 2 == 0 {
            bytes.splice(0..0, *b"GET /v1/table HTTP/1.1\r\nhost: a\r\n");
        }
        let mut stream = TcpStream::connect(server.admin.address()).await.unwrap();
        // The server may close the connection before all bytes are sent.
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response).await;
        let text = String::from_utf8_lossy(&response);
        assert!(!text.starts_with("HTTP/1.1 2"), "{text}");
    }
    assert_eq!(server.get("/v1/table").await.status, 200);
}

#[tokio::test]
async fn headers_above_the_maximum_length_are_refused() {
    let server = TestServer::new().await;
    let mut stream = TcpStream::connect(server.admin.address()).await.unwrap();
    let long_value = "x".repeat(100_000);
    let request = format!("GET /healthz HTTP/1.1\r\nhost: a\r\nx: {long_value}\r\n\r\n");
    let _ = stream.write_all(request.as_bytes()).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    assert!(!response.starts_with(b"HTTP/1.1 200"));
    assert_eq!(server.send("GET /healthz", "", &[], "").await.status, 200);
}

/// Sends only `bytes`; returns the response and the time until the server closes the connection.
async fn response_after_stall(bytes: &[u8]) -> (String, Duration) {
    let server = TestServer::new().await;
    let mut stream = TcpStream::connect(server.admin.address()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let started = tokio::time::Instant::now();
    let mut response = Vec::new();
    // The server may reset the connection.
    let _ = stream.read_to_end(&mut response).await;
    let response = String::from_utf8(response).unwrap();
    (response, started.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_connection_without_complete_headers_is_closed() {
    let time_limit = Duration::from_millis(admin::HEADERS_TIMEOUT_MS);
    for bytes in ["", "GET /healthz HTTP/1.1\r\n"] {
        let (_, elapsed) = response_after_stall(bytes.as_bytes()).await;
        assert!(
            (time_limit..time_limit * 2).contains(&elapsed),
            "{bytes:?}: {elapsed:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_closed() {
    let time_limit = Duration::from_millis(admin::HEADERS_TIMEOUT_MS);
    let (response, elapsed) =
        response_after_stall(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(
        (time_limit..time_limit * 2).contains(&elapsed),
        "{elapsed:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_request_without_its_complete_body_gets_status_408() {
    let request = "POST /v1/table/edits HTTP/1.1\r\nhost: a\r\nauthorization: Bearer edit\r\n\
                   gentiancleat-edit-id: a\r\ncontent-length: 9\r\n\r\n{";
    let (response, elapsed) = response_after_stall(request.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(elapsed >= Duration::from_millis(admin::REQUEST_BODY_TIMEOUT_MS));
}

#[tokio::test]
async fn shutdown_ends_and_releases_the_address() {
    let server = TestServer::new().await;
    assert_eq!(server.get("/v1/status").await.status, 200);
    let address = server.admin.address();
    server.admin.shutdown().await;
    assert!(TcpStream::connect(address).await.is_err());
}
