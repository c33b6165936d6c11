//! Statistics of the capacity report.

use basilbay_load::capacity::Spread;

/// Guards against medians that depend on the order or the parity of the values.
#[test]
fn spread_median() {
    let odd = Spread::from_values([3.0, 1.0, 9.0]);
    assert_eq!((odd.low, odd.median, odd.high), (1.0, 3.0, 9.0));
    let even = Spread::from_values([4.0, 1.0, 2.0, 9.0]);
    assert_eq!(even.median, 3.0);
    assert_eq!(Spread::from_values([]), Spread::default());
}
