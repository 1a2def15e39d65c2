//! A toy service for a newcomer: the list, three data nodes that speak frames and three feature servers, all
//! on loopback. `examples/README.md` shows how to try the program with it.

#[path = "stand_in.rs"]
mod stand_in;

use stand_in::{store, DataNode, Discovery, FeatureServer, Member, NodeReply};

const FEATURES: usize = 7;
const PAGE: usize = 3;

fn main() {
    let features = std::env::args().any(|a| a == "features");
    let member = |(cell, endpoint)| Member { uid: format!("s-{cell}"), endpoint, cell, state: "up" };
    let node = |cell| match features {
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
