//! The management agent on loopback.

mod bed;

use std::net::UdpSocket;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bed::stand_in::{DataNode, Discovery, NodeReply};
use bed::{member, query, ready, Bed};
use rasn::types::ObjectIdentifier;
use rasn_snmp::v2::{GetRequest, Pdu, Pdus, VarBind, VarBindValue};
use rasn_snmp::v2c::Message;

/// The agent serves the counters as they stand.
#[test]
fn counters_are_served() {
    let node = DataNode::start(|_| NodeReply::Answer(200, 0, "v".to_string()));
    let discovery = Discovery::start("127.0.0.1:0", vec![member("a", 0, node.addr)]);
    let edge = "[snmp]\nlisten = \"127.0.0.1:0\"\ncommunity = \"public\"\n";
    let coordinator = Bed::default().start(discovery.addr, edge);
    ready(&coordinator);
    for _ in 0..3 {
        assert_eq!(query(coordinator.listen, "tag-lookup", &[0]).unwrap().status, 200);
    }
    let name = ObjectIdentifier::new(vec![1, 3, 6, 1, 4, 1, 32473, 1, 1, 6, 0]).unwrap();
    let variable_bindings = vec![VarBind { name, value: VarBindValue::Unspecified }];
    let pdu = Pdu { request_id: 1, error_status: 0, error_index: 0, variable_bindings };
    let data = Pdus::GetRequest(GetRequest(pdu));
    let asked = rasn::ber::encode(&Message { version: 1.into(), community: b"public".to_vec().into(), data });
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    socket.send_to(b"nonsense", coordinator.snmp.unwrap()).unwrap();
    socket.send_to(&asked.unwrap(), coordinator.snmp.unwrap()).unwrap();
    let mut buf = [0; 1500];
    let (size, _) = socket.recv_from(&mut buf).unwrap();
    let Pdus::Response(got) = rasn::ber::decode::<Message<Pdus>>(&buf[..size]).unwrap().data else {
        panic!("no response");
    };
    let text = format!("{:?}", got.0.variable_bindings[0].value);
    assert!(text.contains("Counter64(3)"), "{text}");
    assert_eq!(coordinator.core.counters.answers_whole.load(Ordering::SeqCst), 3);
}
