//! Hosts the instances of the simulated coordinators; each has its own policy, ids and names.

use std::collections::{BTreeMap, HashMap};

use base64::Engine;
use curlewdeck::api::{ClassId, EndpointUpdateKind, Event, KeyId, PartId, QueryId, ShardId, TenantId};
use curlewdeck::settings::{self, Deployment};
use curlewdeck::Policy;

use crate::instance::{Instance, OpenQuery};
use crate::subscriber::Subscriber;
use crate::wire::{self, message, Fields, TIMER_REMINDER};

/// Maximum number of endpoint lists registered at the same time.
const MAX_ENDPOINT_LISTS: usize = 16;

/// One entry of a registered endpoint list, with names that each instance maps to its own ids.
#[derive(Clone)]
pub(crate) struct ListedEndpoint {
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
    endpoint_lists: [Option<Vec<ListedEndpoint>>; MAX_ENDPOINT_LISTS],
    /// The list being registered and the number of entries still to be read for it.
    registering: Option<(usize, usize)>,
    /// Simulated time of the current batch in nanoseconds; `None` between batches.
    clock: Option<u64>,
    /// Coordinators with an event in this batch, ordered by their first event.
    round_order: Vec<u32>,
}

impl Host {
    /// Handles one input line. At the end of a batch, appends the batch's actions to `reply` and returns `true`.
    pub(crate) fn handle_line(&mut self, text: &str, reply: &mut String) -> Result<bool, String> {
        let mut fields = Fields::new(text);
        if let Some((list, remaining)) = self.registering {
            self.read_list_entry(&mut fields, list)?;
            self.registering = if remaining > 1 { Some((list, remaining - 1)) } else { None };
            return Ok(false);
        }
        if self.clock.is_none() {
            self.begin_batch(&mut fields)?;
            return Ok(false);
        }
        if fields.name() == message::BATCH_END {
            fields.end()?;
            self.run_rounds(reply);
            return Ok(true);
        }
        self.handle_message(&mut fields)?;
        Ok(false)
    }

    fn begin_batch(&mut self, fields: &mut Fields) -> Result<(), String> {
        if fields.name() != message::BATCH_BEGIN {
            return Err(format!("expected 'mark', found '{}'", fields.name()));
        }
        self.clock = Some(fields.number("the clock")?);
        fields.end()
    }

    fn handle_message(&mut self, fields: &mut Fields) -> Result<(), String> {
        match fields.name() {
            message::REGISTER_LIST => self.register_list(fields),
            message::ADD_COORDINATOR => self.add_coordinator(fields),
            message::REMOVE_COORDINATOR => self.remove_coordinator(fields),
            message::QUERY_OR_PART => self.query_or_part_arrived(fields),
            message::ATTEMPT_ENDED => self.attempt_ended(fields),
            message::LIST_CHANGED => self.list_changed(fields),
            message::CLIENT_DISCONNECTED => self.client_disconnected(fields),
            message::REMINDER => self.reminder_fired(fields),
            message::HEALTH_CHECKED => self.health_checked(fields),
            message::RESPONSE_BEGUN => self.response_begun(fields),
            message::PEER_MESSAGE => self.peer_message(fields),
            other => Err(format!("unknown message '{other}'")),
        }
    }

    fn remove_coordinator(&mut self, fields: &mut Fields) -> Result<(), String> {
        let coordinator: u32 = fields.number("mixer")?;
        fields.end()?;
        self.instances.remove(&coordinator).map(drop).ok_or_else(|| unknown_coordinator(coordinator))
    }

    fn client_disconnected(&mut self, fields: &mut Fields) -> Result<(), String> {
        let instance = self.instance(fields)?;
        let query = QueryId(fields.number("txn")?);
        fields.end()?;
        instance.close(query);
        instance.events.push(Event::ClientDisconnected(query));
        Ok(())
    }

    fn reminder_fired(&mut self, fields: &mut Fields) -> Result<(), String> {
        let instance = self.instance(fields)?;
        let nonce = fields.text("nonce")?;
        fields.end()?;
        if nonce == TIMER_REMINDER {
            instance.events.push(Event::TimerFired);
        }
        Ok(())
    }

    /// Checks the syntax of a message about the beginning of a response. The policy has no event for it.
    fn response_begun(&mut self, fields: &mut Fields) -> Result<(), String> {
        self.instance(fields)?;
        fields.number::<u32>("txn")?;
        fields.number::<u32>("trial")?;
        fields.text("searcher")?;
        fields.number::<u64>("latency_ns")?;
        fields.end()
    }

    /// Checks the syntax of a message between coordinators. The policy neither sends nor handles such messages.
    fn peer_message(&mut self, fields: &mut Fields) -> Result<(), String> {
        self.instance(fields)?;
        fields.number::<u32>("from")?;
        if let Some(text) = fields.optional("msg")? {
            let decoded = base64::engine::general_purpose::STANDARD.decode(text);
            decoded.map_err(|_| "inbox: expected base64 with padding".to_string())?;
        }
        fields.end()
    }

    /// Fails if the input ended inside a batch.
    pub(crate) fn check_input_end(&self) -> Result<(), String> {
        match self.clock {
            None => Ok(()),
            Some(_) => Err("input ended inside a batch, expected 'eob'".to_string()),
        }
    }

    /// Reads the coordinator field and adds its instance to the rounds of this batch.
    fn instance(&mut self, fields: &mut Fields) -> Result<&mut Instance, String> {
        let coordinator: u32 = fields.number("mixer")?;
        let instance =
            self.instances.get_mut(&coordinator).ok_or_else(|| unknown_coordinator(coordinator))?;
        if !instance.in_round {
            instance.in_round = true;
            self.round_order.push(coordinator);
        }
        Ok(instance)
    }

    fn register_list(&mut self, fields: &mut Fields) -> Result<(), String> {
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

    fn read_list_entry(&mut self, fields: &mut Fields, list: usize) -> Result<(), String> {
        if fields.name() != "m" {
            return Err(format!("expected an entry 'm', found '{}'", fields.name()));
        }
        let partition_group = fields.number("position")?;
        let started_at = fields.optional_number("started_at_ns")?.unwrap_or(0);
        let zone = fields.optional("area")?.map(str::to_string);
        fields.optional("type")?;
        let capacity = fields.optional_number("rating")?.unwrap_or(1.0);
        let state = wire::endpoint_state(fields.text("phase")?)?;
        let server_name = fields.text("searcher")?.to_string();
        fields.end()?;
        let endpoint = ListedEndpoint { server_name, partition_group, started_at, capacity, state, zone };
        if let Some(endpoints) = &mut self.endpoint_lists[list] {
            endpoints.push(endpoint);
        }
        Ok(())
    }

    fn add_coordinator(&mut self, fields: &mut Fields) -> Result<(), String> {
        let coordinator: u32 = fields.number("mixer")?;
        let salt: u64 = fields.number("salt")?;
        let deployment = settings::parse(fields.rest("info")?).map_err(|e| format!("enlist: {e}"))?;
        let Deployment { settings, class_names, tenant_names, zone_names, .. } = deployment;
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
            open_queries: HashMap::new(),
            events: Vec::new(),
            in_round: true,
        };
        self.instances.insert(coordinator, instance);
        self.round_order.retain(|&m| m != coordinator);
        self.round_order.push(coordinator);
        Ok(())
    }

    fn list_changed(&mut self, fields: &mut Fields) -> Result<(), String> {
        let coordinator: u32 = fields.number("mixer")?;
        let change = ListChange::read(fields.text("kind")?)?;
        fields.optional_number::<u64>("stamp")?;
        let list: Option<usize> = fields.optional_number("set_id")?;
        fields.end()?;
        let endpoints = registered_endpoints(&self.endpoint_lists, change, list)?;
        let instance =
            self.instances.get_mut(&coordinator).ok_or_else(|| unknown_coordinator(coordinator))?;
        if !instance.in_round {
            instance.in_round = true;
            self.round_order.push(coordinator);
        }
        let now = self.clock.unwrap_or(0);
        let kind = match change {
            ListChange::Failed => {
                instance.subscriber.call_failed(now);
                return Ok(());
            }
            ListChange::Unconfirmed => EndpointUpdateKind::Snapshot,
            ListChange::Update(kind) => {
                instance.subscriber.update_received(now);
                kind
            }
        };
        let records = endpoints.iter().map(|endpoint| instance.endpoint_record(endpoint)).collect();
        instance.events.push(Event::EndpointsUpdated { kind, records });
        Ok(())
    }

    fn query_or_part_arrived(&mut self, fields: &mut Fields) -> Result<(), String> {
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
            instance.open_queries.insert(query, OpenQuery { request_number, answers_left });
            let is_retry = bitmap & 2 != 0;
            let tenant = tenant.map(TenantId);
            instance.events.push(Event::QueryArrived { id: query, class, tenant, key, is_retry, deadline });
        } else if let Some(&query) = instance.queries_by_request.get(&request_number) {
            let shard = ShardId(range as u32);
            instance.events.push(Event::PartArrived { id: PartId(id), query, shard, weight: amount });
        }
        Ok(())
    }

    fn attempt_ended(&mut self, fields: &mut Fields) -> Result<(), String> {
        let instance = self.instance(fields)?;
        let part = PartId(fields.number("txn")?);
        let outcome = wire::outcome(fields.text("outcome")?)?;
        let latency = fields.number("latency_ns")?;
        let attempt = fields.number("trial")?;
        fields.bool("finished")?;
        let server = instance.server_id(fields.text("searcher")?);
        fields.optional("metrics")?.map_or(Ok(()), wire::check_load)?;
        fields.end()?;
        instance.events.push(Event::AttemptEnded { part, attempt, server, outcome, latency });
        Ok(())
    }

    fn health_checked(&mut self, fields: &mut Fields) -> Result<(), String> {
        let instance = self.instance(fields)?;
        let latency = fields.number("latency_ns")?;
        let outcome = wire::outcome(fields.text("outcome")?)?;
        let server = instance.server_id(fields.text("searcher")?);
        fields.optional("metrics")?.map_or(Ok(()), wire::check_load)?;
        fields.end()?;
        instance.events.push(Event::HealthChecked { server, outcome, latency });
        Ok(())
    }

    /// Ends the batch: runs one policy round for each instance with an event and appends the actions to `reply`.
    fn run_rounds(&mut self, reply: &mut String) {
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

/// Change of the endpoint list that a `backends_changed` message reports.
#[derive(Debug, Clone, Copy)]
enum ListChange {
    /// A complete list or a delta received from discovery.
    Update(EndpointUpdateKind),
    /// The list stored before the start, not yet confirmed by discovery.
    Unconfirmed,
    /// A discovery call failed, or the subscription was dropped.
    Failed,
}

impl ListChange {
    fn read(kind: &str) -> Result<Self, String> {
        match kind {
            "diff" => Ok(Self::Update(EndpointUpdateKind::Delta)),
            "snapshot" => Ok(Self::Update(EndpointUpdateKind::Snapshot)),
            "disk" => Ok(Self::Unconfirmed),
            "error" => Ok(Self::Failed),
            other => Err(format!("backends_changed: unknown kind '{other}'")),
        }
    }
}

/// Returns the endpoints of the registered list that a change refers to; empty for [`ListChange::Failed`].
fn registered_endpoints(
    lists: &[Option<Vec<ListedEndpoint>>; MAX_ENDPOINT_LISTS],
    change: ListChange,
    list: Option<usize>,
) -> Result<&[ListedEndpoint], String> {
    match (change, list) {
        (ListChange::Failed, _) => Ok(&[]),
        (_, Some(n)) => {
            let endpoints = lists.get(n).and_then(Option::as_deref);
            endpoints.ok_or_else(|| format!("backends_changed: list {n} is not registered"))
        }
        (_, None) => Err("backends_changed: expected set_id, found '-'".to_string()),
    }
}

fn unknown_coordinator(coordinator: u32) -> String {
    format!("instance {coordinator} has not been enlisted")
}
