//! Bodies of the platform's protocol. Its field names are defined only here.

use serde::{Deserialize, Serialize};

use crate::api::ShardId;
use crate::engine::Row;

/// The body of a query. Replies to a malformed body contain this type's name, which makes it part of the protocol.
#[derive(Debug, Deserialize, PartialEq)]
pub(super) struct Body {
    pub(super) parts: Vec<BodyPart>,
    #[serde(rename = "expr")]
    pub(super) text: String,
}

/// One part of a query. Replies to a malformed body contain this type's name too.
#[derive(Debug, Deserialize, PartialEq)]
pub(super) struct BodyPart {
    id: u32,
    #[serde(rename = "w")]
    weight: f64,
}

impl BodyPart {
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

/// Serializes the body of an answer.
pub(super) fn answer_body(is_complete: bool, rows: &[Row]) -> serde_json::Result<Vec<u8>> {
    let rows = rows.iter().map(|row| AnswerRow { id: row.shard.0, data: &row.data }).collect();
    serde_json::to_vec(&AnswerBody { is_complete, rows })
}
