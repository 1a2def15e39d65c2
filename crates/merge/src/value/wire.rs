//! Parts of a header whose JSON keys differ from the field names in the code (`docs/merge-format.md`).

use serde::Deserialize;

use super::header::Remainder;
use crate::units::Units;

/// The JSON form of a [`Remainder`].
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
