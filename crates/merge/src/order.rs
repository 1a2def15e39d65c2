//! The order of a ranking's rows: by measure, with ties broken by key.

use std::cmp::Ordering;

use crate::query::Order;
use crate::units::Units;

/// Compares two measures; the one that ranks first is `Less`.
pub(crate) fn compare_measures(order: Order, a: Units, b: Units) -> Ordering {
    match order {
        Order::Desc => b.cmp(&a),
        Order::Asc => a.cmp(&b),
    }
}

/// Compares two rows by measure, then by the bytes of their keys; the one that ranks first is `Less`.
pub(crate) fn compare_rows(order: Order, a: (Units, &str), b: (Units, &str)) -> Ordering {
    compare_measures(order, a.0, b.0).then_with(|| a.1.cmp(b.1))
}

/// Whether row `a` ranks strictly before row `b`.
pub(crate) fn ranks_before(order: Order, a: (Units, &str), b: (Units, &str)) -> bool {
    compare_rows(order, a, b) == Ordering::Less
}
