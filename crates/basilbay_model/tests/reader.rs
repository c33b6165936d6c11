//! Reading of a settings file through `Document` and `Reader`.

use std::net::SocketAddr;
use std::time::Duration;

use basilbay_model::finding::Report;
use basilbay_model::ini::{Document, Reader};

const SETTINGS: &str = "\
[daemon]
listen = 127.0.0.1:7001 # callers
peer = 127.0.0.1:x
tags = a  b
tick_ms = 50
verbose = maybe
empty =
";

/// Guards against values that are parsed wrongly, and mistakes that are not reported exactly once.
#[test]
fn typed_values() {
    let mut report = Report::default();
    let document = Document::parse("daemon.ini", SETTINGS, &mut report);
    document.check_sections(&["daemon", "platform"], &[], &mut report);
    let section = document.required_section("daemon", &mut report).unwrap();
    let mut reader = Reader::new(&document, section, &mut report);
    let listen = reader.required::<SocketAddr>("listen").unwrap();
    assert_eq!(listen.port(), 7001);
    assert_eq!(reader.required::<SocketAddr>("peer"), None);
    assert_eq!(reader.optional::<SocketAddr>("metrics"), None);
    assert_eq!(reader.words("tags").len(), 2);
    let default = Duration::from_secs(1);
    assert_eq!(reader.millis("tick_ms", default), Duration::from_millis(50));
    assert_eq!(
        reader.bounded_millis("tick_ms", default, 100..=200),
        default
    );
    assert_eq!(reader.bounded("workers", 4_u8, 1..=8), 4);
    assert_eq!(reader.required_bounded("cores", 1_u8..=8), None);
    assert!(!reader.flag("verbose", false));
    assert_eq!(&*reader.required_text("empty"), "");
    assert!(reader.has("empty"));
    reader.finish();
    let absent = document.required_section("platform", &mut report);
    assert!(absent.is_none());
    report.sort();
    insta::assert_snapshot!(report.to_string());
}

/// Guards against invalid UTF-8 that yields an empty document without a finding.
#[test]
fn invalid_utf8() {
    let mut report = Report::default();
    let document = Document::parse_bytes("daemon.ini", b"[a]\n\n\xc3(", &mut report);
    assert!(document.sections.is_empty());
    assert_eq!(report.to_string(), "daemon.ini:3: not UTF-8 (encoding)\n");
}
