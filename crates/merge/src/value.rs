//! The value that a range returns: a header line of JSON, then a JSON array for each row, each on a line of its own
//! (`docs/merge-format.md`). Rows are parsed one by one on demand.

mod check;
mod header;
mod row;
#[cfg(test)]
mod tests;
mod wire;

pub use check::{check, CheckedValue, Expected};
pub use header::{Header, Remainder, TooLarge, Total};
pub use row::{Entry, Group, Row, RowKey};

use crate::error::{malformed, InvalidValue};
use crate::query::FORMAT_VERSION;
use crate::units::MAX_SCALE;

/// The longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// A value whose header is read; its rows are read on demand.
#[derive(Debug, Clone)]
pub struct Value<'a> {
    /// The first line.
    pub header: Header,
    rows: &'a str,
}

impl<'a> Value<'a> {
    /// Reads the header.
    ///
    /// # Errors
    /// It is not in the form.
    pub fn read(text: &'a str) -> Result<Self, InvalidValue> {
        let (line, rows) = text.split_once('\n').unwrap_or((text, ""));
        let header: Header = serde_json::from_str(line).map_err(malformed)?;
        if header.v != FORMAT_VERSION {
            return Err(malformed(format_args!("form {} is not known, this is {FORMAT_VERSION}", header.v)));
        }
        if header.scale > MAX_SCALE {
            return Err(malformed("the scale is beyond 18"));
        }
        Ok(Self { header, rows })
    }

    /// Its rows, one by one.
    pub fn rows<R: Row<'a> + 'a>(&self) -> impl Iterator<Item = Result<R, InvalidValue>> + 'a {
        let rows = serde_json::Deserializer::from_str(self.rows).into_iter::<R>();
        rows.map(|r| r.map_err(malformed))
    }
}
