//! Versions of a platform that comes back from an older copy.

use basilbay_model::config::range;
use basilbay_model::version::{MAX_ERA, MAX_REVISION, compose, era};

/// Guards against a change of a later era that counts as older than one before the restoration,
/// because revisions are given out again.
#[test]
fn era_first() {
    assert_eq!(compose(0, 19), 19);
    assert!(compose(2, 1) > compose(1, MAX_REVISION));
    assert!(compose(1, 20) > compose(1, 19));
    assert_eq!(era(compose(3, 19)), 3);
    assert_eq!(era(19), 0);
}

/// Guards against a version that a configuration file cannot state.
#[test]
fn within_range() {
    let last = compose(MAX_ERA, MAX_REVISION);
    assert!(range::VERSION.contains(&last));
    assert_eq!(compose(u16::MAX, u64::MAX), last);
}
