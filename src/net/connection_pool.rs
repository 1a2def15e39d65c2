//! The states of the connections to one data node: pure, so that random steps can be checked against a
//! model. Each attempt handed in ends exactly once, by [`Output::End`] or by [`Input::Drop`].
//!
//! A call is handed to its connection only when that can take its first byte; right then the data node's
//! state and the attempt's time are looked at again. What breaks before a frame's last byte was written
//! never ran (`NoRoute`), what breaks after it may have (`Cut`).

use std::collections::{BTreeMap, VecDeque};

use crate::api::{Nanos, Outcome};
use crate::engine::{AttemptId, Dispatch, Value};
use crate::net::frame::{self, Frame, Reply};

/// A connection, numbered for the life of its data node's actor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What happens to the connections.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A call is to be sent.
    Call(Vec<Dispatch>),
    /// An attempt is given up; its end has been told.
    Drop(AttemptId),
    /// Whether the data node may be sent anything new. What waits ends at once where it may not.
    TakesNew(bool),
    /// The data node is at another address: nothing new goes over the connections that there are.
    AddressChanged,
    /// Connections without work are to be closed.
    CloseIdle,
    /// A probe is to be sent.
    Probe,
    /// A connection is up.
    Up(ConnectionId),
    /// A connection did not come up.
    DialFailed(ConnectionId),
    /// A connection was not even tried: this process holds as many as it may.
    NoSocket(ConnectionId),
    /// The frame last given was written whole.
    Written(ConnectionId),
    /// These of the frame last given were left out of it: they never run.
    LeftOut(ConnectionId, Vec<AttemptId>),
    /// The frame last given was a probe, and it was not written.
    ProbeLeftOut(ConnectionId),
    /// The frame last given could not be written whole; whether some of it was, and may have been read.
    WriteFailed(ConnectionId, bool),
    /// A frame has come.
    Frame(ConnectionId, Reply),
    /// Part of a frame has come.
    Begun(ConnectionId),
    /// What has come cannot be read: the connection is of no more use, its data node may be.
    Spoilt(ConnectionId),
    /// Nothing more will come.
    ReadEnded(ConnectionId),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Open a connection: ends in `Up`, `DialFailed` or `NoSocket`.
    Dial(ConnectionId),
    /// Write a frame: ends in `Written` or `WriteFailed`.
    Write(ConnectionId, Frame),
    /// Close a connection: it ends in `ReadEnded`.
    Shut(ConnectionId),
    /// An attempt has ended.
    End(AttemptId, Outcome, Option<Value>),
    /// A probe has ended.
    Probed(Outcome),
}

/// Figures of the connections.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Parts that one connection carries.
    pub multiplex: usize,
    /// A connection idle for this long is not used any more.
    pub idle: Nanos,
    /// A probe unanswered for this long has failed.
    pub probe: Nanos,
    /// Parts that may wait for a connection or a write.
    pub backlog: usize,
    /// Parts that are over and whose names a connection remembers.
    pub past: usize,
    /// A connection that is silent for this long with parts out gets nothing new.
    pub silence: Nanos,
    /// Where this process had no socket left, no other connection is opened for so long.
    pub no_socket_pause: Nanos,
}

#[derive(Debug, Clone)]
enum Item {
    /// A call, and whether it is on its second connection.
    Call(Vec<Dispatch>, bool),
    GiveUp(String),
    Probe,
}

impl Item {
    fn parts(&self) -> usize {
        match self {
            Self::Call(call, _) => call.len(),
            Self::GiveUp(_) | Self::Probe => 0,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Dialing,
    Up,
    Closing,
}

#[derive(Debug)]
struct Link {
    state: State,
    /// Which of the data node's addresses it goes to, in the order in which they were told.
    address: u64,
    waiting: VecDeque<Item>,
    writing: Option<Item>,
    /// Parts written whole, by name, and when.
    out: Vec<(String, AttemptId, Nanos)>,
    /// When something last came, or the first of the parts out was written.
    heard: Nanos,
    /// A part was given up on it after a silence that lasts.
    mute: bool,
    /// Something has come on it: its data node has taken it up.
    taken_up: bool,
    /// Names of parts that are over: given up or answered. Their answers may come late or twice.
    past: VecDeque<(String, Past)>,
    probes: VecDeque<Nanos>,
    used: Nanos,
    read_ended: bool,
    spoilt: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Past {
    GivenUp,
    Answered,
}

impl Link {
    fn parts(&self) -> usize {
        self.out.len() + self.waiting.iter().chain(&self.writing).map(Item::parts).sum::<usize>()
    }

    fn is_over(&mut self, name: String, how: Past, most: usize) {
        if self.past.len() >= most {
            self.past.pop_front();
        }
        self.past.push_back((name, how));
    }

    /// Whether it has been silent for so long with parts out, or was when they were given up.
    fn silent(&self, now: Nanos, least: Nanos) -> bool {
        self.mute || !self.out.is_empty() && now.saturating_sub(self.heard) >= least
    }

    /// How what is out on it ends with it.
    fn lost(&self) -> Outcome {
        if self.spoilt {
            Outcome::MalformedResponse
        } else {
            Outcome::ConnectionReset
        }
    }

    fn at_rest(&self) -> bool {
        self.out.is_empty() && self.waiting.is_empty() && self.writing.is_none() && self.probes.is_empty()
    }
}

/// The connections to one data node.
#[derive(Debug)]
pub struct ConnectionPool {
    limits: PoolLimits,
    links: BTreeMap<ConnectionId, Link>,
    takes_new: bool,
    /// The address that new connections go to.
    address: u64,
    /// No connection is opened before this: there was no socket left for one.
    no_socket_until: Nanos,
    next: u64,
    now: Nanos,
    outputs: Vec<Output>,
}

impl ConnectionPool {
    /// No connection yet; nothing is sent before [`Input::TakesNew`].
    pub fn new(limits: PoolLimits) -> Self {
        Self {
            limits,
            links: BTreeMap::new(),
            takes_new: false,
            address: 0,
            no_socket_until: 0,
            next: 0,
            now: 0,
            outputs: Vec::new(),
        }
    }

    /// Connections that are open, being opened or being closed.
    pub fn count(&self) -> usize {
        self.links.len()
    }

    /// Whether a probe is out, so that time must be told often.
    pub fn probing(&self) -> bool {
        self.links.values().any(|l| !l.probes.is_empty())
    }

    /// Takes what happened at `now`.
    pub fn step(&mut self, now: Nanos, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Call(call) => self.call(call),
            Input::Drop(id) => self.drop_attempt(id),
            Input::TakesNew(yes) => self.takes_new(yes),
            Input::AddressChanged => self.address_changed(),
            Input::CloseIdle => self.close_idle(0),
            Input::Probe => self.place(Item::Probe),
            Input::Up(id) => {
                if let Some(link) = self.links.get_mut(&id).filter(|l| l.state == State::Dialing) {
                    link.state = State::Up;
                    link.used = self.now;
                }
                self.pump(id);
            }
            Input::DialFailed(id) => self.dial_failed(id),
            Input::NoSocket(id) => self.no_socket(id),
            Input::Written(id) => self.written(id),
            Input::LeftOut(id, attempts) => self.left_out(id, &attempts),
            Input::ProbeLeftOut(id) => self.probe_left_out(id),
            Input::WriteFailed(id, begun) => self.write_failed(id, begun),
            Input::Frame(id, reply) => self.frame(id, reply),
            // Nothing is owed on a connection at rest, but for late answers.
            Input::Begun(id) => {
                let owed = |l: &Link| !l.at_rest() || l.past.iter().any(|p| p.1 == Past::GivenUp);
                if self.links.get(&id).is_some_and(|l| !owed(l)) {
                    self.spoilt(id);
                }
            }
            Input::Spoilt(id) => self.spoilt(id),
            Input::ReadEnded(id) => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.read_ended = true;
                }
                self.broken(id);
            }
            Input::Tick => self.tick(),
        }
        self.close_outdated();
        std::mem::take(&mut self.outputs)
    }

    fn end(&mut self, id: AttemptId, outcome: Outcome, value: Option<Value>) {
        self.outputs.push(Output::End(id, outcome, value));
    }

    /// What waits for a connection or a write goes elsewhere at once: neither may end for long.
    fn takes_new(&mut self, yes: bool) {
        if std::mem::replace(&mut self.takes_new, yes) && !yes {
            self.take_waiting(|_| true).into_iter().for_each(|item| self.refuse(item));
        }
    }

    /// What is out may end where it is. What waits goes over connections to the new address.
    fn address_changed(&mut self) {
        self.address += 1;
        let current = self.address;
        let waiting = self.take_waiting(|l| l.address != current);
        waiting.into_iter().for_each(|item| self.place(item));
    }

    /// Takes the calls and probes that wait on such connections.
    fn take_waiting(&mut self, of: impl Fn(&Link) -> bool) -> Vec<Item> {
        let mut taken = Vec::new();
        for link in self.links.values_mut().filter(|l| of(l)) {
            let waiting = std::mem::take(&mut link.waiting);
            let (words, work): (_, VecDeque<_>) =
                waiting.into_iter().partition(|item| matches!(item, Item::GiveUp(_)));
            link.waiting = words;
            taken.extend(work);
        }
        taken
    }

    /// Ends what may not be sent: it never ran, which says nothing of the data node.
    fn refuse(&mut self, item: Item) {
        match item {
            Item::Call(call, _) => call.iter().for_each(|d| self.end(d.attempt, Outcome::NotSent, None)),
            Item::Probe => self.outputs.push(Output::Probed(Outcome::NotSent)),
            Item::GiveUp(_) => {}
        }
    }

    /// Closes connections to an earlier address once they are at rest.
    fn close_outdated(&mut self) {
        let outdated = |l: &Link| l.state == State::Up && l.address != self.address && l.at_rest();
        let over: Vec<ConnectionId> =
            self.links.iter().filter(|(_, l)| outdated(l)).map(|(&id, _)| id).collect();
        over.into_iter().for_each(|id| self.broken(id));
    }

    /// Hands what is to be sent to a connection.
    fn place(&mut self, item: Item) {
        if !self.takes_new && !matches!(item, Item::GiveUp(_)) {
            return self.refuse(item);
        }
        match self.choose(item.parts()) {
            Some(link) => self.put(link, item),
            None => self.place_without_socket(item),
        }
    }

    /// A connection with room for so many parts: an open one, one that is being opened, or a new one. None where that
    /// would have to be a new one, and there was no socket for one a moment ago.
    fn choose(&mut self, parts: usize) -> Option<ConnectionId> {
        let (most, idle, now) = (self.limits.multiplex, self.limits.idle, self.now);
        let room = |l: &Link| l.address == self.address && l.parts() + parts <= most.max(parts);
        let silence = self.limits.silence;
        let fresh = |l: &Link| !l.silent(now, silence) && (!l.at_rest() || now.saturating_sub(l.used) < idle);
        let fits = |state: State| {
            let of_state = self.links.iter().filter(move |(_, l)| l.state == state && room(l) && fresh(l));
            of_state.map(|(&id, _)| id).next()
        };
        if let Some(id) = fits(State::Up).or_else(|| fits(State::Dialing)) {
            return Some(id);
        }
        if self.now < self.no_socket_until {
            return None;
        }
        let id = ConnectionId(self.next);
        self.next += 1;
        let link = Link {
            state: State::Dialing,
            address: self.address,
            waiting: VecDeque::new(),
            writing: None,
            out: Vec::new(),
            heard: self.now,
            mute: false,
            taken_up: false,
            past: VecDeque::new(),
            probes: VecDeque::new(),
            used: self.now,
            read_ended: false,
            spoilt: false,
        };
        self.links.insert(id, link);
        self.outputs.push(Output::Dial(id));
        Some(id)
    }

    fn put(&mut self, id: ConnectionId, item: Item) {
        if let Some(link) = self.links.get_mut(&id) {
            link.waiting.push_back(item);
        }
        self.pump(id);
    }

    fn call(&mut self, call: Vec<Dispatch>) {
        let waiting: usize = self.links.values().map(|l| l.parts() - l.out.len()).sum();
        let item = Item::Call(call, false);
        if waiting + item.parts() > self.limits.backlog {
            return self.refuse(item);
        }
        self.place(item);
    }

    /// Hands the next frame to a connection that has none to write.
    fn pump(&mut self, id: ConnectionId) {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.state == State::Up) else { return };
        while link.writing.is_none() {
            let Some(item) = link.waiting.pop_front() else { return };
            let (item, bytes) = match item {
                Item::Call(call, moved) => {
                    let (takes_new, now) = (self.takes_new, self.now);
                    let (sent, stale): (Vec<_>, Vec<_>) =
                        call.into_iter().partition(|d| takes_new && d.deadline > now);
                    let stale = stale.iter().map(|d| Output::End(d.attempt, Outcome::NotSent, None));
                    self.outputs.extend(stale);
                    if sent.is_empty() {
                        continue;
                    }
                    let bytes = Frame::Call(sent.clone());
                    (Item::Call(sent, moved), bytes)
                }
                Item::GiveUp(name) => {
                    let bytes = Frame::Whole(frame::give_up(&name));
                    (Item::GiveUp(name), bytes)
                }
                Item::Probe => {
                    link.probes.push_back(self.now);
                    (Item::Probe, Frame::Probe)
                }
            };
            link.writing = Some(item);
            self.outputs.push(Output::Write(id, bytes));
        }
    }

    fn drop_attempt(&mut self, id: AttemptId) {
        let (most, silence, now) = (self.limits.past, self.limits.silence, self.now);
        for (&link_id, link) in &mut self.links {
            for item in &mut link.waiting {
                if let Item::Call(call, _) = item {
                    call.retain(|d| d.attempt != id);
                }
            }
            link.waiting.retain(|i| !matches!(i, Item::Call(c, _) if c.is_empty()));
            let mut name = None;
            if let Some(at) = link.out.iter().position(|o| o.1 == id) {
                let (given_up, _, written) = link.out.swap_remove(at);
                link.mute |= now.saturating_sub(link.heard.max(written)) >= silence;
                name = Some(given_up);
            } else if let Some(Item::Call(call, _)) = &mut link.writing {
                // Its frame is on the way: the word that it is given up follows.
                if let Some(at) = call.iter().position(|d| d.attempt == id) {
                    name = Some(call.remove(at).part.name.clone());
                }
            }
            if let Some(name) = name {
                link.is_over(name.clone(), Past::GivenUp, most);
                if link.state == State::Up {
                    // A busy data node takes a new connection up late. What it would then read first is over.
                    let over = link.mute && link.at_rest() || !link.taken_up && link.parts() == 0;
                    link.waiting.push_back(Item::GiveUp(name));
                    self.pump(link_id);
                    if over {
                        // Closing it gives up the same.
                        self.broken(link_id);
                    }
                }
                return;
            }
        }
    }

    fn dial_failed(&mut self, id: ConnectionId) {
        let Some(link) = self.links.remove(&id) else { return };
        self.fail_waiting(link.waiting);
    }

    /// This process has no socket for a connection: for a moment, no other one is tried.
    fn no_socket(&mut self, id: ConnectionId) {
        let Some(link) = self.links.remove(&id) else { return };
        self.no_socket_until = self.now.saturating_add(self.limits.no_socket_pause);
        link.waiting.into_iter().for_each(|item| self.place_without_socket(item));
    }

    /// What this process has no socket for goes over an open connection with room, silent or not. Where there is none,
    /// it was not sent, which says nothing of the data node.
    fn place_without_socket(&mut self, item: Item) {
        let parts = item.parts();
        let usable = |l: &Link| l.state == State::Up && l.address == self.address;
        let room = |l: &Link| usable(l) && l.parts() + parts <= self.limits.multiplex;
        let other = self.links.iter().find(|(_, l)| room(l)).map(|(&id, _)| id);
        match (other, item) {
            (Some(other), item) => self.put(other, item),
            (None, call @ Item::Call(..)) => self.refuse(call),
            (None, item) => self.fail_waiting([item].into()),
        }
    }

    fn fail_waiting(&mut self, waiting: VecDeque<Item>) {
        for item in waiting {
            match item {
                Item::Call(call, _) => {
                    call.iter().for_each(|d| self.end(d.attempt, Outcome::ConnectFailed, None))
                }
                Item::Probe => self.outputs.push(Output::Probed(Outcome::ConnectFailed)),
                Item::GiveUp(_) => {}
            }
        }
    }

    fn written(&mut self, id: ConnectionId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.used = self.now;
        if let Some(Item::Call(call, _)) = link.writing.take() {
            let closing = link.state == State::Closing;
            let lost = link.lost();
            for d in call {
                match closing {
                    true => self.outputs.push(Output::End(d.attempt, lost, None)),
                    false => {
                        if link.out.is_empty() {
                            link.heard = self.now;
                        }
                        link.out.push((d.part.name.clone(), d.attempt, self.now));
                    }
                }
            }
        }
        self.pump(id);
        self.forget(id);
    }

    /// What is left out on a connection to an earlier address goes over one to the new address.
    fn left_out(&mut self, id: ConnectionId, attempts: &[AttemptId]) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let outdated = link.address != self.address;
        let Some(Item::Call(call, moved)) = &mut link.writing else { return };
        let moved = *moved;
        let (stale, sent): (Vec<_>, Vec<_>) =
            std::mem::take(call).into_iter().partition(|d| attempts.contains(&d.attempt));
        *call = sent;
        match (stale.is_empty(), outdated) {
            (true, _) => {}
            (false, true) => self.place(Item::Call(stale, moved)),
            (false, false) => self.refuse(Item::Call(stale, moved)),
        }
    }

    /// The probe last handed out is the last of those that are waited for, unless its time is over.
    fn probe_left_out(&mut self, id: ConnectionId) {
        if self.links.get_mut(&id).and_then(|l| l.probes.pop_back()).is_some() {
            self.refuse(Item::Probe);
        }
    }

    /// What was not begun goes over another connection. What was cut off in its frame is told as one that may have run,
    /// though it should not have: its first bytes may have been read, and a part that may not be repeated is lost then.
    fn write_failed(&mut self, id: ConnectionId, begun: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let (lost, mut unsent) = (link.lost(), VecDeque::new());
        match link.writing.take() {
            Some(Item::Call(call, _)) if begun => call.iter().for_each(|d| self.end(d.attempt, lost, None)),
            Some(call @ Item::Call(..)) => unsent.push_back(call),
            _ => {}
        }
        self.broken(id);
        self.move_waiting(unsent);
    }

    /// A connection is of no more use: all that was written may have run, what waits has not.
    fn broken(&mut self, id: ConnectionId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if link.state != State::Closing {
            link.state = State::Closing;
            let (out, waiting) = (std::mem::take(&mut link.out), std::mem::take(&mut link.waiting));
            let probes = std::mem::take(&mut link.probes);
            let lost = link.lost();
            self.outputs.push(Output::Shut(id));
            out.iter().for_each(|o| self.end(o.1, lost, None));
            probes.iter().for_each(|_| self.outputs.push(Output::Probed(lost)));
            self.move_waiting(waiting);
        }
        self.forget(id);
    }

    fn spoilt(&mut self, id: ConnectionId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.spoilt |= link.state == State::Up;
        }
        self.broken(id);
    }

    /// What was not written whole goes over another connection, once: data nodes close connections whenever
    /// they like. One that is gone shows it when the next connection does not come up.
    fn move_waiting(&mut self, waiting: VecDeque<Item>) {
        for item in waiting {
            match item {
                Item::Call(call, false) => self.place(Item::Call(call, true)),
                Item::Probe => self.place(Item::Probe),
                item => self.fail_waiting([item].into()),
            }
        }
    }

    fn forget(&mut self, id: ConnectionId) {
        let over = |l: &Link| l.state == State::Closing && l.read_ended && l.writing.is_none();
        if self.links.get(&id).is_some_and(over) {
            self.links.remove(&id);
        }
    }

    fn frame(&mut self, id: ConnectionId, reply: Reply) {
        let most = self.limits.past;
        let Some(link) = self.links.get_mut(&id).filter(|l| l.state == State::Up) else { return };
        link.used = self.now;
        (link.heard, link.mute, link.taken_up) = (self.now, false, true);
        match reply {
            Reply::Answer { name, outcome, value } => {
                let (mut attempt, mut overtaken) = (None, 0);
                if let Some(at) = link.out.iter().position(|o| o.0 == name) {
                    let (_, id, written) = link.out.remove(at);
                    (attempt, overtaken) = (Some(id), written);
                } else if let Some(Item::Call(call, _)) = &mut link.writing {
                    // It may overtake the word that its frame was written.
                    if let Some(at) = call.iter().position(|d| d.part.name == name) {
                        attempt = Some(call.remove(at).attempt);
                    }
                }
                if let Some(attempt) = attempt {
                    link.is_over(name, Past::Answered, most);
                    self.end(attempt, outcome, value);
                    return self.overtake(id, overtaken);
                }
                match link.past.iter().position(|p| p.0 == name).map(|at| (at, link.past[at].1)) {
                    // It crosses the word that the part is given up.
                    Some((at, Past::GivenUp)) => link.past[at].1 = Past::Answered,
                    // A second copy costs the connection, but no part that is out on it.
                    Some((_, Past::Answered)) if !link.at_rest() => {}
                    Some((_, Past::Answered)) | None => self.spoilt(id),
                }
            }
            Reply::Probed(outcome) => match link.probes.pop_front() {
                Some(_) => self.outputs.push(Output::Probed(outcome)),
                // It comes late, or was never asked for.
                None if !link.at_rest() => {}
                None => self.spoilt(id),
            },
            Reply::Refused(_) => self.broken(id),
        }
    }

    /// A part written at `written` is answered: the data node is alive, so what is out on connections that
    /// have been silent since before then is lost. Of another of its addresses that says nothing.
    fn overtake(&mut self, by: ConnectionId, written: Nanos) {
        let (now, least) = (self.now, self.limits.silence);
        let address = self.links.get(&by).map(|l| l.address);
        let dead = |l: &Link| {
            let older = l.out.iter().any(|o| o.2 < written);
            l.state == State::Up && Some(l.address) == address && older && l.silent(now, least)
        };
        let dead: Vec<ConnectionId> =
            self.links.iter().filter(|(&id, l)| id != by && dead(l)).map(|(&id, _)| id).collect();
        dead.into_iter().for_each(|id| self.spoilt(id));
    }

    fn tick(&mut self) {
        let (now, most) = (self.now, self.limits.probe);
        for link in self.links.values_mut() {
            while link.probes.front().is_some_and(|&sent| now.saturating_sub(sent) >= most) {
                link.probes.pop_front();
                self.outputs.push(Output::Probed(Outcome::TimedOut));
            }
        }
        self.close_idle(self.limits.idle);
    }

    /// Closes connections that have been at rest for so long.
    fn close_idle(&mut self, least: Nanos) {
        let now = self.now;
        let rested = |l: &Link| l.state == State::Up && l.at_rest() && now.saturating_sub(l.used) >= least;
        let old: Vec<ConnectionId> =
            self.links.iter().filter(|(_, l)| rested(l)).map(|(&id, _)| id).collect();
        old.into_iter().for_each(|id| self.broken(id));
    }
}

#[cfg(test)]
mod tests;
