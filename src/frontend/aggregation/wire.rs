//! The body of a request: the only place that knows its field names.

use std::collections::BTreeMap;

use curlewdeck_merge::query::{Op, Order};
use serde::Deserialize;
use serde_json::json;

use crate::frontend::http_server::Reply;
use crate::frontend::problem::PROBLEM_MEDIA_TYPE;
use crate::net::http;

/// The body of a query. Messages about a malformed one name this type: its name is part of the protocol.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub(super) struct Body {
    pub(super) op: Op,
    pub(super) measure: Option<String>,
    #[serde(default)]
    pub(super) order: Order,
    #[serde(default)]
    pub(super) grouped: bool,
    pub(super) limit: Option<usize>,
    #[serde(default)]
    pub(super) filter: BTreeMap<String, String>,
    pub(super) cursor: Option<String>,
    pub(super) timeout_ms: Option<u64>,
}

impl Body {
    /// The body in these bytes, or the reply to a malformed one.
    pub(super) fn parse(bytes: &[u8]) -> Result<Self, Reply> {
        let mut json = serde_json::Deserializer::from_slice(bytes);
        let body = serde_path_to_error::deserialize(&mut json).map_err(|error| {
            let field = error.path().to_string();
            let field = if field == "." { "" } else { &field };
            invalid_field(field, &error.inner().to_string())
        })?;
        json.end().map_err(|error| invalid_field("", &format!("after the object: {error}")))?;
        Ok(body)
    }
}

/// The reply to a request with a field that is not valid.
pub(super) fn invalid_field(field: &str, detail: &str) -> Reply {
    let title = http::reason(400);
    let body =
        json!({"type": "about:blank", "title": title, "status": 400, "detail": detail, "field": field});
    Reply {
        status: 400,
        content_type: PROBLEM_MEDIA_TYPE,
        extra_headers: String::new(),
        body: body.to_string().into_bytes(),
    }
}
