//! Bodies of the platform's protocol: the only place that knows its field names.

use serde::{Deserialize, Serialize};

use crate::api::ShardId;
use crate::engine::Row;

/// The body of a query. Messages about a malformed one name this type: its name is part of the protocol.
#[derive(Debug, Deserialize, PartialEq)]
pub(super) struct Body {
    pub(super) parts: Vec<BodyPart>,
    #[serde(rename = "expr")]
    pub(super) text: String,
}

/// One part of a query; messages name this type, too.
#[derive(Debug, Deserialize, PartialEq)]
pub(super) struct BodyPart {
    id: u32,
    #[serde(rename = "w")]
    weight: f64,
}

impl BodyPart {
    /// The shard and its weight.
    pub(super) fn shard_weight(&self) -> (ShardId, f64) {
        (ShardId(self.id), self.weight)
    }
}

/// The body of an answer.
#[derive(Serialize)]
struct AnswerBody<'a> {
    #[serde(rename = "exact")]
    is_complete: bool,
    rows: Vec<AnswerRow<'a>>,
}

/// The value of one shard.
#[derive(Serialize)]
struct AnswerRow<'a> {
    id: u32,
    data: &'a str,
}

/// The body of the answer with these rows.
pub(super) fn answer_body(is_complete: bool, rows: &[Row]) -> serde_json::Result<Vec<u8>> {
    let rows = rows.iter().map(|row| AnswerRow { id: row.shard.0, data: &row.data }).collect();
    serde_json::to_vec(&AnswerBody { is_complete, rows })
}
