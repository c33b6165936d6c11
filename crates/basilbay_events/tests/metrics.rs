//! Compares the metrics page with the metrics in the code, and receives StatsD datagrams.

use std::net::UdpSocket;
use std::time::Duration;

use basilbay_events::metrics::{self, Metrics, PREFIX};

/// Guards against a metrics page that lacks a metric, describes it differently, or lists a removed
/// one.
#[test]
fn page_complete() {
    let page = include_str!("../../../docs/metrics.md");
    let listed: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let rows: Vec<String> = metrics::ALL
        .iter()
        .map(|metric| {
            let kind = format!("{:?}", metric.kind).to_lowercase();
            format!(
                "| `{PREFIX}.{}` | {kind} | {} |",
                metric.name, metric.meaning
            )
        })
        .collect();
    assert_eq!(listed, rows, "expected rows:\n{}", rows.join("\n"));
}

/// Guards against metrics that are recorded but never sent.
#[test]
fn datagrams_arrive() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let metrics = Metrics::new(Some(socket.local_addr().unwrap()), false).unwrap();
    for _ in 0..100 {
        metrics.count(metrics::CALLS_ANSWERED, 3);
    }
    let mut buffer = [0; 2048];
    let length = socket.recv(&mut buffer).unwrap();
    let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
    assert!(text.contains("basilbay.calls.answered:3|c"), "{text}");
}
