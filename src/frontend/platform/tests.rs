use super::*;
use crate::api::ShardId;
use crate::engine::Row;

#[test]
fn timeouts_need_a_unit() {
    assert_eq!(parse_timeout("480m"), Some(Duration::from_millis(480)));
    assert_eq!(parse_timeout("1500u"), Some(Duration::from_micros(1500)));
    for bad in ["", "m", "480", "480s", "-1m", "NaNm", "1e400m", "infm", "4é"] {
        assert_eq!(parse_timeout(bad), None, "{bad}");
    }
}

#[test]
fn answers_have_the_format_of_the_protocol() {
    let rows = vec![Row { shard: ShardId(3), data: "5be2\"a0".into() }];
    let reply = query_reply(Ok(QueryOutcome::Answered { complete: false, coverage: 0.5, rows }), 0);
    assert_eq!(reply.body, br#"{"exact":false,"rows":[{"id":3,"data":"5be2\"a0"}]}"#);
    let reply = query_reply(Err(RejectReason::QueueFull), 250_000_000);
    assert_eq!((reply.status, reply.extra_headers.as_str()), (503, "Retry-After: 0.250\r\n"));
    assert_eq!(query_reply(Ok(QueryOutcome::Failed), 0).status, 504);
}
