//! Percent coding of paths and query strings.

/// Undoes percent coding; with `plus`, `+` is a space, as in query strings. `None` if it is malformed or not text.
pub fn decode(text: &str, plus: bool) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        out.push(match byte {
            b'%' => {
                let digit = |b: Option<u8>| char::from(b?).to_digit(16);
                let (high, low) = (digit(bytes.next())?, digit(bytes.next())?);
                (high * 16 + low) as u8
            }
            b'+' if plus => b' ',
            byte => byte,
        });
    }
    String::from_utf8(out).ok()
}

/// Percent-encodes all but letters, digits and `-._~,`.
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
