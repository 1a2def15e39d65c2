//! The parts of a header whose keys differ from the names of the code (`docs/merge-format.md`).

use serde::Deserialize;

use super::header::Remainder;
use crate::units::Units;

/// A [`Remainder`] by its keys.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rest {
    #[serde(default)]
    rows: Option<u64>,
    #[serde(default)]
    most: Option<Units>,
    #[serde(default)]
    least: Option<Units>,
}

impl From<Rest> for Remainder {
    fn from(rest: Rest) -> Self {
        Self { rows: rest.rows, max: rest.most, min: rest.least }
    }
}
