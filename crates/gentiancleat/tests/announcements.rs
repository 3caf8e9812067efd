//! Responses to malformed and oversized announcements.

mod common;

use common::{complete, eventually, start_engine, start_fleet};
use hyper::Method;
use soak::HttpClient;

const BODY_BYTES_MAX: usize = 1024 * 1024;
const ANNOUNCEMENTS_PATH: &str = "/v1/endpoints/engine-9/announcements";

#[tokio::test(flavor = "multi_thread")]
async fn malformed_announcements_are_rejected_and_the_instance_keeps_serving() {
    let fleet = start_fleet(1, &["quote"]).await;
    let address = fleet.instances[0].endpoint_address;
    let http = HttpClient::new("nobody");
    let oversized = format!("\"{}\"", "a".repeat(BODY_BYTES_MAX));
    let without_offer = r#"{"address":"127.0.0.1:1","incarnation":1,"sequence":1,"state":"ready","region":"r","data_centre":"d"}"#;
    let control_character = r#"{"address":"127.0.0.1:1","incarnation":1,"sequence":1,"state":"ready","region":"r\u0007","data_centre":"d","offer":{"service":{"name":"s","calls_max":1}}}"#;
    let cases = [
        (Method::GET, ANNOUNCEMENTS_PATH, "", 405),
        (Method::POST, "/v1/endpoints/engine-9", "{}", 404),
        (Method::POST, "/v1/endpoints//announcements", "{}", 400),
        (Method::POST, "/v1/endpoints/a%2Fb/announcements", "{}", 400),
        (Method::POST, ANNOUNCEMENTS_PATH, "", 400),
        (Method::POST, ANNOUNCEMENTS_PATH, "{", 400),
        (Method::POST, ANNOUNCEMENTS_PATH, "[1]", 400),
        (Method::POST, ANNOUNCEMENTS_PATH, without_offer, 400),
        (Method::POST, ANNOUNCEMENTS_PATH, control_character, 400),
        (Method::POST, ANNOUNCEMENTS_PATH, oversized.as_str(), 413),
    ];
    for (method, path, body, status) in cases {
        let response = http.send(method.clone(), address, path, &[], body).await;
        let body_start: String = body.chars().take(60).collect();
        assert_eq!(response.status, status, "{method} {path} {body_start}");
        assert!(response.body.contains("\"detail\""), "{}", response.body);
    }
    let valid = r#"{"address":"127.0.0.1:1","incarnation":1,"sequence":1,"state":"ready","region":"region-0","data_centre":"d","offer":{"service":{"name":"резервации","calls_max":1}}}"#;
    let path = "/v1/endpoints/%D0%B3%D1%80%D0%B8%D0%B2%D0%BD%D0%B0-1/announcements";
    eventually(
        "announcement of an endpoint with a Cyrillic name accepted",
        async || {
            let response = http.send(Method::POST, address, path, &[], valid).await;
            assert_ne!(response.status, 400, "{}", response.body);
            response.is_success()
        },
    )
    .await;
    let engine = start_engine("engine-1", 4, fleet.endpoint_addresses()).await;
    eventually("completion served", async || {
        complete(fleet.instances[0].client_address)
            .await
            .is_success()
    })
    .await;
    drop(engine);
}
