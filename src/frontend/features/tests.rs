use serde_json::{json, Value as Json};

use super::filter::{check_bbox, check_datetime, ItemsFilter, PageStart};
use super::items::ItemsPage;
use crate::api::ShardId;
use crate::engine::{QueryOutcome, Row};
use crate::net::features::Cursor;

#[test]
fn bounding_boxes_and_times_are_checked() {
    for good in ["1,2,3,4", "-180, -90, 180, 90", "170,-10,-170,10", "1,2,0,3,4,9"] {
        assert_eq!(check_bbox(good), Ok(()), "{good}");
    }
    for bad in ["", "1,2,3", "1,2,3,4,5", "1,2,x,4", "1,4,3,2", "NaN,1,2,3", "1,2,inf,4"] {
        assert!(check_bbox(bad).is_err(), "{bad}");
    }
    for good in ["2026-12-01T00:00:00Z", "2026-12-01T00:00:00Z/..", "/2026-12-01T00:00:00+03:00"] {
        assert_eq!(check_datetime(good), Ok(()), "{good}");
    }
    for bad in ["", "..", "../..", "/", "today", "2026-12-02T00:00:00Z/2026-12-01T00:00:00Z"] {
        assert!(check_datetime(bad).is_err(), "{bad}");
    }
}

/// An answer without the features of a range, because its value is malformed, must list the range in `missingRanges`.
#[test]
fn a_range_with_a_malformed_value_is_listed_as_missing() {
    let row = |shard, data: &str| Row { shard: ShardId(shard), data: data.into() };
    let filter =
        ItemsFilter { bbox: None, datetime: None, limit: 5, start: PageStart::Offset(Cursor::START) };
    let rows = vec![row(0, r#"[{"type":"Feature","id":1}]"#), row(1, "5be2a07c")];
    let page = ItemsPage {
        base: String::new(),
        path: "/collections/a/items".to_string(),
        filter,
        ranges: 2,
        signer: None,
    };
    let reply = page.reply(Ok(QueryOutcome::Answered { complete: true, coverage: 1.0, rows }));
    let body: Json = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!((&body["complete"], &body["missingRanges"]), (&json!(false), &json!([1])));
    assert_eq!(body["numberReturned"], 1);
}
