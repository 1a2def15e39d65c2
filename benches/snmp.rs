//! Compares the SNMP agent with its earlier implementation, which rebuilt all objects for each request and searched
//! them linearly. Both are measured in the same run.

use curlewdeck::api::{Class, ClassId, EndpointState, Outcome, QueryId, RetrySafety, ServerId};
use curlewdeck::counters::Counters;
use curlewdeck::mib;
use curlewdeck_accounting::node_table::NodeBounds;
use curlewdeck_accounting::{LedgerSnapshot, RequestLedger};
use curlewdeck_snmp::agent::{Agent, Bounds, Incoming};
use curlewdeck_snmp::codec;
use curlewdeck_snmp::manager::{Reply, Request, Security, Session, Walk};
use curlewdeck_snmp::tree::{Tree, View};
use rasn_snmp::v2::{Pdu, Pdus, Response};
use rasn_snmp::v2c::Message;

fn main() {
    divan::main();
}

/// Returns a ledger of 10 classes, 1000 answered queries and 50 data nodes.
fn ledger_snapshot() -> LedgerSnapshot {
    let class = Class {
        latency_objective: 1_000_000_000,
        deadline: 2_000_000_000,
        priority_weight: 1.0,
        late_value_ratio: 0.3,
        retry_safety: RetrySafety::Idempotent,
        retry_window: 0,
        min_coverage: 1.0,
        complete_coverage: 1.0,
        partial_value_ratio: None,
        second_phase_parts: 0,
        max_attempts: 4,
        retired: false,
    };
    let names: Vec<String> = (0..10).map(|n| format!("class-{n}")).collect();
    let mut ledger = RequestLedger::new(&vec![class; 10], &names, NodeBounds { max_rows: 64, retention: 1 });
    for n in 0..1000u64 {
        ledger.query_accepted(0, QueryId(n), ClassId(n as usize % 10));
        ledger.query_answered(n * 1_000_000, QueryId(n), true, 1.0);
    }
    for n in 0..50 {
        ledger.node_state(0, ServerId(n), &format!("s-{n}"), EndpointState::Active);
        ledger.attempt_started(ServerId(n), 0, false);
        ledger.attempt_ended(ServerId(n), Outcome::Success);
    }
    ledger.snapshot(0)
}

fn session() -> Session {
    Session::new(Security::Community("public".into()), 1, 1)
}

fn agent() -> Agent {
    let mut agent = Agent::new(Bounds { bindings: 64, bytes: 4096 }, vec![1; 12], 1, mib::object_oids());
    agent.set_community("public".into(), View::default());
    agent
}

/// Returns a request for the successor of a name in the middle of the node table.
fn next_in_node_table() -> Request {
    Request::Next(vec![[&mib::ROOT[..], &[3, 4, 1, 7, 25]].concat()])
}

#[divan::bench]
fn get_next(bencher: divan::Bencher) {
    let tree = Tree::new(mib::objects(&Counters::default(), &ledger_snapshot(), 0, None));
    let request = session().encode_request(&next_in_node_table(), 0).expect("encode the request");
    bencher.with_inputs(agent).bench_refs(|agent| match agent.read(&request, 0) {
        Incoming::Request(received) => agent.answer(&received, &tree, 0),
        _ => None,
    });
}

#[divan::bench]
fn get_next_rebuilding_objects(bencher: divan::Bencher) {
    let (counters, ledger) = (Counters::default(), ledger_snapshot());
    let request = session().encode_request(&next_in_node_table(), 0).expect("encode the request");
    bencher.bench(|| {
        let objects = mib::objects(&counters, &ledger, 0, None);
        let message: Message<Pdus> = rasn::ber::decode(&request).expect("decode the request");
        let Pdus::GetNextRequest(get_next) = message.data else { return None };
        let name = get_next.0.variable_bindings[0].name.to_vec();
        let next = objects.iter().filter(|object| object.0 > name).min_by(|a, b| a.0.cmp(&b.0))?;
        let variable_bindings = vec![codec::bind(&next.0, &next.1)];
        let pdu =
            Pdu { request_id: get_next.0.request_id, error_status: 0, error_index: 0, variable_bindings };
        let data = Pdus::Response(Response(pdu));
        rasn::ber::encode(&Message { version: 1.into(), community: message.community, data }).ok()
    });
}

/// Walks all objects. The tree is built once per walk, as the agent builds it once per walker.
#[divan::bench]
fn walk(bencher: divan::Bencher) {
    let (counters, ledger) = (Counters::default(), ledger_snapshot());
    bencher.with_inputs(|| (agent(), session())).bench_refs(|(agent, session)| {
        let tree = Tree::new(mib::objects(&counters, &ledger, 0, None));
        let (mut walk, mut object_count) = (Walk::new(vec![1, 3], 50), 0);
        while let Some(next) = walk.next_request() {
            session.begin_request();
            let request = session.encode_request(&next, 0).expect("encode the request");
            let Incoming::Request(received) = agent.read(&request, 0) else { break };
            let answer = agent.answer(&received, &tree, 0).expect("answer the request");
            let Ok(Reply::Bindings(bindings)) = session.decode_reply(&answer, 0) else { break };
            object_count += walk.handle_answer(bindings).expect("bindings that continue the walk").len();
        }
        object_count
    });
}
