//! Parsing of load headers, and the status codes of both mappings.

use basilbay_wire::dialect::{Dialect, Mapping, Sample};
use basilbay_wire::problem::{Cause, Problem};
use http::HeaderMap;

/// Guards against a malformed load header that is accepted, even in part.
#[test]
fn load_header() {
    let sample = |running, waiting, slots, slowdown_percent| Sample {
        running,
        waiting,
        slots,
        slowdown_percent,
    };
    assert_eq!(Sample::parse("3,0,8"), Some(sample(3, 0, 8, 100)));
    assert_eq!(Sample::parse(" 3, 1 ,8,500"), Some(sample(3, 1, 8, 500)));
    for line in ["", "3", "3,0", "a,0,8", "3,0,8,x", "-1,0,8"] {
        assert_eq!(Sample::parse(line), None, "{line}");
    }
    let dialect = Dialect::default();
    assert_eq!(dialect.load_sample(&HeaderMap::new()), None);
}

/// Guards against a "not run" status for a request that may have run, and against a status that
/// forbids a retry which would be safe.
#[test]
fn outcome_statuses() {
    let dialect = Dialect {
        status_mapping: Mapping::Outcome,
        ..Dialect::default()
    };
    for cause in Cause::ALL {
        let unknown = dialect.status(&Problem::unknown(cause, "x")).as_u16();
        assert!(matches!(unknown, 502 | 504), "{cause:?}: {unknown}");
        let not_run = dialect.status(&Problem::not_run(cause, "x")).as_u16();
        assert!(
            matches!(not_run, 400 | 404 | 408 | 413 | 431 | 503),
            "{cause:?}: {not_run}"
        );
    }
    let full = Problem::not_run(Cause::NoCapacity, "x");
    assert_eq!(dialect.status(&full).as_u16(), 503);
    let late = Problem::not_run(Cause::DeadlinePassed, "x");
    assert_eq!(dialect.status(&late).as_u16(), 503);
    assert_eq!(Dialect::default().status(&late).as_u16(), 504);
}
