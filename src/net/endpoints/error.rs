//! Why a line or an update cannot be read (pure): the fault by name, and a short excerpt of what came.

use std::fmt;

use thiserror::Error;

/// The most characters of a peer's text that an error keeps.
const MAX_EXCERPT_CHARACTERS: usize = 60;

/// What stands for a character that is not printable ASCII.
const REPLACEMENT: char = '?';

/// The beginning of a text that a peer sent, printable and of bounded length.
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

/// What is wrong with a line or an update. Its text names the field as discovery does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineFault {
    /// The line is not a JSON object.
    NotAnObject,
    /// The line has no name that can be read.
    Name,
    /// The line's state is missing, null, not a string, or given twice.
    State,
    /// The line's address is not one.
    Address,
    /// The line's partition group is not a number.
    PartitionGroup,
    /// The line's start is not a time.
    StartTime,
    /// The JSON object is not an update.
    NotAnUpdate,
    /// The JSON object is longer than the limit.
    TooLong,
    /// What came is not the beginning of a JSON object.
    UnexpectedByte,
}

/// Why a line or an update cannot be read. It holds a bounded part of what came, without control characters.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct LineError {
    fault: LineFault,
    name: Option<Excerpt>,
    text: Excerpt,
}

impl LineError {
    /// `fault`, with the text in which it was seen.
    pub fn new(fault: LineFault, text: &str) -> Self {
        Self { fault, name: None, text: Excerpt::of(text) }
    }

    /// The same, of a line of the data node `name`.
    pub fn at(self, name: &str) -> Self {
        Self { name: Some(Excerpt::of(name)), ..self }
    }

    /// What is wrong.
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
