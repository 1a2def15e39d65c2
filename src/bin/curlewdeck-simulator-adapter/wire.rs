//! The simulator's line protocol: message names and field syntax.

use curlewdeck::api::{EndpointState, Outcome};

/// Nonce of the reminder for the policy's timer.
pub(crate) const TIMER_REMINDER: &str = "wake";
/// Nonce of the reminder for the next discovery call.
pub(crate) const CALL_REMINDER: &str = "call";

/// Names of the simulator's messages: the first word of each line.
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

/// Fields of one line, read from left to right.
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

    /// Reads the next field; `-` denotes an absent value. `field_name` is used in error messages, here and below.
    pub(crate) fn optional(&mut self, field_name: &str) -> Result<Option<&'a str>, String> {
        let rest = self.rest.ok_or_else(|| format!("{}: expected {field_name}", self.name))?;
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
            "" => Err(format!("{}: expected {field_name}, found nothing", self.name)),
            "-" => Ok(None),
            field => Ok(Some(field)),
        }
    }

    pub(crate) fn text(&mut self, field_name: &str) -> Result<&'a str, String> {
        let name = self.name;
        self.optional(field_name)?.ok_or_else(|| format!("{name}: expected {field_name}, found '-'"))
    }

    pub(crate) fn number<T: std::str::FromStr>(&mut self, field_name: &str) -> Result<T, String> {
        let name = self.name;
        let text = self.text(field_name)?;
        text.parse().map_err(|_| format!("{name}: expected {field_name}, a number, found '{text}'"))
    }

    pub(crate) fn optional_number<T: std::str::FromStr>(
        &mut self,
        field_name: &str,
    ) -> Result<Option<T>, String> {
        let name = self.name;
        let Some(text) = self.optional(field_name)? else { return Ok(None) };
        let syntax_error = |_| format!("{name}: expected {field_name}, a number or '-', found '{text}'");
        text.parse().map(Some).map_err(syntax_error)
    }

    pub(crate) fn bool(&mut self, field_name: &str) -> Result<bool, String> {
        match self.optional(field_name)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(other) => Err(format!("{}: expected {field_name}, 1 or 0, found '{other}'", self.name)),
        }
    }

    /// Reads the remainder of the line, including blanks.
    pub(crate) fn rest(&mut self, field_name: &str) -> Result<&'a str, String> {
        self.rest.take().ok_or_else(|| format!("{}: expected {field_name}", self.name))
    }

    /// Fails if unread fields remain.
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

pub(crate) fn endpoint_state(text: &str) -> Result<EndpointState, String> {
    Ok(match text {
        "IN" => EndpointState::Active,
        "LAME" => EndpointState::Draining,
        "OUT" => EndpointState::Removed,
        other => return Err(format!("m: expected a phase (IN, LAME or OUT), found '{other}'")),
    })
}

/// Checks the syntax of a load report. The policy does not use its values.
pub(crate) fn check_load(text: &str) -> Result<(), String> {
    for pair in text.split(',') {
        let value = pair.split_once(':').and_then(|(_, value)| value.parse::<f64>().ok());
        value.ok_or_else(|| format!("expected name:value pairs, found '{pair}'"))?;
    }
    Ok(())
}
