//! Errors of parsing a line or an update: the kind of fault and a short excerpt of the input.

use std::fmt;

use thiserror::Error;

const MAX_EXCERPT_CHARACTERS: usize = 60;

/// Replaces each character that is not printable ASCII.
const REPLACEMENT: char = '?';

/// The start of a text received from a peer, limited to printable ASCII and [`MAX_EXCERPT_CHARACTERS`].
#[derive(Debug, Clone, PartialEq, Eq)]
struct Excerpt(String);

impl Excerpt {
    fn of(text: &str) -> Self {
        let printable = |c: char| if c.is_ascii_graphic() || c == ' ' { c } else { REPLACEMENT };
        let mut excerpt: String = text.chars().take(MAX_EXCERPT_CHARACTERS).map(printable).collect();
        if text.chars().nth(MAX_EXCERPT_CHARACTERS).is_some() {
            excerpt.push_str("...");
        }
        Self(excerpt)
    }
}

/// The fault of a line or an update. Its text uses discovery's field names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineFault {
    /// The line is not a JSON object.
    NotAnObject,
    /// The line's name is missing or unreadable.
    Name,
    /// The line's state is missing, null, not a string, or duplicated.
    State,
    /// The line's address is missing or invalid.
    Address,
    /// The line's partition group is missing or not a 32-bit unsigned integer.
    PartitionGroup,
    /// The line's start time is not an unsigned integer.
    StartTime,
    /// The input is not a valid update object.
    NotAnUpdate,
    /// The JSON object is longer than the limit.
    TooLong,
    /// The input does not begin with a JSON object.
    UnexpectedByte,
}

/// An error in a line or an update. It keeps a bounded excerpt of the input, without control characters.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct LineError {
    fault: LineFault,
    name: Option<Excerpt>,
    text: Excerpt,
}

impl LineError {
    /// Creates an error with an excerpt of the faulty text.
    pub fn new(fault: LineFault, text: &str) -> Self {
        Self { fault, name: None, text: Excerpt::of(text) }
    }

    /// Adds the name of the data node that the line describes.
    pub fn with_name(self, name: &str) -> Self {
        Self { name: Some(Excerpt::of(name)), ..self }
    }

    /// Returns the kind of fault, without the excerpt.
    pub fn fault(&self) -> LineFault {
        self.fault
    }
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(Excerpt(name)) = &self.name {
            write!(f, "data node '{name}': ")?;
        }
        write!(f, "{}: {}", self.fault, self.text.0)
    }
}
