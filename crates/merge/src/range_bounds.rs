//! Bounds of the measures of a range that is missing from an answer.

use crate::query::Order;
use crate::units::Units;
use crate::value::Remainder;

/// What an earlier answer tells of the measures of a range, at the last version known of its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RangeBounds {
    /// Nothing is known: the range may hold any row.
    Unknown,
    /// It has no rows.
    Empty,
    /// The least and the greatest measure that its rows can have; `None` where unbounded on that side.
    Within(Option<Units>, Option<Units>),
}

impl RangeBounds {
    /// The bounds of all rows of a range, from the measures of a value's first and last row and the remainder's.
    pub fn of_ranking(
        first_and_last: Option<(Units, Units)>,
        rest: Option<&Remainder>,
        order: Order,
    ) -> Self {
        let Some((first, last)) = first_and_last else {
            return if rest.is_none() { Self::Empty } else { Self::Unknown };
        };
        match order {
            Order::Desc => Self::Within(rest.map_or(Some(last), |r| r.min), Some(first)),
            Order::Asc => Self::Within(Some(first), rest.map_or(Some(last), |r| r.max)),
        }
    }
}
