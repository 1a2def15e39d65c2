//! A toy deployment on loopback: a discovery service and three servers. By default the servers are data nodes that use
//! the frame protocol; with the argument `features` they are feature servers, and with `desk` they are data nodes whose
//! values can be merged. `examples/README.md` shows how to run the coordinator against it.

#[allow(unreachable_pub)]
#[path = "../../crates/merge/examples/merge_check/stand_in.rs"]
mod merge_node;

#[allow(unreachable_pub)]
#[path = "stand_in.rs"]
mod stand_in;

use merge_node::{replica_value, Row, Snapshot, ValueOptions};
use stand_in::{feature_store_reply, DataNode, Discovery, FeatureServer, Member, NodeReply, Part};

const FEATURES_PER_RANGE: usize = 7;
const MAX_PAGE_FEATURES: usize = 3;

/// Returns the rows of a tag range: 12 plazas, each with its revenue from that range in kuruş.
fn plaza_rows(range: u32) -> Snapshot {
    let row = |n: u32| {
        let measure = i64::from(n * 7919 % 5000 * 100 + range * 37);
        let body = Some(format!(r#"{{"name": "Plaza {n}", "range": {range}}}"#));
        (format!("plaza-{n:02}#{range}"), Row { measure, body })
    };
    (1..=12).map(row).collect()
}

/// Answers with a value that can be merged. The data version is always 1, because the toy data never changes.
fn mergeable_reply(part: &Part) -> NodeReply {
    match replica_value(&plaza_rows(part.shard), 1, &part.text, ValueOptions::default()) {
        Some(value) => NodeReply::Answer(200, 0, value),
        None => NodeReply::Answer(500, 0, String::new()),
    }
}

fn main() {
    let has_argument = |name: &str| std::env::args().any(|argument| argument == name);
    let (features, desk) = (has_argument("features"), has_argument("desk"));
    let member =
        |(cell, endpoint)| Member { uid: format!("s-{cell}"), endpoint, cell, state: "up", boot_ms: 0 };
    let start_server = |cell| match features {
        _ if desk => member((cell, DataNode::start(mergeable_reply).addr)),
        true => member((
            cell,
            FeatureServer::start(|query| feature_store_reply(query, FEATURES_PER_RANGE, MAX_PAGE_FEATURES))
                .addr,
        )),
        false => {
            let value = |shard: u32| format!("{:016x}", u64::from(shard) * 0x9e37_79b9);
            let reply = move |shard| NodeReply::Answer(200, 100 + u64::from(shard), value(shard));
            member((cell, DataNode::start(move |part| reply(part.shard)).addr))
        }
    };
    let discovery = Discovery::start("127.0.0.1:8500", (0..3).map(start_server).collect());
    println!("discovery service listening on {}; press Ctrl-C to stop", discovery.addr);
    loop {
        std::thread::park();
    }
}
