//! The management agent on its socket: a coroutine reads, asks the core for its books where a walk begins, and answers.
//! What is answered is decided in `curlewdeck-snmp`; the objects stand in [`crate::mib`].

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use curlewdeck_snmp::agent::{Agent, Bounds, Incoming};
use curlewdeck_snmp::tree::{Tree, View};
use curlewdeck_snmp::usm::User;
use curlewdeck_snmp::walkers::{self, From, Walkers};
use curlewdeck_snmp::{parse_oid, Oid};
use may::net::UdpSocket;
use may::sync::mpsc::channel;
use serde::Deserialize;

use crate::api::Nanos;
use crate::config::read_secret;
use crate::counters::Counters;
use crate::limits::Limits;
use crate::mib;
use crate::net::coordinator::CoreHandle;
use crate::replication::driver::Standings;
use crate::runtime::{nanos, spawn};

/// What the edge's file says of the agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnmpConfig {
    /// Where it listens (UDP).
    pub listen: SocketAddr,
    /// The community that may read with version 2c, in clear text; none: nobody may.
    #[serde(default)]
    pub community: Option<String>,
    /// The file of the users of version 3, readable by its owner only.
    #[serde(default)]
    pub users: Option<PathBuf>,
    /// What users, or with their name the community, may see; all where nothing is said.
    #[serde(default)]
    pub views: Vec<ViewConfig>,
    /// Who is told of what happens.
    #[serde(default)]
    pub notify: Vec<NotifyConfig>,
    /// Of the queries of ten seconds: where more than this share are refused, that is told.
    #[serde(default = "a_tenth")]
    pub refusal_share: f64,
    /// The agent's engine id in hexadecimal digits, for localised keys; one is made at the start where it is not given.
    #[serde(default)]
    pub engine_id: Option<String>,
}

fn a_tenth() -> f64 {
    0.1
}

/// One who is told, with version 2c.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NotifyConfig {
    /// Where.
    pub to: SocketAddr,
    /// The community.
    pub community: String,
    /// Whether an answer is waited for, and the notification repeated without one.
    #[serde(default)]
    pub inform: bool,
}

/// One view.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ViewConfig {
    /// Whose: a user's name, or the community.
    pub of: String,
    /// Subtrees that are seen, as names in dots.
    #[serde(default)]
    pub include: Vec<String>,
    /// Subtrees that are not.
    #[serde(default)]
    pub exclude: Vec<String>,
}

/// An engine id of RFC 3411, section 5: the enterprise number with its first bit set, and octets of our own.
const ENGINE: [u8; 5] = [0x80, 0x00, 0x7e, 0xd9, 5];

impl SnmpConfig {
    fn view(&self, of: &str) -> Result<View, String> {
        let oids = |texts: &[String]| -> Result<Vec<Oid>, String> {
            let read = |t: &String| parse_oid(t).ok_or_else(|| format!("snmp: '{t}' is no name in dots"));
            texts.iter().map(read).collect()
        };
        match self.views.iter().find(|v| v.of == of) {
            None => Ok(View::default()),
            Some(v) => Ok(View { include: oids(&v.include)?, exclude: oids(&v.exclude)? }),
        }
    }

    /// The engine id that the file gives, or one that is made now.
    ///
    /// # Errors
    /// What the file gives is none.
    pub fn engine(&self) -> Result<Vec<u8>, String> {
        let Some(text) = &self.engine_id else {
            let mut own = [0; 8];
            getrandom::fill(&mut own).map_err(|e| format!("snmp: no random numbers: {e}"))?;
            return Ok([&ENGINE[..], &own].concat());
        };
        let wrong = || format!("snmp: engine_id '{text}': 5 to 32 bytes in hexadecimal digits are expected");
        let id = hex::decode(text).ok().filter(|id| (5..=32).contains(&id.len()));
        id.ok_or_else(wrong)
    }

    /// The agent that this section describes, with the engine id and boots that were kept, if any were.
    ///
    /// # Errors
    /// Names what is out of place, and never a secret.
    pub fn agent(&self, limits: &Limits, kept: Option<(Vec<u8>, u32)>) -> Result<Agent, String> {
        let bounds = Bounds { bindings: limits.snmp_bindings, bytes: limits.snmp_bytes };
        // An id that the file gives comes before one that was kept.
        let (engine, boots) = match kept {
            Some((engine, boots)) if self.engine_id.is_none() => (engine, boots),
            Some((_, boots)) => (self.engine()?, boots),
            None => (self.engine()?, boots()),
        };
        let mut agent = Agent::new(bounds, engine, boots, mib::known());
        if self.community.is_none() && self.users.is_none() {
            return Err("snmp: nobody may ask: a community or a file of users is needed".into());
        }
        if let Some(community) = &self.community {
            agent.admit_community(community.clone(), self.view(community)?);
        }
        let mut names: Vec<String> = self.community.iter().cloned().collect();
        if let Some(path) = &self.users {
            let users =
                User::read_all(&read_secret(path)?).map_err(|why| format!("{}: {why}", path.display()))?;
            for user in users {
                let mut salt = [0; 8];
                getrandom::fill(&mut salt).map_err(|e| format!("snmp: no random numbers: {e}"))?;
                let view = self.view(&user.name)?;
                names.push(user.name.clone());
                agent.admit_user(User { view, ..user }, u64::from_be_bytes(salt));
            }
        }
        match self.views.iter().find(|v| !names.contains(&v.of)) {
            Some(v) => Err(format!("snmp: a view is of '{}', which is no user and not the community", v.of)),
            None => Ok(agent),
        }
    }
}

/// Seconds of Unix time at which boots were one.
const FIRST_BOOT: u64 = 1_700_000_000;

/// The engine's boots without a lasting disk: seconds, which grow from one start to the next as long as the clock does
/// not go back, and fit 31 bits until the year 2091.
fn boots() -> u32 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_secs());
    u32::try_from(now.saturating_sub(FIRST_BOOT)).unwrap_or(i32::MAX as u32).clamp(1, i32::MAX as u32 - 1)
}

/// The core comes to what it is asked within this, or the request is not answered: managers ask again.
const BOOKS: Duration = Duration::from_millis(500);

struct Served {
    agent: Agent,
    core: CoreHandle,
    counters: Arc<Counters>,
    group: Option<Standings>,
    walkers: Walkers<SocketAddr>,
    begun: Nanos,
}

impl Served {
    /// The values of all objects now.
    fn tree(&self, time: u32) -> Option<Tree> {
        let (told, figures) = channel();
        // Nobody waits any more after the time-out.
        self.core.ledger_snapshot(move |snapshot| drop(told.send(snapshot)));
        let books = figures.recv_timeout(BOOKS).ok()?;
        let standing = self.group.as_ref().map(Standings::now);
        let mut objects = mib::objects(&self.counters, &books, self.begun, standing.as_deref());
        objects.extend(self.agent.objects(time));
        Some(Tree::new(objects))
    }

    fn serve(&mut self, bytes: &[u8], from: SocketAddr) -> Option<Vec<u8>> {
        let now = self.core.clock.now();
        let time = (now.saturating_sub(self.begun) / 1_000_000_000) as u32;
        let incoming = self.agent.read(bytes, time);
        Counters::set(&self.counters.snmp_denied, self.agent.denied());
        let request = match incoming {
            Incoming::Drop => return None,
            Incoming::Reply(bytes) => return Some(bytes),
            Incoming::Ask(request) => request,
        };
        let behind = request.behind();
        let tree = match self.walkers.from(now, &from, behind.as_deref()) {
            From::Tree(tree) => tree,
            From::Make => {
                let tree = self.tree(time)?;
                self.walkers.made(now, &from, behind.as_deref(), tree)
            }
        };
        let answer = self.agent.answer(&request, &tree, time)?;
        Counters::add(&self.counters.snmp_requests);
        Some(answer)
    }
}

/// Starts the agent.
///
/// # Errors
/// The address cannot be listened at, or the section cannot be used.
pub fn start(
    config: &SnmpConfig,
    core: CoreHandle,
    counters: Arc<Counters>,
    group: Option<Standings>,
    limits: Arc<Limits>,
    kept: Option<(Vec<u8>, u32)>,
) -> Result<SocketAddr, String> {
    let cannot = |e: std::io::Error| format!("cannot listen at {}: {e}", config.listen);
    let agent = config.agent(&limits, kept)?;
    let socket = UdpSocket::bind(config.listen).map_err(cannot)?;
    let local = socket.local_addr().map_err(cannot)?;
    let walkers = Walkers::new(walkers::Bounds {
        walkers: limits.snmp_walkers,
        objects: limits.snmp_objects,
        idle: nanos(limits.snmp_walk_idle),
        age: nanos(limits.snmp_walk),
        fresh: nanos(limits.snmp_fresh),
    });
    let begun = core.clock.now();
    let mut served = Served { agent, core, counters, group, walkers, begun };
    spawn("snmp", limits.core_stack_words, move || {
        let mut buf = vec![0; limits.snmp_bytes];
        loop {
            let Ok((size, from)) = socket.recv_from(&mut buf) else {
                // Never a busy loop, whatever the cause.
                may::coroutine::sleep(Duration::from_millis(10));
                continue;
            };
            if let Some(answer) = served.serve(&buf[..size], from) {
                if let Err(e) = socket.send_to(&answer, from) {
                    log::debug!("snmp: {e}");
                }
            }
        }
    })
    .map_err(|e| e.to_string())?;
    Ok(local)
}
