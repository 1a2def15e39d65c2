//! What clients and operators of a group call, over HTTP/1.1, one call to a connection.

use std::net::SocketAddr;
use std::time::Duration;

use curlewdeck_replication::promised::Refusal as NotWritten;
use curlewdeck_replication::{Answer, Command, Outcome, Refusal};

use super::driver::{Ask, Inbox, Standings};
use crate::control::Calls;
use crate::frontend::http_server::Reply;
use crate::net::http::Request;

/// The calls of one member.
pub struct Api {
    /// The way to it.
    pub inbox: Inbox,
    /// How it stands.
    pub standings: Standings,
    /// How long a call may wait.
    pub wait: Duration,
    /// When a client that was refused should come again.
    pub retry_after: Duration,
}

const KEYS: &str = "/group/keys/";
const MEMBERS: &str = "/group/members/";
const METHODS: &str = "GET, PUT, DELETE";

impl Api {
    fn ask(&self, ask: Ask) -> Reply {
        self.reply(self.inbox.ask(ask, self.wait))
    }

    fn reply(&self, answer: Answer) -> Reply {
        let busy = |text: &str| {
            Reply::text(503, text).with("Retry-After", &format!("{:.3}", self.retry_after.as_secs_f64()))
        };
        match answer {
            Answer::Promised(Outcome::Written { version }) => {
                Reply::text(200, "promised").with("Version", &version.to_string())
            }
            Answer::Promised(Outcome::Stale { current }) => {
                Reply::text(412, &format!("it is at version {current}")).with("Version", &current.to_string())
            }
            Answer::Promised(Outcome::Refused(why @ NotWritten::Full)) => Reply::text(507, &why.to_string()),
            Answer::Promised(Outcome::Refused(why)) => Reply::text(413, &why.to_string()),
            Answer::Promised(Outcome::Nothing) => Reply::text(200, "done"),
            Answer::Read(Some(slot)) => {
                let reply = Reply { body: slot.value, ..Reply::text(200, "") };
                reply.with("Version", &slot.version.to_string())
            }
            Answer::Read(None) => Reply::text(404, "there is no such key"),
            Answer::Refused(why @ Refusal::Gone) => Reply::text(410, &why.to_string()),
            Answer::Refused(why) => busy(&why.to_string()),
            Answer::Unknown => Reply::text(504, "not known: it may be done yet, or never"),
        }
    }

    fn key(&self, key: &str, request: &Request) -> Reply {
        // Members' addresses and coordinators' states are kept among the keys; who writes those is no client.
        let own = ["member/", "state/"].iter().any(|own| key.starts_with(own));
        if key.is_empty() || own && request.method != "GET" {
            return Reply::text(400, "this is no key that clients may write");
        }
        let (key, value) = (key.to_string(), request.body.clone());
        let version = match request.headers.get("if-version").map(str::parse::<u64>) {
            None => None,
            Some(Ok(version)) => Some(version),
            Some(Err(_)) => return Reply::text(400, "If-Version: a number, 0 where the key must be absent"),
        };
        match (request.method.as_str(), version) {
            ("GET", _) => self.ask(Ask::Read(key)),
            ("PUT", None) => self.ask(Ask::Do(Command::Put { key, value })),
            ("PUT", Some(version)) => self.ask(Ask::Do(Command::Swap { key, version, value: Some(value) })),
            ("DELETE", Some(version)) => self.ask(Ask::Do(Command::Swap { key, version, value: None })),
            ("DELETE", None) => Reply::text(400, "If-Version is needed: the version that is to go"),
            _ => {
                Reply::text(405, "keys are read by GET, and changed by PUT and DELETE").with("Allow", METHODS)
            }
        }
    }

    fn member(&self, id: &str, request: &Request) -> Reply {
        let Some(id) = id.parse().ok().filter(|&id: &u64| id > 0) else {
            return Reply::text(400, "a member's id is a number above 0");
        };
        match request.method.as_str() {
            "PUT" => match std::str::from_utf8(&request.body)
                .ok()
                .and_then(|t| t.trim().parse::<SocketAddr>().ok())
            {
                Some(addr) => self.ask(Ask::Add(id, addr)),
                None => Reply::text(400, "the body is the address at which the member listens"),
            },
            "DELETE" => self.ask(Ask::Remove(id)),
            _ => Reply::text(405, "members are added by PUT and removed by DELETE")
                .with("Allow", "PUT, DELETE"),
        }
    }
}

impl Calls for Api {
    fn answer(&self, request: &Request) -> Reply {
        let path = request.path.as_str();
        if let Some(key) = path.strip_prefix(KEYS) {
            return self.key(key, request);
        }
        if let Some(id) = path.strip_prefix(MEMBERS) {
            return self.member(id, request);
        }
        match (path, request.method.as_str()) {
            ("/group/status", "GET") => {
                Reply { body: self.standings.now().text().into_bytes(), ..Reply::text(200, "") }
            }
            ("/group/snapshot", "POST") => self.ask(Ask::Snapshot),
            ("/group/status", _) => Reply::text(405, "the status is read by GET").with("Allow", "GET"),
            ("/group/snapshot", _) => Reply::text(405, "a snapshot is made by POST").with("Allow", "POST"),
            _ => Reply::text(404, "no such call"),
        }
    }
}
