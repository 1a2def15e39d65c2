use super::*;
use crate::units::Units;
use crate::value::Value;

fn header(range: Range, version: Version, sum: i128) -> Header {
    let total = format!(r#"{{"rows":2,"sum":{sum},"min":{0},"max":{0}}}"#, sum / 2);
    let text = format!(
        r#"{{"v":1,"range":{range},"version":{version},"until":{version},"scale":2,"total":{total}}}"#
    );
    Value::read(&text).unwrap().header
}

/// A hedged, repeated or late value of a range must not be added again or mix two versions of the range, whichever of
/// the two values arrives first.
#[test]
fn only_the_first_total_of_a_range_is_added() {
    for (first, second) in [((5, 100), (5, 100)), ((5, 100), (6, 120)), ((6, 120), (5, 100))] {
        let mut aggregator = Aggregator::default();
        assert!(aggregator.add(&header(3, first.0, first.1)).unwrap());
        assert!(!aggregator.add(&header(3, second.0, second.1)).unwrap());
        assert!(aggregator.add(&header(4, 1, 10)).unwrap());
        assert_eq!(aggregator.total().unwrap().sum, Units(first.1 + 10));
        assert_eq!(aggregator.ranges()[&3].0, first.0);
    }
}
