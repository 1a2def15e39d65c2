//! Bounds of the measures of a range that is missing from an answer.

use crate::query::Order;
use crate::units::Units;
use crate::value::Remainder;

/// Bounds of the measures of a range's rows, derived from an earlier answer at the last known version of its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RangeBounds {
    /// No bounds are known: the range may contain any rows.
    Unknown,
    /// The range has no rows.
    Empty,
    /// Lower and upper bound of the measures; `None` if unbounded on that side.
    Within(Option<Units>, Option<Units>),
}

impl RangeBounds {
    /// Bounds all rows of a range by the measures of the first and last row of a ranking's value and by its remainder.
    pub fn of_ranking(
        first_and_last: Option<(Units, Units)>,
        remainder: Option<&Remainder>,
        order: Order,
    ) -> Self {
        let Some((first, last)) = first_and_last else {
            return if remainder.is_none() { Self::Empty } else { Self::Unknown };
        };
        match order {
            Order::Desc => Self::Within(remainder.map_or(Some(last), |r| r.min), Some(first)),
            Order::Asc => Self::Within(Some(first), remainder.map_or(Some(last), |r| r.max)),
        }
    }
}
