//! Scraped text of the metrics.

use telemetry::{CUSTOMERS_MAX, Metrics};

#[test]
fn histograms_have_labels_for_customer_and_kind() {
    let metrics = Metrics::new().unwrap();
    metrics
        .class_metrics("Национален център", "syllabus")
        .record_time_to_first_token(250_000);
    let text = metrics.scrape().unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("time_to_first_token_seconds_sum"))
        .unwrap();
    assert!(line.contains("customer=\"Национален център\""), "{line}");
    assert!(line.contains("kind=\"syllabus\""), "{line}");
    assert!(line.ends_with(" 0.25"), "{line}");
}

#[test]
fn customers_above_the_maximum_share_one_series() {
    let metrics = Metrics::new().unwrap();
    for number in 0..CUSTOMERS_MAX + 20 {
        metrics
            .class_metrics(&format!("customer {number}"), "advice")
            .record_tokens(1);
    }
    let text = metrics.scrape().unwrap();
    let series = text
        .lines()
        .filter(|line| line.starts_with("tokens_total"))
        .count();
    assert_eq!(series, CUSTOMERS_MAX + 1);
    let other = text
        .lines()
        .find(|line| line.starts_with("tokens_total") && line.contains("customer=\"other\""))
        .unwrap();
    assert!(other.ends_with(" 20"), "{other}");
}

#[test]
fn reservation_requests_are_counted_by_outcome() {
    let metrics = Metrics::new().unwrap();
    let gateway_metrics = metrics.gateway_metrics();
    gateway_metrics.record_reservation("room");
    gateway_metrics.record_reservation("silent");
    gateway_metrics.record_reservation("room");
    let text = metrics.scrape().unwrap();
    let count = |outcome: &str| {
        let is_series = |line: &&str| {
            line.starts_with("reservations_total")
                && line.contains(&format!("outcome=\"{outcome}\""))
        };
        let line = text.lines().find(is_series).unwrap();
        line.rsplit(' ').next().unwrap().to_owned()
    };
    assert_eq!(
        (count("room").as_str(), count("silent").as_str()),
        ("2", "1")
    );
}

/// Guards against a long overlap of two endpoints that no figure shows.
#[test]
fn endpoint_switches_are_counted_by_their_overlap() {
    let metrics = Metrics::new().unwrap();
    let gateway_metrics = metrics.gateway_metrics();
    for overlap_ms in [20, 380, 900] {
        gateway_metrics.record_endpoint_switch(true, overlap_ms);
    }
    gateway_metrics.record_endpoint_switch(false, 900);
    let text = metrics.scrape().unwrap();
    let count_up_to = |bound: &str| {
        let is_series = |line: &&str| {
            line.starts_with("endpoint_switch_seconds_bucket")
                && line.contains("is_copied=\"true\"")
                && line.contains(&format!("le=\"{bound}\""))
        };
        let line = text.lines().find(is_series).unwrap();
        line.rsplit(' ').next().unwrap().to_owned()
    };
    assert_eq!(
        (count_up_to("0.4").as_str(), count_up_to("+Inf").as_str()),
        ("2", "3")
    );
}
