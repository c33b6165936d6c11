//! Tests of the fake configuration service and instance list.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_fakes::client::{request, send};
use basilbay_fakes::clock;
use basilbay_fakes::platform::fault::{Config, Faults, List};
use basilbay_fakes::platform::list::Entry;
use basilbay_fakes::platform::publish::publish;
use basilbay_fakes::platform::{Platform, Services, Settings};
use basilbay_model::roster::{Roster, State};
use hyper::{Method, StatusCode};

fn config_text(version: u64) -> String {
    format!("[basilbay]\nversion = {version}\n")
}

fn entry(id: &str) -> Entry {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    Entry {
        id: id.into(),
        service: "paydesk".into(),
        domain: "tt-north-1".into(),
        region: "".into(),
        peer: address,
        admin: address,
        listen: address,
        state: State::Live,
        listed_ago_ms: 0,
    }
}

async fn start() -> Platform {
    let settings = Settings {
        config: Some(config_text(1)),
        instances: vec![entry("a"), entry("b")],
        ..Settings::default()
    };
    Platform::start(settings)
        .await
        .expect("the platform starts")
}

async fn get(platform: &Platform, uri: &str) -> anyhow::Result<(StatusCode, String, String)> {
    let response = send(platform.address(), request(Method::GET, uri, "")).await?;
    let tag = response.headers().get("etag");
    let tag = tag
        .map_or("", |tag| tag.to_str().expect("a text header"))
        .to_owned();
    let body = String::from_utf8(response.body().to_vec())?;
    Ok((response.status(), tag, body))
}

async fn roster(platform: &Platform) -> Roster {
    let (_, _, body) = get(platform, "/instances").await.expect("a response");
    serde_json::from_str(&body).expect("a roster")
}

/// Guards against responses without the version as `ETag`, which readers compare.
#[tokio::test]
async fn config_etag() {
    let platform = start().await;
    let response = get(&platform, "/config").await.unwrap();
    assert_eq!(
        response,
        (StatusCode::OK, "\"1\"".to_owned(), config_text(1))
    );
}

/// Guards against watches that return late, or that return before there is a newer version.
#[tokio::test]
async fn watch_returns() {
    let platform = start().await;
    let (status, _, _) = get(&platform, "/config?after=1&wait_ms=50").await.unwrap();
    assert_eq!(status, StatusCode::NOT_MODIFIED);
    let start = Instant::now();
    let watch = get(&platform, "/config?after=1&wait_ms=5000");
    let publishing = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        publish(platform.address(), config_text(2)).await.unwrap()
    };
    let (response, version) = tokio::join!(watch, publishing);
    assert_eq!(response.unwrap().1, "\"2\"");
    assert_eq!(version, "2");
    assert!(start.elapsed() < Duration::from_secs(2));
    assert_eq!(platform.counts().calls("/config watch"), 2);
}

/// Guards against responses while the service is down, also to a watch that is already pending.
#[tokio::test]
async fn service_down() {
    let platform = start().await;
    let watch = get(&platform, "/config?after=1&wait_ms=5000");
    let down = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        platform.set_faults(Faults {
            config: Config {
                down: true,
                ..Config::default()
            },
            ..Faults::default()
        });
    };
    let (response, ()) = tokio::join!(watch, down);
    assert!(response.is_err());
    assert!(get(&platform, "/config").await.is_err());
    assert_eq!(
        get(&platform, "/instances").await.unwrap().0,
        StatusCode::OK
    );
}

/// Guards against a stale service that still serves the latest version.
#[tokio::test]
async fn stale_version() {
    let platform = start().await;
    platform.publish(&config_text(2)).unwrap();
    let faults = r#"{"config": {"stale_version": 1}}"#;
    let put = request(Method::PUT, "/fake/faults", faults);
    let response = send(platform.address(), put).await.unwrap();
    assert_eq!(response.status(), StatusCode::NO_CONTENT);
    assert_eq!(get(&platform, "/config").await.unwrap().1, "\"1\"");
    let (status, _, _) = get(&platform, "/config?after=1&wait_ms=10").await.unwrap();
    assert_eq!(status, StatusCode::NOT_MODIFIED);
}

/// Guards against timestamps that change when the list changes again.
#[tokio::test]
async fn list_timestamps() {
    let platform = start().await;
    let first = roster(&platform).await;
    tokio::time::sleep(Duration::from_millis(5)).await;
    platform.mark_leaving("a").unwrap();
    let second = roster(&platform).await;
    let leaving = second.instance("a").unwrap().clone();
    assert_eq!((first.version, second.version), (1, 2));
    assert_eq!(leaving.state, State::Leaving);
    assert_eq!(
        leaving.listed_at_ms,
        first.instance("a").unwrap().listed_at_ms
    );
    assert!(leaving.leaving_at_ms > Some(leaving.listed_at_ms));
    platform.remove("b").unwrap();
    assert!(roster(&platform).await.instance("b").is_none());
    assert!(platform.remove("b").is_err());
}

/// Guards against a lag that changes only `as_of_ms` and not the content.
#[tokio::test]
async fn lagging_list() {
    let platform = start().await;
    tokio::time::sleep(Duration::from_millis(5)).await;
    platform.remove("b").unwrap();
    platform.set_faults(Faults {
        instances: List {
            lag_ms: 60_000,
            ..List::default()
        },
        ..Faults::default()
    });
    let roster = roster(&platform).await;
    assert!(roster.as_of_ms <= clock::unix_ms() - 60_000);
    assert!(roster.instance("b").is_some());
}

/// Guards against a process that also serves the service it was not started for.
#[tokio::test]
async fn single_service() {
    let settings = Settings {
        services: Services::List,
        ..Settings::default()
    };
    let platform = Platform::start(settings).await.unwrap();
    let (status, _, _) = get(&platform, "/config").await.unwrap();
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert_eq!(roster(&platform).await.version, 1);
}

/// Guards against a fake that outlives its handle, or that other machines can reach.
#[tokio::test]
async fn stop_and_loopback() {
    let platform = start().await;
    let address = platform.address();
    drop(platform);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(
        send(address, request(Method::GET, "/config", ""))
            .await
            .is_err()
    );
    let settings = Settings {
        listen: SocketAddr::from(([0, 0, 0, 0], 0)),
        ..Settings::default()
    };
    assert!(Platform::start(settings).await.is_err());
}

/// Guards against sending the full list with every poll, and against a response without instances
/// to a reader that has another version.
#[tokio::test]
async fn conditional_list() {
    let platform = start().await;
    let full = roster(&platform).await;
    let have = full.version;
    let uri = format!("/instances?have={have}");
    tokio::time::sleep(Duration::from_millis(5)).await;
    let (status, _, body) = get(&platform, &uri).await.expect("a response");
    let unchanged: Roster = serde_json::from_str(&body).expect("a roster");
    assert_eq!(status, StatusCode::OK);
    assert_eq!(unchanged.version, have);
    assert!(unchanged.instances.is_empty());
    assert!(unchanged.as_of_ms > full.as_of_ms);
    for other in [have - 1, have + 1] {
        let uri = format!("/instances?have={other}");
        let (_, _, body) = get(&platform, &uri).await.expect("a response");
        let changed: Roster = serde_json::from_str(&body).expect("a roster");
        assert_eq!(changed.instances, full.instances);
    }
}
