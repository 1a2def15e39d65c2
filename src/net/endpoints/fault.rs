//! Why a line or an object of the membership cannot be read (pure): a cause by name, and a short excerpt of what came.

use std::fmt;

/// The most characters of a peer's text that an error keeps.
const EXCERPT_CHARACTERS: usize = 60;

/// What stands for a character that is not printable ASCII.
const REPLACEMENT: char = '?';

/// The beginning of a text that a peer sent, printable and of bounded length.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Excerpt(String);

impl Excerpt {
    fn of(text: &str) -> Self {
        let printable = |c: char| if c.is_ascii_graphic() || c == ' ' { c } else { REPLACEMENT };
        let mut excerpt: String = text.chars().take(EXCERPT_CHARACTERS).map(printable).collect();
        if text.chars().nth(EXCERPT_CHARACTERS).is_some() {
            excerpt.push_str("...");
        }
        Self(excerpt)
    }
}

/// What is wrong with a line or an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineFault {
    /// The line is no JSON object.
    NotAnObject,
    /// The line has no `uid` that can be read.
    Uid,
    /// The line's `state` is missing, null, no string, or given twice.
    State,
    /// The line's `endpoint` is no address.
    Endpoint,
    /// The line's `pod_group` is no cell.
    Cell,
    /// The line's `boot_ms` is no time.
    Started,
    /// The object as a whole is no membership update.
    Object,
    /// The object is longer than the limit.
    TooLong,
    /// What came is no object.
    Garbage,
}

impl fmt::Display for LineFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotAnObject => "the line is no object",
            Self::Uid => "uid is no name",
            Self::State => "state is no state",
            Self::Endpoint => "endpoint is no address",
            Self::Cell => "pod_group is no cell",
            Self::Started => "boot_ms is no time",
            Self::Object => "the object is no membership update",
            Self::TooLong => "the object is too long",
            Self::Garbage => "no object begins so",
        })
    }
}

/// Why a line or an object cannot be read. It holds a bounded part of what came, without control characters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineError {
    fault: LineFault,
    uid: Option<Excerpt>,
    text: Excerpt,
}

impl LineError {
    /// `fault`, with the text in which it was seen.
    pub fn new(fault: LineFault, text: &str) -> Self {
        Self { fault, uid: None, text: Excerpt::of(text) }
    }

    /// The same of the data node `uid`.
    pub fn at(self, uid: &str) -> Self {
        Self { uid: Some(Excerpt::of(uid)), ..self }
    }

    /// What is wrong.
    pub fn fault(&self) -> LineFault {
        self.fault
    }
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(Excerpt(uid)) = &self.uid {
            write!(f, "data node '{uid}': ")?;
        }
        write!(f, "{}: {}", self.fault, self.text.0)
    }
}

impl std::error::Error for LineError {}
