//! Rosters and keys for tests.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use basilbay_keys::key::Key;
use basilbay_model::roster::{Instance, Roster, State, Timestamp};

pub(crate) const SERVICE: &str = "paydesk";
pub(crate) const RETENTION: Duration = Duration::from_secs(20);

pub(crate) fn instance(id: &str, listed: Timestamp) -> Instance {
    let address = ([127, 0, 0, 1], 1).into();
    Instance {
        id: Arc::from(id),
        service: Arc::from(SERVICE),
        domain: Arc::from("tt-north-1"),
        region: Arc::from("tt"),
        peer: address,
        admin: address,
        listen: address,
        state: State::Live,
        target: None,
        started_at_ms: None,
        slots: None,
        listed_at_ms: listed,
        leaving_at_ms: None,
    }
}

pub(crate) fn roster(version: u64, as_of: Timestamp, instances: &[Instance]) -> Roster {
    let mut roster = Roster {
        version,
        as_of_ms: as_of,
        instances: instances.to_vec(),
    };
    roster.sort();
    roster
}

/// A `UUIDv7` issued at the given time, or an opaque key if there is none.
pub(crate) fn key(issued: Option<Timestamp>, number: u64) -> Key {
    let text = match issued {
        Some(at) => format!(
            "{:08x}-{:04x}-7000-8000-{number:012x}",
            at >> 16,
            at & 0xffff
        ),
        None => format!("order-{number}"),
    };
    let wall = UNIX_EPOCH + Duration::from_millis(issued.unwrap_or(0));
    Key::parse(&text, wall).expect("a valid key")
}
