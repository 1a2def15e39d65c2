//! The HTTP/1.1 calls for clients and operators of a group, with one call per connection.

use std::net::SocketAddr;
use std::time::Duration;

use curlewdeck_replication::{Command, CommandOutcome, CommandRejection, RejectReason, RequestOutcome};

use super::member_handle::{ClientRequest, MemberHandle};
use super::status::SharedStatus;
use crate::control::Calls;
use crate::frontend::http_server::Reply;
use crate::net::http::Request;

/// Serves the calls to one member.
pub(super) struct ClientApi {
    pub(super) member: MemberHandle,
    pub(super) status: SharedStatus,
    /// The maximum time for which a call waits for the member.
    pub(super) request_timeout: Duration,
    /// The delay after which a rejected client should retry.
    pub(super) retry_after: Duration,
}

const KEYS_PATH: &str = "/group/keys/";
const MEMBERS_PATH: &str = "/group/members/";
const KEY_METHODS: &str = "GET, PUT, DELETE";
/// Prefixes of the keys that only the group itself writes: addresses of members, and replicas of coordinators' states.
const INTERNAL_KEY_PREFIXES: [&str; 2] = ["member/", "state/"];

impl ClientApi {
    fn request(&self, request: ClientRequest) -> Reply {
        self.reply_to(self.member.request(request, self.request_timeout))
    }

    fn reply_to(&self, outcome: RequestOutcome) -> Reply {
        let unavailable = |text: &str| {
            Reply::text(503, text)
                .with_header("Retry-After", &format!("{:.3}", self.retry_after.as_secs_f64()))
        };
        match outcome {
            RequestOutcome::Committed(CommandOutcome::Written { version }) => {
                Reply::text(200, "promised").with_header("Version", &version.to_string())
            }
            RequestOutcome::Committed(CommandOutcome::VersionMismatch { current }) => {
                Reply::text(412, &format!("the key is at version {current}"))
                    .with_header("Version", &current.to_string())
            }
            RequestOutcome::Committed(CommandOutcome::Rejected(why @ CommandRejection::TooManyKeys)) => {
                Reply::text(507, &why.to_string())
            }
            RequestOutcome::Committed(CommandOutcome::Rejected(why)) => Reply::text(413, &why.to_string()),
            RequestOutcome::Committed(CommandOutcome::NoEffect) => Reply::text(200, "done"),
            RequestOutcome::Read(Some(value)) => {
                let reply = Reply { body: value.value, ..Reply::text(200, "") };
                reply.with_header("Version", &value.version.to_string())
            }
            RequestOutcome::Read(None) => Reply::text(404, "key not found"),
            RequestOutcome::Rejected(why @ RejectReason::Stopped) => Reply::text(410, &why.to_string()),
            RequestOutcome::Rejected(why) => unavailable(&why.to_string()),
            RequestOutcome::Unknown => {
                Reply::text(504, "outcome unknown: the request may still take effect, or never")
            }
        }
    }

    fn key(&self, key: &str, request: &Request) -> Reply {
        let is_internal = INTERNAL_KEY_PREFIXES.iter().any(|prefix| key.starts_with(prefix));
        if key.is_empty() || is_internal && request.method != "GET" {
            return Reply::text(400, "clients must not write this key");
        }
        let (key, value) = (key.to_string(), request.body.clone());
        let version = match request.headers.get("if-version").map(str::parse::<u64>) {
            None => None,
            Some(Ok(version)) => Some(version),
            Some(Err(_)) => {
                return Reply::text(
                    400,
                    "If-Version must be a number: the key's version, or 0 if it must be absent",
                )
            }
        };
        match (request.method.as_str(), version) {
            ("GET", _) => self.request(ClientRequest::Read(key)),
            ("PUT", None) => self.request(ClientRequest::Propose(Command::Put { key, value })),
            ("PUT", Some(version)) => self.request(ClientRequest::Propose(Command::CompareAndSet {
                key,
                version,
                value: Some(value),
            })),
            ("DELETE", Some(version)) => {
                self.request(ClientRequest::Propose(Command::CompareAndSet { key, version, value: None }))
            }
            ("DELETE", None) => Reply::text(400, "If-Version is required: the version to remove"),
            _ => Reply::text(405, "keys are read by GET, and changed by PUT and DELETE")
                .with_header("Allow", KEY_METHODS),
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
                Some(address) => self.request(ClientRequest::AddMember { id, address }),
                None => Reply::text(400, "the body is the address at which the member listens"),
            },
            "DELETE" => self.request(ClientRequest::RemoveMember(id)),
            _ => Reply::text(405, "members are added by PUT and removed by DELETE")
                .with_header("Allow", "PUT, DELETE"),
        }
    }
}

impl Calls for ClientApi {
    fn answer(&self, request: &Request) -> Reply {
        let path = request.path.as_str();
        if let Some(key) = path.strip_prefix(KEYS_PATH) {
            return self.key(key, request);
        }
        if let Some(id) = path.strip_prefix(MEMBERS_PATH) {
            return self.member(id, request);
        }
        match (path, request.method.as_str()) {
            ("/group/status", "GET") => {
                Reply { body: self.status.latest().text().into_bytes(), ..Reply::text(200, "") }
            }
            ("/group/snapshot", "POST") => self.request(ClientRequest::CreateSnapshot),
            ("/group/status", _) => Reply::text(405, "the status is read by GET").with_header("Allow", "GET"),
            ("/group/snapshot", _) => {
                Reply::text(405, "a snapshot is made by POST").with_header("Allow", "POST")
            }
            _ => Reply::text(404, "no such call"),
        }
    }
}
