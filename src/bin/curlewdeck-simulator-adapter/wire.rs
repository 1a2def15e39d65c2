//! The simulator's line protocol: the words of its messages and the forms of their fields.

use curlewdeck::api::{EndpointState, Outcome};

/// The reminder for the policy's timer.
pub(crate) const TIMER_REMINDER: &str = "wake";
/// The reminder for the next call to discovery.
pub(crate) const CALL_REMINDER: &str = "call";

/// The words that begin the simulator's messages.
pub(crate) mod message {
    pub(crate) const BATCH_BEGIN: &str = "mark";
    pub(crate) const BATCH_END: &str = "eob";
    pub(crate) const REGISTER_LIST: &str = "register";
    pub(crate) const ADD_COORDINATOR: &str = "enlist";
    pub(crate) const REMOVE_COORDINATOR: &str = "destroy";
    pub(crate) const QUERY_OR_PART: &str = "inbound";
    pub(crate) const ATTEMPT_ENDED: &str = "closed_attempt";
    pub(crate) const LIST_CHANGED: &str = "backends_changed";
    pub(crate) const CLIENT_DISCONNECTED: &str = "client_gone";
    pub(crate) const REMINDER: &str = "reminder";
    pub(crate) const HEALTH_CHECKED: &str = "pong";
    pub(crate) const RESPONSE_BEGUN: &str = "head_received";
    pub(crate) const PEER_MESSAGE: &str = "inbox";
}

/// The fields of one line, taken from left to right.
pub(crate) struct Fields<'a> {
    name: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(line: &'a str) -> Self {
        match line.split_once(' ') {
            Some((name, rest)) => Self { name, rest: Some(rest) },
            None => Self { name: line, rest: None },
        }
    }

    pub(crate) fn name(&self) -> &'a str {
        self.name
    }

    /// The next field; `-` is an absent value.
    pub(crate) fn optional(&mut self, what: &str) -> Result<Option<&'a str>, String> {
        let rest = self.rest.ok_or_else(|| format!("{}: expected {what}", self.name))?;
        let field = match rest.split_once(' ') {
            Some((field, rest)) => {
                self.rest = Some(rest);
                field
            }
            None => {
                self.rest = None;
                rest
            }
        };
        match field {
            "" => Err(format!("{}: expected {what}, found nothing", self.name)),
            "-" => Ok(None),
            field => Ok(Some(field)),
        }
    }

    pub(crate) fn text(&mut self, what: &str) -> Result<&'a str, String> {
        let name = self.name;
        self.optional(what)?.ok_or_else(|| format!("{name}: expected {what}, found '-'"))
    }

    pub(crate) fn number<T: std::str::FromStr>(&mut self, what: &str) -> Result<T, String> {
        let name = self.name;
        let text = self.text(what)?;
        text.parse().map_err(|_| format!("{name}: expected {what}, a number, found '{text}'"))
    }

    pub(crate) fn optional_number<T: std::str::FromStr>(&mut self, what: &str) -> Result<Option<T>, String> {
        let name = self.name;
        let Some(text) = self.optional(what)? else { return Ok(None) };
        let bad = |_| format!("{name}: expected {what}, a number or '-', found '{text}'");
        text.parse().map(Some).map_err(bad)
    }

    pub(crate) fn bool(&mut self, what: &str) -> Result<bool, String> {
        match self.optional(what)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(other) => Err(format!("{}: expected {what}, 1 or 0, found '{other}'", self.name)),
        }
    }

    /// All that is left of the line.
    pub(crate) fn rest(&mut self, what: &str) -> Result<&'a str, String> {
        self.rest.take().ok_or_else(|| format!("{}: expected {what}", self.name))
    }

    pub(crate) fn end(&self) -> Result<(), String> {
        match self.rest {
            None => Ok(()),
            Some(extra) => Err(format!("{}: expected the end of the line, found '{extra}'", self.name)),
        }
    }
}

pub(crate) fn outcome(text: &str) -> Result<Outcome, String> {
    Ok(match text {
        "pass" => Outcome::Success,
        "fault" => Outcome::ServerError,
        "no_room" => Outcome::Rejected,
        "too_slow" => Outcome::TimedOut,
        "no_route" => Outcome::ConnectFailed,
        "cut" => Outcome::ConnectionReset,
        "undone" => Outcome::Cancelled,
        "stale_send" => Outcome::NotSent,
        other => return Err(format!("expected an outcome, found '{other}'")),
    })
}

pub(crate) fn phase(text: &str) -> Result<EndpointState, String> {
    Ok(match text {
        "IN" => EndpointState::Active,
        "LAME" => EndpointState::Draining,
        "OUT" => EndpointState::Removed,
        other => return Err(format!("m: expected a phase (IN, LAME or OUT), found '{other}'")),
    })
}

/// A load report must be well-formed; no decision uses its values.
pub(crate) fn check_load(text: &str) -> Result<(), String> {
    for pair in text.split(',') {
        let value = pair.split_once(':').and_then(|(_, value)| value.parse::<f64>().ok());
        value.ok_or_else(|| format!("expected name:value pairs, found '{pair}'"))?;
    }
    Ok(())
}
