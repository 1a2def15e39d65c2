//! Bodies of the platform's protocol: the only place that knows its field names.

use serde::{Deserialize, Serialize};

use crate::api::ShardId;
use crate::engine::Row;

/// The body of a query. Messages about a malformed one name the type, so its name on the wire is fixed.
#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename = "Body")]
pub(super) struct QueryBody {
    pub(super) parts: Vec<QueryPart>,
    #[serde(rename = "expr")]
    pub(super) text: String,
}

/// One part of a query.
#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename = "BodyPart")]
pub(super) struct QueryPart {
    id: u32,
    #[serde(rename = "w")]
    weight: f64,
}

impl QueryPart {
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
