//! The management agent on its socket: a coroutine reads, asks the core for its books where a walk begins, and answers.
//! What is answered is decided in `curlewdeck-snmp`; the objects stand in [`crate::mib`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use curlewdeck_snmp::agent::{Agent, Bounds, Incoming};
use curlewdeck_snmp::tree::Tree;
use curlewdeck_snmp::walkers::{self, From, Walkers};
use may::net::UdpSocket;
use may::sync::mpsc::channel;
use thiserror::Error;

use crate::api::Nanos;
use crate::config::{SnmpConfig, SnmpConfigError};
use crate::counters::Counters;
use crate::limits::Limits;
use crate::mib;
use crate::net::coordinator::CoreHandle;
use crate::replication::driver::SharedStatus;
use crate::runtime::{nanos, spawn, SpawnError};

/// Why the management agent cannot be started.
#[derive(Debug, Error)]
pub enum SnmpStartError {
    /// Its section cannot be used.
    #[error(transparent)]
    Config(#[from] SnmpConfigError),
    /// Its address cannot be listened at.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// Its coroutine cannot be started.
    #[error("{0}")]
    Spawn(#[source] SpawnError),
}

/// The agent that its section describes, with the engine id and boots that were restored, if any were.
///
/// # Errors
/// Names what is wrong with the section, and never a secret.
pub fn agent(
    config: &SnmpConfig,
    limits: &Limits,
    restored: Option<(Vec<u8>, u32)>,
) -> Result<Agent, SnmpConfigError> {
    let bounds = Bounds { bindings: limits.snmp_bindings, bytes: limits.snmp_bytes };
    // An id that the file gives takes precedence over one that was restored.
    let (engine, boots) = match restored {
        Some((engine, boots)) if config.engine_id.is_none() => (engine, boots),
        Some((_, boots)) => (config.engine_id()?, boots),
        None => (config.engine_id()?, boots()),
    };
    let access = config.access()?;
    let mut agent = Agent::new(bounds, engine, boots, mib::known());
    if let Some((community, view)) = access.community {
        agent.admit_community(community, view);
    }
    for admitted in access.users {
        agent.admit_user(admitted.user, admitted.salt);
    }
    Ok(agent)
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
    group: Option<SharedStatus>,
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
        let standing = self.group.as_ref().map(SharedStatus::latest);
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
    group: Option<SharedStatus>,
    limits: Arc<Limits>,
    restored: Option<(Vec<u8>, u32)>,
) -> Result<SocketAddr, SnmpStartError> {
    let cannot = |source| SnmpStartError::Listen { address: config.listen, source };
    let agent = agent(config, &limits, restored)?;
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
                    log::debug!(peer:% = from, error:% = e; "management answer not sent");
                }
            }
        }
    })
    .map_err(SnmpStartError::Spawn)?;
    Ok(local)
}
