//! A toy service for a newcomer, all on loopback: the list, and three data nodes that speak frames, or with the word
//! `features` three feature servers, or with `desk` three data nodes whose values can be merged.
//! `examples/README.md` shows how to try the program with it.

#[allow(unreachable_pub)]
#[path = "../../crates/merge/examples/merge_check/stand_in.rs"]
mod merge_node;

#[allow(unreachable_pub)]
#[path = "stand_in.rs"]
mod stand_in;

use merge_node::{answer, Manner, Row, Snapshot};
use stand_in::{store, DataNode, Discovery, FeatureServer, Member, NodeReply, Part};

const FEATURES: usize = 7;
const PAGE: usize = 3;

/// What a tag range holds in the toy deployment: a dozen plazas with the range's revenue of each, in kuruş.
fn plazas(range: u32) -> Snapshot {
    let row = |n: u32| {
        let measure = i64::from(n * 7919 % 5000 * 100 + range * 37);
        let body = Some(format!(r#"{{"name": "Plaza {n}", "range": {range}}}"#));
        (format!("plaza-{n:02}#{range}"), Row { measure, body })
    };
    (1..=12).map(row).collect()
}

/// A value that can be merged; in the toy deployment the data never changes.
fn mergeable(part: &Part) -> NodeReply {
    match answer(&plazas(part.shard), 1, &part.text, Manner::default()) {
        Some(value) => NodeReply::Answer(200, 0, value),
        None => NodeReply::Answer(500, 0, String::new()),
    }
}

fn main() {
    let word = |word: &str| std::env::args().any(|a| a == word);
    let (features, desk) = (word("features"), word("desk"));
    let member =
        |(cell, endpoint)| Member { uid: format!("s-{cell}"), endpoint, cell, state: "up", boot_ms: 0 };
    let node = |cell| match features {
        _ if desk => member((cell, DataNode::start(mergeable).addr)),
        true => member((cell, FeatureServer::start(|query| store(query, FEATURES, PAGE)).addr)),
        false => {
            let value = |shard: u32| format!("{:016x}", u64::from(shard) * 0x9e37_79b9);
            let reply = move |shard| NodeReply::Answer(200, 100 + u64::from(shard), value(shard));
            member((cell, DataNode::start(move |part| reply(part.shard)).addr))
        }
    };
    let discovery = Discovery::start("127.0.0.1:8500", (0..3).map(node).collect());
    println!("the list is at {}; stop with Ctrl-C", discovery.addr);
    loop {
        std::thread::park();
    }
}
