use super::*;
use crate::settings;
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const BACKSTOP: Nanos = 6 * MS;
const NAME_REST: Nanos = 3 * MS;

fn engine() -> Engine {
    Engine::new(info(3), 7, BACKSTOP, NAME_REST).unwrap()
}

/// Settings with so many attempts for a part.
fn info(attempts: u32) -> Deployment {
    let class = |name: &str| {
        format!(
            r#"{{"name":"{name}","aim_ns":500000000,"deadline_ns":2000000000,"effect":"idempotent","importance":1,"late_worth":0.3}}"#
        )
    };
    let text = format!(
        r#"{{"balancers":1,"classes":[{},{},{}],"discovery":"on_request","domain":{{"batch":2,"overhead_ns":1000,
        "class_floor":[1,0.5,1],"class_partial":[0.9,0.8,0.9],"complete_from":[1,1,1],"in_a_row":2,"positions":3,
        "ranges":6,"second_step":[0,0,2]}},"limits":{{"cancel":true,"max_attempts":{attempts},"max_open":60,"probes":true,
        "may_duplicate":true}},"rules":{{"cold_ns":1000000000,"cold_share":0.2,"fall_ns":1000000000,
        "must_ask_in_ns":1000000000,"tip_multiple":2}},"tick_ns":5000000,"zones":["a"]}}"#,
        class("a"),
        class("b"),
        class("c")
    );
    settings::read(&text).unwrap()
}

fn member(n: u32, phase: EndpointState) -> Endpoint {
    Endpoint {
        name: format!("s{n}"),
        partition_group: n % 3,
        started_at: 0,
        capacity: 1.0,
        state: phase,
        zone: Some("a".into()),
    }
}

fn ask(class: usize, shards: &[u32], valid_until: Nanos) -> QueryRequest {
    let weight = 1.0 / shards.len() as f64;
    let parts = shards.iter().map(|&s| (ShardId(s), weight)).collect();
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let name = format!("q{}", NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed));
    QueryRequest {
        name,
        class: ClassId(class),
        is_retry: false,
        deadline: valid_until,
        parts,
        text: "t".into(),
        part_texts: Vec::new(),
        validator: ResponseValidator::default(),
        client: ClientLiveness::default(),
    }
}

/// A query with its name, deadline and answers; what is out; what was given.
#[derive(Default)]
struct World {
    now: Nanos,
    asked: BTreeMap<QueryId, (usize, usize, Nanos)>,
    finals: BTreeMap<QueryId, usize>,
    gone: HashSet<QueryId>,
    out: BTreeMap<AttemptId, (ServerId, Dispatch)>,
    phases: BTreeMap<u32, EndpointState>,
    started: usize,
    ended: usize,
    /// The indices of the classes under their present rules.
    classes: [usize; 3],
    /// By the name of a part: how often it was sent.
    sent: BTreeMap<String, u32>,
}

impl World {
    fn act(&mut self, engine: &mut Engine) {
        for command in engine.run(self.now) {
            match command {
                Command::SendCall { server, call } => {
                    let number: u32 = engine.server_name(server)[1..].parse().unwrap();
                    assert!(call.len() <= 2, "more parts than a call carries");
                    for d in call {
                        assert_eq!(
                            self.phases[&number],
                            EndpointState::Active,
                            "sent to a data node that drains"
                        );
                        let held = (0..2).any(|j| (d.part.shard.0 + j) % 3 == number % 3);
                        assert!(held, "sent to a data node without the shard");
                        assert!(d.deadline > self.now);
                        let sent = self.sent.entry(d.part.name.clone()).or_default();
                        *sent += 1;
                        let part = &engine.parts[&engine.attempts[&d.attempt].part];
                        let class = engine.open[&part.query].class;
                        assert!(
                            *sent <= engine.info.settings.classes[class.0].max_attempts,
                            "sent too often"
                        );
                        assert!(self.out.insert(d.attempt, (server, d)).is_none());
                    }
                }
                Command::CancelAttempt { attempt, .. } => {
                    let dropped = self.out.remove(&attempt);
                    assert!(dropped.is_none_or(|o| !o.1.cancellation.is_active()), "sent on after its end");
                }
                Command::FinishQuery { query, outcome: answer } => {
                    *self.finals.entry(query).or_default() += 1;
                    let (class, parts, until) = self.asked[&query];
                    assert!(self.now <= until + BACKSTOP, "answered late");
                    if let QueryOutcome::Answered { complete: whole, rows, .. } = answer {
                        let needed = if class == 2 { parts.min(2) } else { parts };
                        assert!(!whole || rows.len() == needed, "marked whole that is not");
                        assert!(2 * rows.len() >= needed && (class == 1 || rows.len() == needed));
                        assert!(rows.iter().all(|r| *r.data == *format!("v{}", r.shard.0)));
                    }
                }
                Command::ForgetServer { server } => {
                    assert!(self.out.values().all(|o| o.0 != server), "forgotten with parts out");
                    assert_eq!(engine.server_name(server), "");
                }
                Command::RecordAttempt(AttemptEvent::Started { .. }) => self.started += 1,
                Command::RecordAttempt(AttemptEvent::Ended { .. }) => self.ended += 1,
                Command::CheckHealth { .. } | Command::CloseIdleConnections { .. } => {}
            }
        }
        assert_eq!(
            self.started - self.ended,
            engine.in_flight_attempts(),
            "an attempt is booked twice or not at all"
        );
        for (_, d) in self.out.values() {
            assert!(d.cancellation.is_active(), "an attempt that is out is wanted");
        }
        let out: HashSet<AttemptId> = self.out.keys().copied().collect();
        assert_eq!(engine.in_flight_attempts(), out.len(), "attempts without an end");
    }

    fn step(&mut self, engine: &mut Engine, kind: u8, pick: usize) {
        match kind {
            0..=2 => {
                let id = QueryId(self.asked.len() as u64);
                let shards: Vec<u32> = (0..1 + pick as u32 % 5).collect();
                let until = self.now + (1 + pick as Nanos % 2000) * MS;
                if engine.submit(self.now, id, ask(self.classes[pick % 3], &shards, until)).is_ok() {
                    self.asked.insert(id, (pick % 3, shards.len(), until));
                }
            }
            3..=8 => {
                let Some((&id, _)) = self.out.iter().nth(pick % self.out.len().max(1)) else { return };
                let (_, dispatch) = self.out.remove(&id).unwrap();
                assert!(dispatch.cancellation.is_active());
                let outcomes = [
                    Outcome::Success,
                    Outcome::Success,
                    Outcome::Success,
                    Outcome::ServerError,
                    Outcome::ConnectionReset,
                ];
                let outcome = outcomes[pick / 7 % outcomes.len()];
                let data = format!("v{}", dispatch.part.shard.0).into();
                let value = Some(Value { score: pick as u64, data }).filter(|_| outcome == Outcome::Success);
                engine.attempt_ended(self.now, id, outcome, value.clone());
                // A second word on it is not heard.
                engine.attempt_ended(self.now, id, Outcome::ConnectionReset, value);
            }
            9 => {
                let number = pick as u32 % 6;
                let phase = [
                    EndpointState::Active,
                    EndpointState::Active,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][pick / 7 % 4];
                self.phases.insert(number, phase);
                engine.update_endpoints(EndpointUpdateKind::Delta, &[member(number, phase)]);
            }
            10 => {
                let id = QueryId(pick as u64 % self.asked.len().max(1) as u64);
                if self.asked.contains_key(&id) && !self.finals.contains_key(&id) {
                    self.gone.insert(id);
                    engine.client_disconnected(id);
                }
            }
            11 => drop(engine.update_endpoints(EndpointUpdateKind::Delta, &[])),
            15 => {
                let before = engine.info.class_names.len();
                let info = engine.update_settings(info(1 + pick as u32 % 3));
                assert!(
                    info.class_names.len() >= before && info.class_names.len() <= 9,
                    "classes are found again"
                );
                self.classes = ["a", "b", "c"].map(|name| info.class_named(name).unwrap().0);
            }
            _ => return self.pass(engine, pick as Nanos % 300 * MS),
        }
        self.act(engine);
    }

    fn pass(&mut self, engine: &mut Engine, span: Nanos) {
        let end = self.now + span;
        while let Some(at) = engine.next_deadline().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.act(engine);
        }
        self.now = end;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens in whatever order: each query gets exactly one honest answer in time, each
    /// attempt one end, and nothing is sent where it may not be.
    #[test]
    fn every_query_gets_one_answer(steps in proptest::collection::vec((0..16u8, any::<usize>()), 0..150)) {
        let mut engine = engine();
        let mut world = World { now: MS, classes: [0, 1, 2], ..World::default() };
        let all: Vec<Endpoint> = (0..6).map(|n| member(n, EndpointState::Active)).collect();
        world.phases = (0..6).map(|n| (n, EndpointState::Active)).collect();
        engine.update_endpoints(EndpointUpdateKind::Snapshot, &all);
        world.act(&mut engine);
        for (kind, pick) in steps {
            world.step(&mut engine, kind, pick);
        }
        world.pass(&mut engine, 10_000 * MS);
        for id in world.asked.keys() {
            let finals = world.finals.get(id).copied().unwrap_or(0);
            prop_assert_eq!(finals, usize::from(!world.gone.contains(id)), "{:?}", id);
        }
        prop_assert_eq!((engine.open_queries(), engine.in_flight_attempts()), (0, 0));
    }
}

/// The guarantee that does not rest on the module: it never hears its timers here.
#[test]
fn a_silent_module_is_overruled_in_time() {
    let mut engine = engine();
    engine.update_endpoints(EndpointUpdateKind::Snapshot, &[member(0, EndpointState::Active)]);
    engine.submit(MS, QueryId(1), ask(0, &[0], 100 * MS)).unwrap();
    engine.run(MS);
    engine.wakes.clear();
    engine.limits.clear();
    assert_eq!(engine.next_deadline(), Some(100 * MS + BACKSTOP));
    let commands = engine.run(100 * MS + BACKSTOP);
    let finals =
        commands.iter().filter(|c| matches!(c, Command::FinishQuery { outcome: QueryOutcome::Failed, .. }));
    assert_eq!((finals.count(), engine.open_queries(), engine.in_flight_attempts()), (1, 0, 0));
}

/// Guards against growth over a long day on which data nodes are replaced: each is forgotten once it is
/// gone and nothing of it is out, and its id is not given again.
#[test]
fn data_nodes_that_are_gone_are_forgotten() {
    let mut engine = engine();
    let held = || ask(0, &[0], 1000 * MS);
    for n in 0..100 {
        engine.update_endpoints(EndpointUpdateKind::Delta, &[member(3 * n, EndpointState::Active)]);
        engine.submit(MS, QueryId(u64::from(n)), held()).unwrap();
        let sent = engine.run(MS);
        let Some(Command::SendCall { server, call }) =
            sent.iter().find(|c| matches!(c, Command::SendCall { .. }))
        else {
            panic!("{sent:?}")
        };
        assert_eq!(*server, ServerId(n));
        engine.update_endpoints(EndpointUpdateKind::Delta, &[member(3 * n, EndpointState::Removed)]);
        assert!(engine.run(MS).iter().all(|c| !matches!(c, Command::ForgetServer { .. })), "a part is out");
        engine.attempt_ended(MS, call[0].attempt, Outcome::ServerError, None);
        engine.client_disconnected(QueryId(u64::from(n)));
        engine.run(MS);
        // A change that does not name it, and one that does: it is not met again.
        engine.update_endpoints(EndpointUpdateKind::Delta, &[]);
        engine.update_endpoints(EndpointUpdateKind::Delta, &[member(3 * n, EndpointState::Removed)]);
        assert!(engine.run(MS).contains(&Command::ForgetServer { server: *server }));
        assert_eq!(engine.known_servers(), 0);
    }
    assert_eq!(engine.policy.servers(), 0);
}

#[test]
fn what_cannot_be_taken_is_rejected() {
    let mut engine = engine();
    let all: Vec<u32> = (0..6).collect();
    let try_ask = |engine: &mut Engine, id, ask| engine.submit(MS, QueryId(id), ask);
    assert_eq!(try_ask(&mut engine, 0, ask(9, &[0], MS * 9)), Err(RejectReason::UnknownClass));
    assert_eq!(try_ask(&mut engine, 0, ask(0, &[], MS * 9)), Err(RejectReason::InvalidParts));
    assert_eq!(try_ask(&mut engine, 0, ask(0, &[1, 1], MS * 9)), Err(RejectReason::InvalidParts));
    assert_eq!(try_ask(&mut engine, 0, ask(0, &[6], MS * 9)), Err(RejectReason::InvalidParts));
    assert_eq!(try_ask(&mut engine, 0, ask(0, &[0], MS)), Err(RejectReason::DeadlinePassed));
    let weighted = |weights: &[f64]| {
        let parts = (0..).zip(weights).map(|(s, &w)| (ShardId(s), w)).collect();
        QueryRequest { parts, ..ask(0, &[0], MS * 9) }
    };
    for bad in [&[0.5, 0.4][..], &[1.5, -0.5], &[0.0, 1.0], &[f64::NAN], &[f64::INFINITY], &[2.0]] {
        assert_eq!(try_ask(&mut engine, 0, weighted(bad)), Err(RejectReason::InvalidParts), "{bad:?}");
    }
    let taken = (0..20).filter(|&id| try_ask(&mut engine, id, ask(0, &all, MS * 9)).is_ok()).count();
    assert_eq!(taken, 60 / 7);
}

fn sends(commands: &[Command]) -> Vec<Dispatch> {
    let call = |c: &Command| match c {
        Command::SendCall { call, .. } => call.clone(),
        _ => Vec::new(),
    };
    commands.iter().flat_map(call).collect()
}

/// Guards against answering with a value that its front cannot use: the attempt is as one that may have run,
/// another replica is tried, and each part carries its own text.
#[test]
fn a_value_that_is_not_accepted_is_tried_elsewhere() {
    let mut engine = engine();
    engine.update_endpoints(
        EndpointUpdateKind::Snapshot,
        &(0..6).map(|n| member(n, EndpointState::Active)).collect::<Vec<_>>(),
    );
    let accept = ResponseValidator::new(|shard, value| *value.data == *format!("v{}", shard.0));
    let asked = QueryRequest {
        part_texts: vec!["a".into(), "b".into()],
        validator: accept,
        ..ask(0, &[0, 1], 1000 * MS)
    };
    engine.submit(MS, QueryId(1), asked).unwrap();
    let sent = sends(&engine.run(MS));
    let texts: Vec<&str> = sent.iter().map(|d| &*d.part.text).collect();
    assert_eq!(texts, ["a", "b"]);
    let value = |data: &str| Some(Value { score: 0, data: data.into() });
    assert_eq!(
        engine.attempt_ended(2 * MS, sent[0].attempt, Outcome::Success, value("v9")),
        Outcome::MalformedResponse
    );
    assert_eq!(
        engine.attempt_ended(2 * MS, sent[1].attempt, Outcome::Success, value("v1")),
        Outcome::Success
    );
    let mut again = sends(&engine.run(2 * MS));
    while again.is_empty() {
        let due = engine.next_deadline().unwrap();
        again = sends(&engine.run(due));
    }
    assert_eq!((again.len(), again[0].part.shard), (1, ShardId(0)));
    let now = engine.now;
    engine.attempt_ended(now, again[0].attempt, Outcome::Success, value("v0"));
    let last = engine.run(now);
    assert!(last.iter().any(|c| matches!(
        c,
        Command::FinishQuery { outcome: QueryOutcome::Answered { complete: true, .. }, .. }
    )));
}

/// A data node that is new or has started anew may have older data: its shards are told, once.
#[test]
fn shards_whose_holders_start_anew_are_told() {
    let mut engine = engine();
    let at = |n, started_at| Endpoint { started_at, ..member(n, EndpointState::Active) };
    // Of three cells in rows of two, cell 1 holds shards 0, 1, 3 and 4.
    let shards = [0, 1, 3, 4].map(ShardId).to_vec();
    assert_eq!(engine.update_endpoints(EndpointUpdateKind::Delta, &[at(1, 5)]), shards);
    assert_eq!(engine.update_endpoints(EndpointUpdateKind::Delta, &[at(1, 5)]), []);
    assert_eq!(engine.update_endpoints(EndpointUpdateKind::Delta, &[at(1, 6)]), shards);
    assert_eq!(engine.update_endpoints(EndpointUpdateKind::Delta, &[]), []);
}

/// Guards against two open queries of one name, whose answers could not be told apart; rounded weights
/// are taken.
#[test]
fn a_name_is_taken_until_its_query_ends() {
    let mut engine = engine();
    let one = QueryRequest { parts: (0..3).map(|s| (ShardId(s), 0.3333)).collect(), ..ask(0, &[0], MS * 9) };
    assert_eq!(engine.submit(MS, QueryId(0), one.clone()), Ok(()));
    assert_eq!(engine.submit(MS, QueryId(1), one.clone()), Err(RejectReason::DuplicateName));
    engine.client_disconnected(QueryId(0));
    // Late answers may still come.
    assert_eq!(engine.submit(2 * MS, QueryId(2), one.clone()), Err(RejectReason::DuplicateName));
    assert_eq!(engine.submit(MS + NAME_REST, QueryId(3), one), Ok(()));
}

/// Guards the process's end: what is held and what comes is ended by then, whatever time its client gives.
#[test]
fn nothing_is_held_beyond_the_end() {
    let mut engine = engine();
    engine.submit(0, QueryId(1), ask(0, &[0, 1], 2000 * MS)).unwrap();
    engine.run(0);
    engine.shut_down_by(50 * MS);
    engine.submit(MS, QueryId(2), ask(1, &[2], 2000 * MS)).unwrap();
    let ended =
        |commands: Vec<Command>| commands.iter().filter(|c| matches!(c, Command::FinishQuery { .. })).count();
    let mut done = 0;
    for now in 0..60 {
        done += ended(engine.run(now * MS));
    }
    assert_eq!((done, engine.open_queries()), (2, 0));
    assert_eq!(
        engine.submit(60 * MS, QueryId(3), ask(0, &[0], 2000 * MS)),
        Err(RejectReason::DeadlinePassed)
    );
}
