//! Carries out what a member decides: one thread owns the member and its disk. Whatever has come is taken together, so
//! that many promises share one sync; then all of it is written, then messages go out, then clients are answered.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use curlewdeck_replication::{
    Answer, Bounds, Command, Letter, Member, Out, Outcome, Persist, Refusal, Ticket,
};

use super::config::GroupConfig;
use super::disk::{self, Disk, DiskError, Found};
use super::peers::{self, Peers};
use crate::runtime::{lock, thread};

/// Messages that wait for the member; past them clients are refused as busy.
const INBOX: usize = 1024;
/// Messages taken together before their writes are synced.
const TOGETHER: usize = 256;
/// The log is parsed and applied on it.
const STACK: usize = 2 * 1024 * 1024;
/// Where a member listens is kept under this and its id.
const ADDRESS: &str = "member/";

/// What a client or an operator asks.
#[derive(Debug)]
pub enum Ask {
    /// To have a command promised.
    Do(Command),
    /// A linearizable read.
    Read(String),
    /// To add a member that listens there.
    Add(u64, SocketAddr),
    /// To remove a member.
    Remove(u64),
    /// To make a snapshot now, so that the log before it is dropped.
    Snapshot,
}

/// What the member's thread is told.
#[derive(Debug)]
pub enum Msg {
    /// A message of another member.
    Frame(Vec<u8>),
    /// Somebody asks, and waits for one answer.
    Ask(Ask, SyncSender<Answer>),
    /// A member could not be reached.
    Unreachable(u64),
    /// A snapshot was written to a member, or could not be.
    SnapshotSent(u64, bool),
}

/// The way to the member's thread.
#[derive(Debug, Clone)]
pub struct Inbox(SyncSender<Msg>);

impl Inbox {
    /// One that holds so much, and its other end.
    pub fn of(most: usize) -> (Self, Receiver<Msg>) {
        let (tell, told) = sync_channel(most);
        (Self(tell), told)
    }

    /// Hands a message in, and waits for room. Returns whether anybody is there to take it.
    pub fn hand(&self, message: Msg) -> bool {
        self.0.send(message).is_ok()
    }

    /// Hands in what may as well be lost.
    pub fn tell(&self, message: Msg) {
        // Raft sends again, and learns of what is missing by itself.
        let _ = self.0.try_send(message);
    }

    /// Asks and waits for this long.
    pub fn ask(&self, ask: Ask, within: Duration) -> Answer {
        let (answer, come) = sync_channel(1);
        match self.0.try_send(Msg::Ask(ask, answer)) {
            Ok(()) => come.recv_timeout(within).unwrap_or(Answer::Unknown),
            Err(TrySendError::Full(_)) => Answer::Refused(Refusal::Busy),
            Err(TrySendError::Disconnected(_)) => Answer::Refused(Refusal::Gone),
        }
    }
}

/// Makes the folder of a founding member: once for each founder of a new group, before it first serves.
///
/// # Errors
/// Says what is wrong, with the folder named. One that holds anything is left as it is.
pub fn found(config: &GroupConfig, id: u64) -> Result<(), String> {
    config.check()?;
    let voters: Vec<u64> = config.members()?.into_keys().collect();
    let folder = config.folder.display();
    let (disk, found) = Disk::open(&config.folder).map_err(|e| format!("{folder}: {e}"))?;
    if !matches!(found, Found::Nothing) {
        return Err(format!("{folder}: it belongs to a member already"));
    }
    let (_, out) = Member::found(id, &voters, Bounds::default()).map_err(|e| e.to_string())?;
    disk.write(&out.persist).and_then(|()| disk.claim(id)).map_err(|e| format!("{folder}: {e}"))
}

/// A disk that cannot be read or written at the start is tried again so often, with such a pause.
const OPEN_TRIES: usize = 10;
const OPEN_PAUSE: Duration = Duration::from_millis(200);

/// Tries again what a disk that fails for a while may not give at once.
fn patiently<T>(mut open: impl FnMut() -> Result<T, DiskError>) -> Result<T, DiskError> {
    for _ in 1..OPEN_TRIES {
        match open() {
            Err(DiskError::Failed(why)) => {
                log::warn!(target: "group", "the folder cannot be used now: {why}")
            }
            done => return done,
        }
        std::thread::sleep(OPEN_PAUSE);
    }
    open()
}

/// A member's folder as it is found: with its log, or new. What is not believed is set aside, and the member comes back
/// as a new one: under its old id it might take back what it has voted or promised.
fn open(config: &GroupConfig, bounds: &Bounds) -> Result<(Disk, Member), DiskError> {
    let recovered = |(disk, found): (Disk, Found)| match found {
        Found::Nothing => Ok((disk, None)),
        Found::Member(id, store) => match Member::recover(id, *store, bounds.clone()) {
            Ok(member) => Ok((disk, Some(member))),
            Err(why) => Err(DiskError::Unsound(why.to_string())),
        },
    };
    let (disk, member) = match patiently(|| Disk::open(&config.folder).and_then(recovered)) {
        Ok(opened) => opened,
        // It may be sound: a member that is taken for a new one no longer holds what it has promised.
        Err(why @ DiskError::Failed(_)) => return Err(why),
        Err(why) => {
            let aside = disk::set_aside(&config.folder)?;
            log::error!(target: "group", "{why}: the folder is set aside as {}", aside.display());
            Disk::open(&config.folder).and_then(recovered)?
        }
    };
    let boot = disk.boot()?;
    let member = match member {
        Some(member) => member,
        None => {
            // Never an id that was in use: drawn from far more than there will ever be members.
            let id = fastrand::u64(1 << 32..1 << 53);
            disk.claim(id)?;
            log::info!(target: "group", "member {id} is new and waits to be added: curlewdeck group add");
            Member::join(id, bounds.clone()).map_err(|e| DiskError::Unsound(e.to_string()))?
        }
    };
    Ok((disk, member.with_boot(boot)))
}

/// A member that runs.
#[derive(Debug)]
pub struct Running {
    /// Its id.
    pub id: u64,
    /// Where it listens for members.
    pub listen: SocketAddr,
    /// The way to it.
    pub inbox: Inbox,
    /// How it stands.
    pub standings: Standings,
}

/// Starts the member.
///
/// # Errors
/// Says in one line what is out of place or cannot be had.
pub fn start(config: &GroupConfig) -> Result<Running, String> {
    config.check()?;
    let named = config.members()?;
    let bounds = Bounds::default();
    let (disk, member) = open(config, &bounds).map_err(|e| e.to_string())?;
    let (tell, inbox) = Inbox::of(INBOX);
    let id = member.id();
    let listen = peers::listen(config.listen, tell.clone())
        .map_err(|e| format!("cannot listen for members at {}: {e}", config.listen))?;
    let peers = Peers::new(id, tell.clone());
    let standings = Standings(Arc::new(Mutex::new(Arc::new(Standing::of(&member)))));
    let (asked, snapshots, tick) = (HashMap::new(), Vec::new(), config.tick());
    let mut driver =
        Driver { member, disk, peers, named, asked, snapshots, standings: standings.clone(), tick };
    let run = move || driver.run(&inbox);
    thread("group", STACK, run).map_err(|e| format!("no thread for the group: {e}"))?;
    Ok(Running { id, listen, inbox: tell, standings })
}

/// What a member is in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Role {
    /// It knows no leader.
    #[default]
    WithoutLeader,
    /// It follows one.
    Follower,
    /// It leads.
    Leader,
    /// It was removed, or has stopped after an error.
    Gone,
}

impl Role {
    /// In words.
    pub fn word(self) -> &'static str {
        match self {
            Self::WithoutLeader => "without a leader",
            Self::Follower => "follower",
            Self::Leader => "leader",
            Self::Gone => "gone",
        }
    }
}

/// How a member stands at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Standing {
    /// Its id.
    pub id: u64,
    /// What it is.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// For whom it has voted in it; 0: nobody.
    pub vote: u64,
    /// The leader it knows; 0: none.
    pub leader: u64,
    /// The group as of the last change applied.
    pub voters: Vec<u64>,
    /// The last entry applied.
    pub applied: u64,
    /// The last entry that its snapshot covers.
    pub snapshot: u64,
    /// Entries since then.
    pub log: u64,
    /// Keys held.
    pub keys: u64,
    /// Proposals and reads that wait.
    pub waiting: u64,
}

impl Standing {
    fn of(member: &Member) -> Self {
        let (store, state) = (member.store(), member.state());
        let role = match (member.is_gone(), member.leads(), member.leader()) {
            (true, ..) => Role::Gone,
            (_, true, _) => Role::Leader,
            (_, _, Some(_)) => Role::Follower,
            _ => Role::WithoutLeader,
        };
        Self {
            id: member.id(),
            role,
            term: member.term(),
            vote: store.hard().vote,
            leader: member.leader().unwrap_or(0),
            voters: member.voters(),
            applied: state.applied(),
            snapshot: store.image_index(),
            log: store.log().len() as u64,
            keys: state.len() as u64,
            waiting: member.waiting() as u64,
        }
    }

    /// A line a figure.
    pub fn text(&self) -> String {
        let voters: Vec<String> = self.voters.iter().map(u64::to_string).collect();
        let Self { id, term, leader, applied, snapshot, log, keys, waiting, .. } = self;
        format!(
            "id={id}\nrole={}\nterm={term}\nleader={leader}\nvoters={}\napplied={applied}\nsnapshot={snapshot}\nlog={log}\nkeys={keys}\nwaiting={waiting}\n",
            self.role.word(),
            voters.join(",")
        )
    }
}

/// How the member stood a moment ago, for whoever does not wait for it.
#[derive(Debug, Clone)]
pub struct Standings(Arc<Mutex<Arc<Standing>>>);

impl Standings {
    /// As it was last published.
    pub fn now(&self) -> Arc<Standing> {
        lock(&self.0).clone()
    }

    fn publish(&self, standing: Standing) {
        *lock(&self.0) = Arc::new(standing);
    }
}

/// Whoever waits for an answer, and for one that adds a member what comes after its address is promised.
struct Asked {
    answer: SyncSender<Answer>,
    then: Option<u64>,
}

struct Driver {
    member: Member,
    disk: Disk,
    peers: Peers,
    /// Where members listen, as the operator's file says; it comes before what the group knows.
    named: BTreeMap<u64, SocketAddr>,
    asked: HashMap<Ticket, Asked>,
    /// Who asked for a snapshot that is not yet written.
    snapshots: Vec<SyncSender<Answer>>,
    standings: Standings,
    tick: Duration,
}

impl Driver {
    fn run(&mut self, inbox: &Receiver<Msg>) {
        let mut next = Instant::now() + self.tick;
        loop {
            let mut outs = Vec::new();
            match inbox.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(message) => {
                    self.take(message, &mut outs);
                    inbox.try_iter().take(TOGETHER).for_each(|message| self.take(message, &mut outs));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // One at a time, however long the process stood still: its clock has not seen what it missed.
            if Instant::now() >= next {
                outs.push(self.member.tick());
                next = Instant::now() + self.tick;
            }
            if let Err(why) = self.carry(outs) {
                log::error!(target: "group", "member {} stops: {why}", self.member.id());
                let last = Standing { role: Role::Gone, leader: 0, ..Standing::of(&self.member) };
                return self.standings.publish(last);
            }
            self.tell();
        }
    }

    fn take(&mut self, message: Msg, outs: &mut Vec<Out>) {
        match message {
            Msg::Frame(bytes) => match self.member.step(&bytes) {
                Ok(out) => outs.push(out),
                Err(why) => log::debug!(target: "group", "a message is not taken: {why}"),
            },
            Msg::Ask(ask, answer) => {
                let (then, (ticket, out)) = match ask {
                    Ask::Do(command) => (None, self.member.propose(&command)),
                    Ask::Read(key) => (None, self.member.read(&key)),
                    Ask::Add(id, addr) => {
                        let (key, value) = (format!("{ADDRESS}{id}"), addr.to_string().into_bytes());
                        (Some(id), self.member.propose(&Command::Put { key, value }))
                    }
                    Ask::Remove(id) => (None, self.member.change(id, false)),
                    Ask::Snapshot => {
                        outs.push(self.member.snapshot());
                        return self.snapshots.push(answer);
                    }
                };
                self.asked.insert(ticket, Asked { answer, then });
                outs.push(out);
            }
            Msg::Unreachable(id) => self.member.unreachable(id),
            Msg::SnapshotSent(id, done) => self.member.snapshot_sent(id, done),
        }
    }

    /// Writes, then sends, then answers. What an answer brings about is carried out in the same way.
    fn carry(&mut self, mut outs: Vec<Out>) -> Result<(), DiskError> {
        while !outs.is_empty() {
            let mut persist = Persist::default();
            outs.iter_mut().for_each(|out| persist.extend(std::mem::take(&mut out.persist)));
            self.disk.write(&persist)?;
            // Nobody waits any more if this cannot be sent.
            self.snapshots.drain(..).for_each(|a| drop(a.send(Answer::Promised(Outcome::Nothing))));
            outs.iter_mut()
                .flat_map(|out| std::mem::take(&mut out.send))
                .for_each(|letter| self.send(letter));
            let done: Vec<_> = outs.drain(..).flat_map(|out| out.done).collect();
            for (ticket, answer) in done {
                let Some(asked) = self.asked.remove(&ticket) else { continue };
                match (asked.then, &answer) {
                    // Its address is known to all by the time that it is one of them.
                    (Some(id), Answer::Promised(_)) => {
                        let (ticket, out) = self.member.change(id, true);
                        self.asked.insert(ticket, Asked { then: None, ..asked });
                        outs.push(out);
                    }
                    // Nobody waits any more if this cannot be sent.
                    _ => drop(asked.answer.send(answer)),
                }
            }
        }
        if self.member.is_gone() {
            // What they asked may be in the log of others.
            self.asked.drain().for_each(|(_, a)| drop(a.answer.send(Answer::Unknown)));
        }
        Ok(())
    }

    fn address(&self, id: u64) -> Option<SocketAddr> {
        let told = || {
            let slot = self.member.state().get(&format!("{ADDRESS}{id}"))?;
            std::str::from_utf8(&slot.value).ok()?.parse().ok()
        };
        self.named.get(&id).copied().or_else(told)
    }

    fn send(&mut self, letter: Letter) {
        let (to, snapshot) = (letter.to, letter.snapshot);
        let sent = self.address(to).is_some_and(|addr| self.peers.send(addr, letter));
        if !sent {
            self.member.unreachable(to);
            if snapshot {
                self.member.snapshot_sent(to, false);
            }
        }
    }

    /// Publishes how it stands, with a line for each term, vote, change of members and snapshot.
    fn tell(&mut self) {
        let (now, before) = (Standing::of(&self.member), self.standings.now());
        if now == *before {
            return;
        }
        let id = now.id;
        if (now.term, now.leader) != (before.term, before.leader) {
            let leader = if now.leader == 0 { "nobody".to_string() } else { now.leader.to_string() };
            log::info!(target: "group", "member {id}: term {} led by {leader}", now.term);
        }
        if now.vote != before.vote && now.vote != 0 {
            log::info!(target: "group", "member {id}: votes for {} in term {}", now.vote, now.term);
        }
        if now.voters != before.voters {
            log::info!(target: "group", "member {id}: the group is {:?}", now.voters);
        }
        if now.snapshot != before.snapshot {
            log::info!(target: "group", "member {id}: snapshot up to {}", now.snapshot);
        }
        self.standings.publish(now);
    }
}

#[cfg(test)]
mod tests;
