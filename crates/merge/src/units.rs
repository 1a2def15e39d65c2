//! Exact decimal numbers, as integers with a scale instead of floats.

use std::borrow::Cow;
use std::fmt;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer};

/// Largest supported scale, in decimals.
pub const MAX_SCALE: u8 = 18;

/// A number in units of 10^-scale; the scale is stored separately, once for each measure. In values it is a JSON
/// integer, or a string of decimal digits if it does not fit 64 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Units(pub i128);

/// A sum or product does not fit 128 bits, or a row count 64 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overflow;

impl fmt::Display for Overflow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sum does not fit 128 bits")
    }
}

impl std::error::Error for Overflow {}

impl Units {
    /// Adds two numbers of the same scale.
    ///
    /// # Errors
    /// The sum does not fit 128 bits.
    pub fn plus(self, other: Self) -> Result<Self, Overflow> {
        self.0.checked_add(other.0).map(Self).ok_or(Overflow)
    }

    /// Subtracts a number of the same scale.
    ///
    /// # Errors
    /// The difference does not fit 128 bits.
    pub fn minus(self, other: Self) -> Result<Self, Overflow> {
        self.0.checked_sub(other.0).map(Self).ok_or(Overflow)
    }

    /// Multiplies by a count.
    ///
    /// # Errors
    /// The product does not fit 128 bits.
    pub fn times(self, n: u64) -> Result<Self, Overflow> {
        self.0.checked_mul(i128::from(n)).map(Self).ok_or(Overflow)
    }

    /// Formats as a decimal with `scale` digits after the point: 1250 with scale 2 is `12.50`.
    pub fn decimal(self, scale: u8) -> String {
        let scale = usize::from(scale.min(MAX_SCALE));
        let digits = format!("{:0>width$}", self.0.unsigned_abs(), width = scale + 1);
        let (integer, fraction) = digits.split_at(digits.len() - scale);
        let sign = if self.0 < 0 { "-" } else { "" };
        match fraction {
            "" => format!("{sign}{integer}"),
            fraction => format!("{sign}{integer}.{fraction}"),
        }
    }

    /// Parses the format of [`Units::decimal`], with exactly `scale` digits after the point; `None` if malformed.
    pub fn parse(text: &str, scale: u8) -> Option<Self> {
        let (integer, fraction) = text.split_once('.').unwrap_or((text, ""));
        if fraction.len() != usize::from(scale) || !fraction.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        let digits = integer.strip_prefix('-').unwrap_or(integer);
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) || text.ends_with('.') {
            return None;
        }
        format!("{integer}{fraction}").parse().ok().map(Self)
    }

    /// The mean of a sum over `count` rows, rounded half to even, and whether it is exact; `None` for 0 rows.
    pub fn mean(self, count: u64) -> Option<(Self, bool)> {
        if count == 0 {
            return None;
        }
        let n = i128::from(count);
        let (quotient, remainder) = (self.0.div_euclid(n), self.0.rem_euclid(n));
        let round_up = match (remainder * 2).cmp(&n) {
            std::cmp::Ordering::Greater => 1,
            std::cmp::Ordering::Equal => quotient & 1,
            std::cmp::Ordering::Less => 0,
        };
        Some((Self(quotient + round_up), remainder == 0))
    }
}

struct UnitsVisitor;

impl Visitor<'_> for UnitsVisitor {
    type Value = Units;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a whole number, or its digits as a string")
    }

    fn visit_i64<E: de::Error>(self, n: i64) -> Result<Units, E> {
        Ok(Units(n.into()))
    }

    fn visit_u64<E: de::Error>(self, n: u64) -> Result<Units, E> {
        Ok(Units(n.into()))
    }

    fn visit_i128<E: de::Error>(self, n: i128) -> Result<Units, E> {
        Ok(Units(n))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Units, E> {
        let digits = text.strip_prefix('-').unwrap_or(text);
        let is_integer = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
        let parsed = if is_integer { text.parse().ok() } else { None };
        parsed.map(Units).ok_or_else(|| E::custom("a whole number of at most 128 bits is expected"))
    }
}

impl<'de> Deserialize<'de> for Units {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(UnitsVisitor)
    }
}

/// Formats a number as in values: a JSON integer if it fits 64 bits, else a JSON string.
pub fn to_json(units: Units) -> Cow<'static, str> {
    match i64::try_from(units.0) {
        Ok(n) => n.to_string().into(),
        Err(_) => format!("\"{}\"", units.0).into(),
    }
}

#[cfg(test)]
mod tests;
