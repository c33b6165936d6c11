//! Instances that no daemon can use.

use basilbay_model::roster::{Instance, MAX_NAME_BYTES, State};

fn instance() -> Instance {
    let address = "127.0.0.1:7000".parse().expect("an address");
    Instance {
        id: "desk-1".into(),
        service: "desk".into(),
        domain: "north".into(),
        region: "".into(),
        peer: address,
        admin: address,
        listen: address,
        state: State::Live,
        target: Some("run-1".into()),
        started_at_ms: Some(u64::MAX),
        slots: Some(u32::MAX),
        listed_at_ms: u64::MAX,
        leaving_at_ms: None,
    }
}

/// Guards against rejecting instances that can be used.
#[test]
fn usable_instance() {
    assert_eq!(instance().defect(), None);
    let longest = "x".repeat(MAX_NAME_BYTES);
    let service = Instance {
        service: longest.as_str().into(),
        ..instance()
    };
    assert_eq!(service.defect(), None);
}

/// Guards against names that are too long for the messages between daemons, or that garble logs.
#[test]
fn unusable_names() {
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    for name in ["", "a\u{0}", "a\nb", "\u{1b}[2J", &long] {
        let with = |change: fn(&mut Instance, &str)| {
            let mut instance = instance();
            change(&mut instance, name);
            instance
        };
        let changes: [fn(&mut Instance, &str); 4] = [
            |it, name| it.id = name.into(),
            |it, name| it.service = name.into(),
            |it, name| it.domain = name.into(),
            |it, name| it.target = Some(name.into()),
        ];
        for change in changes {
            assert!(with(change).defect().is_some(), "{name:?}");
        }
    }
}

/// Guards against contacting addresses that are those of no host or of many.
#[test]
fn unusable_addresses() {
    for address in [
        "127.0.0.1:0",
        "0.0.0.0:80",
        "224.0.0.1:80",
        "255.255.255.255:80",
        "[::]:80",
        "[ff02::1]:80",
    ] {
        let mut instance = instance();
        instance.peer = address.parse().expect("an address");
        assert!(instance.defect().is_some(), "{address}");
    }
}
