//! Percent-encoding of paths and query strings.

/// Percent-decodes text; with `plus_is_space`, as in query strings, `+` is a space. `None` if it is malformed or the
/// result is not UTF-8.
pub fn decode(text: &str, plus_is_space: bool) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        out.push(match byte {
            b'%' => {
                let digit = |b: Option<u8>| char::from(b?).to_digit(16);
                let (high, low) = (digit(bytes.next())?, digit(bytes.next())?);
                (high * 16 + low) as u8
            }
            b'+' if plus_is_space => b' ',
            byte => byte,
        });
    }
    String::from_utf8(out).ok()
}

/// Percent-encodes every byte except ASCII letters, digits and `-._~,`.
pub fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for b in text.bytes() {
        match b {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b',' => {
                out.push(char::from(b))
            }
            _ => out.push_str(&format!("%{b:02X}")),
        }
    }
    out
}
