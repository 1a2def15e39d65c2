//! Header fields and the body framing that they define.

use super::{BadMessage, MALFORMED, UNKNOWN_TRANSFER_CODING};

/// The least memory that the allocator takes for a string, in bytes.
const MIN_STRING_BYTES: usize = 32;

/// The header fields of a message, with names in lower case.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Returns the value of the first field of this name, which must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next()
    }

    /// Returns the memory of the fields, in bytes.
    pub(super) fn held_bytes(&self) -> usize {
        let strings = self.0.iter().flat_map(|(name, value)| [name.capacity(), value.capacity()]);
        let of_strings: usize = strings.map(|capacity| capacity.max(MIN_STRING_BYTES)).sum();
        self.0.capacity() * size_of::<(String, String)>() + of_strings
    }

    /// Returns the values of all fields of this name.
    fn all<'n, 'a: 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a str> + 'n {
        self.0.iter().filter(move |line| line.0 == name).map(|line| line.1.as_str())
    }

    pub(super) fn read(lines: &[httparse::Header]) -> Result<Self, BadMessage> {
        let read_line = |line: &httparse::Header| {
            let value = std::str::from_utf8(line.value).map_err(|_| MALFORMED)?;
            Ok((line.name.to_ascii_lowercase(), value.trim_matches([' ', '\t']).to_string()))
        };
        lines.iter().map(read_line).collect::<Result<_, _>>().map(Self)
    }

    /// Whether the comma-separated lists in the fields of this name contain the token, in any case.
    pub(super) fn has_token(&self, name: &str, token: &str) -> bool {
        let mut tokens = self.all(name).flat_map(|value| value.split(','));
        tokens.any(|candidate| candidate.trim().eq_ignore_ascii_case(token))
    }

    /// Returns the framing of the body. A length together with a transfer coding, or several codings, are an error: the
    /// end of the body is then ambiguous, and another recipient may read part of the body as the next request.
    pub(super) fn framing(&self) -> Result<Framing, BadMessage> {
        let lengths: Vec<&str> = self.all("content-length").collect();
        let codings: Vec<&str> = self.all("transfer-encoding").collect();
        match (codings.as_slice(), lengths.as_slice()) {
            ([coding], []) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            ([_], []) => Err(UNKNOWN_TRANSFER_CODING),
            ([], []) => Ok(Framing::None),
            ([], [first, more @ ..]) if more.iter().all(|length| length == first) => parse_length(first),
            _ => Err(MALFORMED),
        }
    }
}

fn parse_length(text: &str) -> Result<Framing, BadMessage> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return Err(MALFORMED);
    }
    text.parse().map(Framing::Length).map_err(|_| MALFORMED)
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// The message has no body.
    None,
    /// By the end of the connection.
    UntilEnd,
    /// By its length in bytes.
    Length(usize),
    /// By the last chunk.
    Chunked,
}
