//! The management agent against its earlier way in the same run: all objects made anew for each request, and looked
//! through from the first on.

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

/// Ten classes and fifty nodes.
fn books() -> LedgerSnapshot {
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
    let mut account = RequestLedger::new(&vec![class; 10], &names, NodeBounds { max_rows: 64, retention: 1 });
    for n in 0..1000u64 {
        account.query_accepted(0, QueryId(n), ClassId(n as usize % 10));
        account.query_answered(n * 1_000_000, QueryId(n), true, 1.0);
    }
    for n in 0..50 {
        account.node_state(0, ServerId(n), &format!("s-{n}"), EndpointState::Active);
        account.attempt_started(ServerId(n), 0, false);
        account.attempt_ended(ServerId(n), Outcome::Success);
    }
    account.snapshot(0)
}

fn session() -> Session {
    Session::new(Security::Community("public".into()), 1, 1)
}

fn agent() -> Agent {
    let mut agent = Agent::new(Bounds { bindings: 64, bytes: 4096 }, vec![1; 12], 1, mib::known());
    agent.admit_community("public".into(), View::default());
    agent
}

/// In the middle of the node table.
fn asked() -> Request {
    Request::Next(vec![[&mib::ROOT[..], &[3, 4, 1, 7, 25]].concat()])
}

#[divan::bench]
fn get_next(bencher: divan::Bencher) {
    let tree = Tree::new(mib::objects(&Counters::default(), &books(), 0, None));
    let request = session().write(&asked(), 0).expect("a request");
    bencher.with_inputs(agent).bench_refs(|agent| match agent.read(&request, 0) {
        Incoming::Request(asked) => agent.answer(&asked, &tree, 0),
        _ => None,
    });
}

#[divan::bench]
fn get_next_as_before(bencher: divan::Bencher) {
    let (counters, books) = (Counters::default(), books());
    let request = session().write(&asked(), 0).expect("a request");
    bencher.bench(|| {
        let objects = mib::objects(&counters, &books, 0, None);
        let message: Message<Pdus> = rasn::ber::decode(&request).expect("a request");
        let Pdus::GetNextRequest(asked) = message.data else { return None };
        let name = asked.0.variable_bindings[0].name.to_vec();
        let next = objects.iter().filter(|o| o.0 > name).min_by(|a, b| a.0.cmp(&b.0))?;
        let variable_bindings = vec![codec::bind(&next.0, &next.1)];
        let pdu = Pdu { request_id: asked.0.request_id, error_status: 0, error_index: 0, variable_bindings };
        let data = Pdus::Response(Response(pdu));
        rasn::ber::encode(&Message { version: 1.into(), community: message.community, data }).ok()
    });
}

/// A whole walk, the tree made once as the agent does for each walker.
#[divan::bench]
fn walk(bencher: divan::Bencher) {
    let (counters, books) = (Counters::default(), books());
    bencher.with_inputs(|| (agent(), session())).bench_refs(|(agent, session)| {
        let tree = Tree::new(mib::objects(&counters, &books, 0, None));
        let (mut walk, mut met) = (Walk::new(vec![1, 3], 50), 0);
        while let Some(what) = walk.next_request() {
            session.begin();
            let request = session.write(&what, 0).expect("a request");
            let Incoming::Request(asked) = agent.read(&request, 0) else { break };
            let answer = agent.answer(&asked, &tree, 0).expect("an answer");
            let Ok(Reply::Bindings(bindings)) = session.read(&answer, 0) else { break };
            met += walk.handle_answer(bindings).expect("objects").len();
        }
        met
    });
}
