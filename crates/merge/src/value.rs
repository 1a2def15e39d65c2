//! The value that a range returns: a line with a JSON header, followed by a line with a JSON array for each row
//! (`docs/merge-format.md`). Rows are parsed one at a time on demand.

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

/// Maximum length of a row's key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// A value with a parsed header; rows are parsed on demand.
#[derive(Debug, Clone)]
pub struct Value<'a> {
    /// The parsed first line.
    pub header: Header,
    rows: &'a str,
}

impl<'a> Value<'a> {
    /// Parses the header.
    ///
    /// # Errors
    /// The header is malformed, or has an unsupported format version or scale.
    pub fn read(text: &'a str) -> Result<Self, InvalidValue> {
        let (line, rows) = text.split_once('\n').unwrap_or((text, ""));
        let header: Header = serde_json::from_str(line).map_err(malformed)?;
        if header.format_version != FORMAT_VERSION {
            return Err(malformed(format_args!(
                "form {} is not known, this is {FORMAT_VERSION}",
                header.format_version
            )));
        }
        if header.scale > MAX_SCALE {
            return Err(malformed("the scale is beyond 18"));
        }
        Ok(Self { header, rows })
    }

    /// Parses the rows one at a time.
    pub fn rows<R: Row<'a> + 'a>(&self) -> impl Iterator<Item = Result<R, InvalidValue>> + 'a {
        let rows = serde_json::Deserializer::from_str(self.rows).into_iter::<R>();
        rows.map(|row| row.map_err(malformed))
    }
}
