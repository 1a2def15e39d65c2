//! Hosts the instances of one process: each has its own module, ids and names.

use std::collections::{BTreeMap, HashMap};

use base64::Engine;
use curlewdeck::api::{ClassId, EndpointUpdateKind, Event, KeyId, PartId, QueryId, ShardId, TenantId};
use curlewdeck::settings::{self, Deployment};
use curlewdeck::Policy;

use crate::instance::{Instance, Open};
use crate::subscriber::Subscriber;
use crate::wire::{self, message, Fields, TIMER_REMINDER};

/// Endpoint lists that the simulator may register at once.
const MAX_LISTS: usize = 16;

/// One record of a registered endpoint list, not yet tied to the ids of an instance.
#[derive(Clone)]
pub(crate) struct EndpointLine {
    pub(crate) server_name: String,
    pub(crate) partition_group: u32,
    pub(crate) started_at: u64,
    pub(crate) capacity: f64,
    pub(crate) state: curlewdeck::api::EndpointState,
    pub(crate) zone: Option<String>,
}

#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u32, Instance>,
    endpoint_lists: [Option<Vec<EndpointLine>>; MAX_LISTS],
    registering: Option<(usize, usize)>,
    clock: Option<u64>,
    /// Instances with an event in this batch, in order of their first one.
    round_order: Vec<u32>,
}

impl Host {
    /// Takes one line; true once a batch is complete and its reply written to `reply`.
    pub(crate) fn take_line(&mut self, text: &str, reply: &mut String) -> Result<bool, String> {
        let mut fields = Fields::new(text);
        if let Some((list, left)) = self.registering {
            self.read_record(&mut fields, list)?;
            self.registering = if left > 1 { Some((list, left - 1)) } else { None };
            return Ok(false);
        }
        if self.clock.is_none() {
            self.begin_batch(&mut fields)?;
            return Ok(false);
        }
        if fields.name() == message::BATCH_END {
            fields.end()?;
            self.reply(reply);
            return Ok(true);
        }
        self.take_message(&mut fields)?;
        Ok(false)
    }

    fn begin_batch(&mut self, fields: &mut Fields) -> Result<(), String> {
        if fields.name() != message::BATCH_BEGIN {
            return Err(format!("expected 'mark', found '{}'", fields.name()));
        }
        self.clock = Some(fields.number("the clock")?);
        fields.end()
    }

    fn take_message(&mut self, fields: &mut Fields) -> Result<(), String> {
        match fields.name() {
            message::REGISTER_LIST => self.register(fields),
            message::ADD_COORDINATOR => self.enlist(fields),
            message::REMOVE_COORDINATOR => self.destroy(fields),
            message::QUERY_OR_PART => self.inbound(fields),
            message::ATTEMPT_ENDED => self.closed_attempt(fields),
            message::LIST_CHANGED => self.backends_changed(fields),
            message::CLIENT_DISCONNECTED => self.client_gone(fields),
            message::REMINDER => self.reminder(fields),
            message::HEALTH_CHECKED => self.pong(fields),
            message::RESPONSE_BEGUN => self.head_received(fields),
            message::PEER_MESSAGE => self.inbox(fields),
            other => Err(format!("unknown message '{other}'")),
        }
    }

    fn destroy(&mut self, fields: &mut Fields) -> Result<(), String> {
        let coordinator: u32 = fields.number("mixer")?;
        fields.end()?;
        self.instances.remove(&coordinator).map(drop).ok_or_else(|| unknown(coordinator))
    }

    fn client_gone(&mut self, fields: &mut Fields) -> Result<(), String> {
        let instance = self.instance(fields)?;
        let query = QueryId(fields.number("txn")?);
        fields.end()?;
        instance.close(query);
        instance.events.push(Event::ClientDisconnected(query));
        Ok(())
    }

    fn reminder(&mut self, fields: &mut Fields) -> Result<(), String> {
        let instance = self.instance(fields)?;
        let nonce = fields.text("nonce")?;
        fields.end()?;
        if nonce == TIMER_REMINDER {
            instance.events.push(Event::TimerFired);
        }
        Ok(())
    }

    /// No decision rests on the beginning of a response: it is checked for its form alone.
    fn head_received(&mut self, fields: &mut Fields) -> Result<(), String> {
        self.instance(fields)?;
        fields.number::<u32>("txn")?;
        fields.number::<u32>("trial")?;
        fields.text("searcher")?;
        fields.number::<u64>("latency_ns")?;
        fields.end()
    }

    /// Coordinators send each other nothing: a message is checked for its form alone.
    fn inbox(&mut self, fields: &mut Fields) -> Result<(), String> {
        self.instance(fields)?;
        fields.number::<u32>("from")?;
        if let Some(text) = fields.optional("msg")? {
            let read = base64::engine::general_purpose::STANDARD.decode(text);
            read.map_err(|_| "inbox: expected base64 with padding".to_string())?;
        }
        fields.end()
    }

    /// Checks that input ended between batches.
    pub(crate) fn at_end(&self) -> Result<(), String> {
        match self.clock {
            None => Ok(()),
            Some(_) => Err("input ended inside a batch, expected 'eob'".to_string()),
        }
    }

    fn instance(&mut self, fields: &mut Fields) -> Result<&mut Instance, String> {
        let coordinator: u32 = fields.number("mixer")?;
        let instance = self.instances.get_mut(&coordinator).ok_or_else(|| unknown(coordinator))?;
        if !instance.in_round {
            instance.in_round = true;
            self.round_order.push(coordinator);
        }
        Ok(instance)
    }

    fn register(&mut self, fields: &mut Fields) -> Result<(), String> {
        let list: usize = fields.number("set_id")?;
        let count: usize = fields.number("the number of hosts")?;
        fields.end()?;
        let slot = self.endpoint_lists.get_mut(list).ok_or("register: set_id must lie within 0 and 15")?;
        *slot = Some(Vec::new());
        if count > 0 {
            self.registering = Some((list, count));
        }
        Ok(())
    }

    fn read_record(&mut self, fields: &mut Fields, list: usize) -> Result<(), String> {
        if fields.name() != "m" {
            return Err(format!("expected an entry 'm', found '{}'", fields.name()));
        }
        let partition_group = fields.number("position")?;
        let started_at = fields.optional_number("started_at_ns")?.unwrap_or(0);
        let zone = fields.optional("area")?.map(str::to_string);
        fields.optional("type")?;
        let capacity = fields.optional_number("rating")?.unwrap_or(1.0);
        let state = wire::phase(fields.text("phase")?)?;
        let server_name = fields.text("searcher")?.to_string();
        fields.end()?;
        let record = EndpointLine { server_name, partition_group, started_at, capacity, state, zone };
        if let Some(lines) = &mut self.endpoint_lists[list] {
            lines.push(record);
        }
        Ok(())
    }

    fn enlist(&mut self, fields: &mut Fields) -> Result<(), String> {
        let coordinator: u32 = fields.number("mixer")?;
        let salt: u64 = fields.number("salt")?;
        let read = settings::read(fields.rest("info")?).map_err(|e| format!("enlist: {e}"))?;
        let Deployment { settings, class_names, tenant_names, zone_names, .. } = read;
        let has_second_phase = settings.classes.iter().map(|c| c.second_phase_parts > 0).collect();
        let subscriber = Subscriber::new(&settings, salt, self.clock.unwrap_or(0));
        let policy = Policy::new(settings, salt).map_err(|e| format!("enlist: {e}"))?;
        let instance = Instance {
            policy,
            subscriber,
            class_names,
            has_second_phase,
            tenant_names,
            zone_names,
            server_ids: HashMap::new(),
            server_names: Vec::new(),
            queries_by_request: HashMap::new(),
            open: HashMap::new(),
            events: Vec::new(),
            in_round: true,
        };
        self.instances.insert(coordinator, instance);
        self.round_order.retain(|&m| m != coordinator);
        self.round_order.push(coordinator);
        Ok(())
    }

    fn backends_changed(&mut self, fields: &mut Fields) -> Result<(), String> {
        let coordinator: u32 = fields.number("mixer")?;
        let change = ListChange::read(fields.text("kind")?)?;
        fields.optional_number::<u64>("stamp")?;
        let list: Option<usize> = fields.optional_number("set_id")?;
        fields.end()?;
        let lines = registered_lines(&self.endpoint_lists, change, list)?;
        let instance = self.instances.get_mut(&coordinator).ok_or_else(|| unknown(coordinator))?;
        if !instance.in_round {
            instance.in_round = true;
            self.round_order.push(coordinator);
        }
        let now = self.clock.unwrap_or(0);
        let kind = match change {
            ListChange::Failed => {
                instance.subscriber.failed(now);
                return Ok(());
            }
            ListChange::Unconfirmed => EndpointUpdateKind::Snapshot,
            ListChange::List(kind) => {
                instance.subscriber.heard(now);
                kind
            }
        };
        let records = lines.iter().map(|line| instance.endpoint_record(line)).collect();
        instance.events.push(Event::EndpointsUpdated { kind, records });
        Ok(())
    }

    fn inbound(&mut self, fields: &mut Fields) -> Result<(), String> {
        let instance = self.instance(fields)?;
        let id: u64 = fields.number("txn")?;
        let range: f64 = fields.number("range_no")?;
        let key = fields.optional_number("affinity")?.map(KeyId);
        let request_number = fields.number::<f64>("ask_no")? as u64;
        let billing = fields.optional("billing")?;
        let amount: f64 = fields.optional_number("amount")?.unwrap_or(0.0);
        fields.optional_number::<u64>("hint_ns")?;
        let bitmap: u64 = fields.optional_number("bitmap")?.unwrap_or(0);
        let class = fields.text("tier_class")?;
        let deadline = fields.number("valid_until_ns")?;
        fields.end()?;
        if range < 0.0 {
            let class = instance.class_names.iter().position(|c| c == class);
            let class = ClassId(class.ok_or("inbound: tier_class is not among the classes")?);
            let tenant = instance.tenant_names.iter().position(|t| Some(t.as_str()) == billing);
            let query = QueryId(id);
            let answers_left = if instance.has_second_phase[class.0] { 2 } else { 1 };
            instance.queries_by_request.insert(request_number, query);
            instance.open.insert(query, Open { request_number, answers_left });
            let is_retry = bitmap & 2 != 0;
            let tenant = tenant.map(TenantId);
            instance.events.push(Event::QueryArrived { id: query, class, tenant, key, is_retry, deadline });
        } else if let Some(&query) = instance.queries_by_request.get(&request_number) {
            let shard = ShardId(range as u32);
            instance.events.push(Event::PartArrived { id: PartId(id), query, shard, weight: amount });
        }
        Ok(())
    }

    fn closed_attempt(&mut self, fields: &mut Fields) -> Result<(), String> {
        let instance = self.instance(fields)?;
        let part = PartId(fields.number("txn")?);
        let outcome = wire::outcome(fields.text("outcome")?)?;
        let latency = fields.number("latency_ns")?;
        let attempt = fields.number("trial")?;
        fields.bool("finished")?;
        let server = instance.intern(fields.text("searcher")?);
        fields.optional("metrics")?.map_or(Ok(()), wire::check_load)?;
        fields.end()?;
        instance.events.push(Event::AttemptEnded { part, attempt, server, outcome, latency });
        Ok(())
    }

    fn pong(&mut self, fields: &mut Fields) -> Result<(), String> {
        let instance = self.instance(fields)?;
        let latency = fields.number("latency_ns")?;
        let outcome = wire::outcome(fields.text("outcome")?)?;
        let server = instance.intern(fields.text("searcher")?);
        fields.optional("metrics")?.map_or(Ok(()), wire::check_load)?;
        fields.end()?;
        instance.events.push(Event::HealthChecked { server, outcome, latency });
        Ok(())
    }

    /// One round for each instance with an event.
    fn reply(&mut self, reply: &mut String) {
        let now = self.clock.take().unwrap_or(0);
        for coordinator in std::mem::take(&mut self.round_order) {
            let Some(instance) = self.instances.get_mut(&coordinator) else { continue };
            instance.in_round = false;
            let events = std::mem::take(&mut instance.events);
            for action in instance.policy.round(now, events) {
                instance.write(coordinator, &action, reply);
            }
            instance.call_discovery(now, coordinator, reply);
        }
    }
}

/// What `backends_changed` says of the endpoint list.
#[derive(Debug, Clone, Copy)]
enum ListChange {
    /// A list or a change.
    List(EndpointUpdateKind),
    /// The list as it was held before the start.
    Unconfirmed,
    /// A call has failed, or the subscription has dropped.
    Failed,
}

impl ListChange {
    fn read(kind: &str) -> Result<Self, String> {
        match kind {
            "diff" => Ok(Self::List(EndpointUpdateKind::Delta)),
            "snapshot" => Ok(Self::List(EndpointUpdateKind::Snapshot)),
            "disk" => Ok(Self::Unconfirmed),
            "error" => Ok(Self::Failed),
            other => Err(format!("backends_changed: unknown kind '{other}'")),
        }
    }
}

/// The records of the registered list that a change names; none for a call that failed.
fn registered_lines(
    lists: &[Option<Vec<EndpointLine>>; MAX_LISTS],
    change: ListChange,
    list: Option<usize>,
) -> Result<&[EndpointLine], String> {
    match (change, list) {
        (ListChange::Failed, _) => Ok(&[]),
        (_, Some(n)) => {
            let lines = lists.get(n).and_then(Option::as_deref);
            lines.ok_or_else(|| format!("backends_changed: list {n} is not registered"))
        }
        (_, None) => Err("backends_changed: expected set_id, found '-'".to_string()),
    }
}

fn unknown(coordinator: u32) -> String {
    format!("instance {coordinator} has not been enlisted")
}
