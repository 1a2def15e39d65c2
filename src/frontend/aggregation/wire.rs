//! The body of a request. Its field names are defined only here.

use std::collections::BTreeMap;

use curlewdeck_merge::query::{Op, Order};
use serde::Deserialize;
use serde_json::json;

use crate::frontend::http_server::Reply;
use crate::frontend::problem::PROBLEM_MEDIA_TYPE;
use crate::net::http;

/// The body of a query. Replies to a malformed body contain this type's name, which makes it part of the protocol.
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
    /// Parses a body, or returns the reply to a malformed one.
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

/// The reply to a request with an invalid field. `field` is the path of the field, or empty for the entire body.
pub(super) fn invalid_field(field: &str, detail: &str) -> Reply {
    let title = http::reason_phrase(400);
    let body =
        json!({"type": "about:blank", "title": title, "status": 400, "detail": detail, "field": field});
    Reply {
        status: 400,
        content_type: PROBLEM_MEDIA_TYPE,
        extra_headers: String::new(),
        body: body.to_string().into_bytes(),
    }
}
