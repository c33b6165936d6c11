//! Parsing of what a target states about itself in the head of a response.

use basilbay_wire::dialect::Dialect;
use basilbay_wire::notice::{Notice, RateLimit};
use http::HeaderMap;

fn notice(pairs: &[(&'static str, &str)]) -> Notice {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(*name, value.parse().expect("a header value"));
    }
    Dialect::default().notice(&headers)
}

/// Guards against a malformed rate that is taken for a limit or for none.
#[test]
fn rate_parsed() {
    let rate = |value| notice(&[("basilbay-rate-limit", value)]).rate_limit;
    assert_eq!(rate("9.6"), RateLimit::Stated(9.6));
    assert_eq!(rate(" 12 "), RateLimit::Stated(12.0));
    assert_eq!(rate("0"), RateLimit::Stated(0.0));
    for value in ["", "many", "-1", "nan", "inf", "1,5", "9.6/s"] {
        assert_eq!(rate(value), RateLimit::Malformed, "{value}");
    }
    assert_eq!(notice(&[]).rate_limit, RateLimit::Absent);
}

/// Guards against a leaving target that is not recognized, and against one that says it stays.
#[test]
fn leaving_parsed() {
    let is_leaving = |value| notice(&[("basilbay-leaving", value)]).is_leaving;
    assert!(is_leaving("1"));
    assert!(!is_leaving("0"));
    assert!(!notice(&[("basilbay-rate-limit", "1")]).is_leaving);
}
