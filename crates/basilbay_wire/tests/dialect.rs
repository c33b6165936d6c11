//! What headers of targets mean, and which status a refusal has.

use basilbay_wire::dialect::{Dialect, Mapping, Sample};
use basilbay_wire::problem::{Cause, Problem};
use http::HeaderMap;

/// Guards against load figures that are read in part, or taken from a line that is none.
#[test]
fn readings() {
    let reading = |running, waiting, slots, slowdown_percent| Sample {
        running,
        waiting,
        slots,
        slowdown_percent,
    };
    assert_eq!(Sample::parse("3,0,8"), Some(reading(3, 0, 8, 100)));
    assert_eq!(Sample::parse(" 3, 1 ,8,500"), Some(reading(3, 1, 8, 500)));
    for line in ["", "3", "3,0", "a,0,8", "3,0,8,x", "-1,0,8"] {
        assert_eq!(Sample::parse(line), None, "{line}");
    }
    let dialect = Dialect::default();
    assert_eq!(dialect.load_sample(&HeaderMap::new()), None);
}

/// Guards against a status that promises "not run" for a request that may have run, and against
/// one that tells a caller not to come again though it may.
#[test]
fn promises() {
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
