//! Hosts the instances of one process: each has its own module, ids and names.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

use base64::Engine;
use curlewdeck::api::{
    Action, ClassId, EndpointRecord, EndpointUpdateKind, Event, KeyId, PartId, QueryId, ServerId, ShardId,
    TenantId, ZoneId,
};
use curlewdeck::settings::{self, Deployment};
use curlewdeck::Policy;

use crate::subscriber::Subscriber;
use crate::wire::{self, Fields};

const LISTS: usize = 16;
const WAKE: &str = "wake";
/// The reminder of an instance's next call to discovery.
const CALL: &str = "call";

/// One line of a numbered list, not yet tied to an instance's ids.
#[derive(Clone)]
struct Line {
    searcher: String,
    cell: u32,
    started_at: u64,
    rating: f64,
    phase: curlewdeck::api::EndpointState,
    area: Option<String>,
}

struct Instance {
    policy: Policy,
    subscriber: Subscriber,
    classes: Vec<String>,
    second_step: Vec<bool>,
    tenants: Vec<String>,
    zones: Vec<String>,
    /// Ids are given in the order in which this instance meets the names.
    ids: HashMap<String, ServerId>,
    names: Vec<String>,
    asks: HashMap<u64, QueryId>,
    open: HashMap<QueryId, Open>,
    events: Vec<Event>,
    in_round: bool,
}

/// What the adapter must know of a query to tie later parts to it.
struct Open {
    ask: u64,
    answers_left: u8,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: [Option<Vec<Line>>; LISTS],
    filling: Option<(usize, usize)>,
    clock: Option<u64>,
    /// Instances with an event in this batch, in order of their first one.
    order: Vec<u32>,
}

impl Host {
    /// Takes one line; true once a batch is complete and its reply written to `reply`.
    pub fn line(&mut self, text: &str, reply: &mut String) -> Result<bool, String> {
        let mut f = Fields::new(text);
        if let Some((list, left)) = self.filling {
            self.entry(&mut f, list)?;
            self.filling = if left > 1 { Some((list, left - 1)) } else { None };
            return Ok(false);
        }
        if self.clock.is_none() {
            if f.name() != "mark" {
                return Err(format!("expected 'mark', found '{}'", f.name()));
            }
            self.clock = Some(f.number("the clock")?);
            f.end()?;
            return Ok(false);
        }
        match f.name() {
            "eob" => {
                f.end()?;
                self.reply(reply);
                return Ok(true);
            }
            "register" => self.register(&mut f)?,
            "enlist" => self.enlist(&mut f)?,
            "destroy" => {
                let mixer: u32 = f.number("mixer")?;
                f.end()?;
                self.instances.remove(&mixer).ok_or_else(|| unknown(mixer))?;
            }
            "inbound" => self.inbound(&mut f)?,
            "closed_attempt" => self.closed_attempt(&mut f)?,
            "backends_changed" => self.backends_changed(&mut f)?,
            "client_gone" => {
                let instance = self.instance(&mut f)?;
                let query = QueryId(f.number("txn")?);
                f.end()?;
                instance.close(query);
                instance.events.push(Event::ClientDisconnected(query));
            }
            "reminder" => {
                let instance = self.instance(&mut f)?;
                let nonce = f.text("nonce")?;
                f.end()?;
                if nonce == WAKE {
                    instance.events.push(Event::TimerFired);
                }
            }
            "pong" => self.pong(&mut f)?,
            "head_received" => {
                self.instance(&mut f)?;
                f.number::<u32>("txn")?;
                f.number::<u32>("trial")?;
                f.text("searcher")?;
                f.number::<u64>("latency_ns")?;
                f.end()?;
            }
            "inbox" => {
                self.instance(&mut f)?;
                f.number::<u32>("from")?;
                if let Some(text) = f.optional("msg")? {
                    let read = base64::engine::general_purpose::STANDARD.decode(text);
                    read.map_err(|_| "inbox: expected base64 with padding".to_string())?;
                }
                f.end()?;
            }
            other => return Err(format!("unknown message '{other}'")),
        }
        Ok(false)
    }

    /// Checks that input ended between batches.
    pub fn at_end(&self) -> Result<(), String> {
        match self.clock {
            None => Ok(()),
            Some(_) => Err("input ended inside a batch, expected 'eob'".to_string()),
        }
    }

    fn instance(&mut self, f: &mut Fields) -> Result<&mut Instance, String> {
        let mixer: u32 = f.number("mixer")?;
        let instance = self.instances.get_mut(&mixer).ok_or_else(|| unknown(mixer))?;
        if !instance.in_round {
            instance.in_round = true;
            self.order.push(mixer);
        }
        Ok(instance)
    }

    fn register(&mut self, f: &mut Fields) -> Result<(), String> {
        let list: usize = f.number("set_id")?;
        let count: usize = f.number("the number of hosts")?;
        f.end()?;
        let slot = self.lists.get_mut(list).ok_or("register: set_id must lie within 0 and 15")?;
        *slot = Some(Vec::new());
        if count > 0 {
            self.filling = Some((list, count));
        }
        Ok(())
    }

    fn entry(&mut self, f: &mut Fields, list: usize) -> Result<(), String> {
        if f.name() != "m" {
            return Err(format!("expected an entry 'm', found '{}'", f.name()));
        }
        let cell = f.number("position")?;
        let started_at = f.optional_number("started_at_ns")?.unwrap_or(0);
        let area = f.optional("area")?.map(str::to_string);
        f.optional("type")?;
        let rating = f.optional_number("rating")?.unwrap_or(1.0);
        let phase = wire::phase(f.text("phase")?)?;
        let searcher = f.text("searcher")?.to_string();
        f.end()?;
        let line = Line { searcher, cell, started_at, rating, phase, area };
        if let Some(lines) = &mut self.lists[list] {
            lines.push(line);
        }
        Ok(())
    }

    fn enlist(&mut self, f: &mut Fields) -> Result<(), String> {
        let mixer: u32 = f.number("mixer")?;
        let salt: u64 = f.number("salt")?;
        let read = settings::read(f.rest("info")?).map_err(|e| format!("enlist: {e}"))?;
        let Deployment { settings, class_names: classes, tenant_names: tenants, zone_names: zones, .. } =
            read;
        let second_step = settings.classes.iter().map(|c| c.second_phase_parts > 0).collect();
        let subscriber = Subscriber::new(&settings, salt, self.clock.unwrap_or(0));
        let policy = Policy::new(settings, salt).map_err(|e| format!("enlist: {e}"))?;
        let instance = Instance {
            policy,
            subscriber,
            classes,
            second_step,
            tenants,
            zones,
            ids: HashMap::new(),
            names: Vec::new(),
            asks: HashMap::new(),
            open: HashMap::new(),
            events: Vec::new(),
            in_round: true,
        };
        self.instances.insert(mixer, instance);
        self.order.retain(|&m| m != mixer);
        self.order.push(mixer);
        Ok(())
    }

    fn backends_changed(&mut self, f: &mut Fields) -> Result<(), String> {
        let mixer: u32 = f.number("mixer")?;
        let news = match f.text("kind")? {
            "diff" => News::List(EndpointUpdateKind::Delta),
            "snapshot" => News::List(EndpointUpdateKind::Snapshot),
            "disk" => News::BeforeStart,
            "error" => News::Failed,
            other => return Err(format!("backends_changed: unknown kind '{other}'")),
        };
        f.optional_number::<u64>("stamp")?;
        let list: Option<usize> = f.optional_number("set_id")?;
        f.end()?;
        let lines: &[Line] = match (news, list) {
            (News::Failed, _) => &[],
            (_, Some(n)) => {
                let lines = self.lists.get(n).and_then(Option::as_ref);
                lines.ok_or_else(|| format!("backends_changed: list {n} is not registered"))?
            }
            (_, None) => return Err("backends_changed: expected set_id, found '-'".to_string()),
        };
        let instance = self.instances.get_mut(&mixer).ok_or_else(|| unknown(mixer))?;
        if !instance.in_round {
            instance.in_round = true;
            self.order.push(mixer);
        }
        let now = self.clock.unwrap_or(0);
        let kind = match news {
            News::Failed => {
                instance.subscriber.failed(now);
                return Ok(());
            }
            News::BeforeStart => EndpointUpdateKind::Snapshot,
            News::List(kind) => {
                instance.subscriber.heard(now);
                kind
            }
        };
        let mut entries = Vec::with_capacity(lines.len());
        for line in lines {
            entries.push(EndpointRecord {
                server: instance.intern(&line.searcher),
                partition_group: line.cell,
                started_at: line.started_at,
                capacity: line.rating,
                state: line.phase,
                zone: instance.zone(line.area.as_deref()),
            });
        }
        instance.events.push(Event::EndpointsUpdated { kind, records: entries });
        Ok(())
    }

    fn inbound(&mut self, f: &mut Fields) -> Result<(), String> {
        let instance = self.instance(f)?;
        let id: u64 = f.number("txn")?;
        let range: f64 = f.number("range_no")?;
        let key = f.optional_number("affinity")?.map(KeyId);
        let ask = f.number::<f64>("ask_no")? as u64;
        let billing = f.optional("billing")?;
        let amount: f64 = f.optional_number("amount")?.unwrap_or(0.0);
        f.optional_number::<u64>("hint_ns")?;
        let bitmap: u64 = f.optional_number("bitmap")?.unwrap_or(0);
        let class = f.text("tier_class")?;
        let valid_until = f.number("valid_until_ns")?;
        f.end()?;
        if range < 0.0 {
            let class = instance.classes.iter().position(|c| c == class);
            let class = ClassId(class.ok_or("inbound: tier_class is not among the classes")?);
            let tenant = instance.tenants.iter().position(|t| Some(t.as_str()) == billing);
            let query = QueryId(id);
            let answers_left = if instance.second_step[class.0] { 2 } else { 1 };
            instance.asks.insert(ask, query);
            instance.open.insert(query, Open { ask, answers_left });
            let repeated = bitmap & 2 != 0;
            let tenant = tenant.map(TenantId);
            instance.events.push(Event::QueryArrived {
                id: query,
                class,
                tenant,
                key,
                is_retry: repeated,
                deadline: valid_until,
            });
        } else if let Some(&query) = instance.asks.get(&ask) {
            let shard = ShardId(range as u32);
            instance.events.push(Event::PartArrived { id: PartId(id), query, shard, weight: amount });
        }
        Ok(())
    }

    fn closed_attempt(&mut self, f: &mut Fields) -> Result<(), String> {
        let instance = self.instance(f)?;
        let part = PartId(f.number("txn")?);
        let outcome = wire::outcome(f.text("outcome")?)?;
        let latency = f.number("latency_ns")?;
        let attempt = f.number("trial")?;
        f.bool("finished")?;
        let server = instance.intern(f.text("searcher")?);
        f.optional("metrics")?.map_or(Ok(()), wire::check_load)?;
        f.end()?;
        instance.events.push(Event::AttemptEnded { part, attempt, server, outcome, latency });
        Ok(())
    }

    fn pong(&mut self, f: &mut Fields) -> Result<(), String> {
        let instance = self.instance(f)?;
        let latency = f.number("latency_ns")?;
        let outcome = wire::outcome(f.text("outcome")?)?;
        let server = instance.intern(f.text("searcher")?);
        f.optional("metrics")?.map_or(Ok(()), wire::check_load)?;
        f.end()?;
        instance.events.push(Event::HealthChecked { server, outcome, latency });
        Ok(())
    }

    /// One round for each instance with an event.
    fn reply(&mut self, reply: &mut String) {
        let now = self.clock.take().unwrap_or(0);
        for mixer in std::mem::take(&mut self.order) {
            let Some(instance) = self.instances.get_mut(&mixer) else { continue };
            instance.in_round = false;
            let events = std::mem::take(&mut instance.events);
            for action in instance.policy.round(now, events) {
                instance.write(mixer, &action, reply);
            }
            instance.call_discovery(now, mixer, reply);
        }
    }
}

/// What `backends_changed` tells.
#[derive(Debug, Clone, Copy)]
enum News {
    /// A list or a change.
    List(EndpointUpdateKind),
    /// The list as it was held before the start.
    BeforeStart,
    /// A call has failed, or the subscription has dropped.
    Failed,
}

impl Instance {
    /// Begins the call to discovery that is due, or asks for a reminder of it.
    fn call_discovery(&mut self, now: u64, mixer: u32, out: &mut String) {
        if self.subscriber.call_due(now) {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "watch {mixer} 1");
        }
        if let Some(after) = self.subscriber.reminder(now) {
            let _ = writeln!(out, "remind {mixer} {CALL} {after}");
        }
    }

    fn intern(&mut self, name: &str) -> ServerId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = ServerId(self.names.len() as u32);
        self.names.push(name.to_string());
        self.ids.insert(name.to_string(), id);
        id
    }

    /// A zone that the settings do not name is not known.
    fn zone(&self, area: Option<&str>) -> Option<ZoneId> {
        let at = self.zones.iter().position(|z| Some(z.as_str()) == area)?;
        Some(ZoneId(at as u32))
    }

    fn close(&mut self, query: QueryId) {
        if let Some(open) = self.open.remove(&query) {
            self.asks.remove(&open.ask);
        }
    }

    fn write(&mut self, mixer: u32, action: &Action, out: &mut String) {
        // Writing to a string cannot fail.
        let _ = match action {
            Action::StartAttempt { part, server, timeout: within } => {
                let name = &self.names[server.0 as usize];
                writeln!(out, "place {mixer} {} {within} {name}", part.0)
            }
            Action::CancelAttempt { part, attempt } => {
                writeln!(out, "drop_attempt {mixer} {} {attempt}", part.0)
            }
            Action::Answer { query, complete: whole } => {
                match self.open.get_mut(query) {
                    Some(open) if open.answers_left > 1 => open.answers_left -= 1,
                    _ => self.close(*query),
                }
                writeln!(out, "settle_query {mixer} {} {}", query.0, u8::from(*whole))
            }
            Action::Reject { query, retry_after: hold_off } => {
                self.close(*query);
                writeln!(out, "bounce {mixer} {} {hold_off}", query.0)
            }
            Action::Fail { query } => {
                self.close(*query);
                writeln!(out, "error {mixer} {}", query.0)
            }
            Action::CheckHealth { server } => {
                writeln!(out, "health_check {mixer} {}", self.names[server.0 as usize])
            }
            Action::CloseIdleConnections { server } => {
                writeln!(out, "release {mixer} {}", self.names[server.0 as usize])
            }
            Action::SetTimer { after } => writeln!(out, "remind {mixer} {WAKE} {after}"),
        };
    }
}

fn unknown(mixer: u32) -> String {
    format!("instance {mixer} has not been enlisted")
}
