//! Commits a second and the latency of one, in groups of 3 and of 5 members on loopback, with and without a member to
//! which everything is delayed; and how long a member with an empty folder takes to catch up, by the size of the state.
//! All members run in this process, each with threads, sockets and a folder of its own. `cargo bench --bench replication`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use curlewdeck::replication::config::GroupConfig;
use curlewdeck::replication::member_handle::ClientRequest;
use curlewdeck::replication::startup::{self, RunningMember};
use curlewdeck::replication::status::Role;
use curlewdeck_replication::{Command, CommandOutcome, RequestOutcome};
use curlewdeck_testkit::proxy::{Faults, Proxy};

const CLIENTS: usize = 16;
const COMMITS: usize = 4000;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const DELAY: Duration = Duration::from_millis(20);

struct Group {
    dir: PathBuf,
    members: Vec<RunningMember>,
    proxies: BTreeMap<u64, Proxy>,
}

impl Group {
    /// Members that reach each other through one proxy to each.
    fn start(size: u64) -> Self {
        let dir = std::env::temp_dir().join(format!("curlewdeck-bench-{}-{size}", std::process::id()));
        let proxies: BTreeMap<u64, Proxy> = (1..=size).map(|id| (id, Proxy::start(None).unwrap())).collect();
        let mut group = Self { dir, members: Vec::new(), proxies };
        for id in 1..=size {
            let config = group.config(id);
            startup::found(&config, id).unwrap();
            let member = startup::start(&config).unwrap();
            group.proxies[&id].forward_to(member.listen);
            group.members.push(member);
        }
        until(|| group.leader().is_some());
        group
    }

    fn config(&self, id: u64) -> GroupConfig {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let members = self.proxies.iter().map(|(id, p)| (id.to_string(), p.address())).collect();
        GroupConfig { folder: self.dir.join(id.to_string()), listen: any, control: any, members, tick_ms: 50 }
    }

    fn leader(&self) -> Option<&RunningMember> {
        self.members.iter().find(|m| m.status.latest().role == Role::Leader)
    }

    /// Commits a second, and the median and the 99th percentile of the latency of one.
    fn load(&self) -> (f64, Duration, Duration) {
        let (leader, next, begun) = (self.leader().unwrap(), AtomicUsize::new(0), Instant::now());
        let client = || {
            let mut took = Vec::new();
            loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                if n >= COMMITS {
                    return took;
                }
                let (at, key) = (Instant::now(), format!("k{}", n % 256));
                let answer = leader.handle.request(
                    ClientRequest::Propose(Command::Put { key, value: vec![7; 64] }),
                    REQUEST_TIMEOUT,
                );
                assert!(
                    matches!(answer, RequestOutcome::Committed(CommandOutcome::Written { .. })),
                    "{answer:?}"
                );
                took.push(at.elapsed());
            }
        };
        let mut took: Vec<Duration> = std::thread::scope(|scope| {
            let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(client)).collect();
            clients.into_iter().flat_map(|c| c.join().unwrap()).collect()
        });
        let rate = took.len() as f64 / begun.elapsed().as_secs_f64();
        took.sort_unstable();
        (rate, took[took.len() / 2], took[took.len() * 99 / 100])
    }

    /// How long one that knows nothing takes to hold all that the leader has applied, once it is to be added.
    fn catch_up(&self, keys: usize) -> Duration {
        let leader = self.leader().unwrap();
        let put = |n: usize| Command::Put { key: format!("s{n}"), value: vec![7; 8 * 1024] };
        for n in 0..keys {
            assert!(matches!(
                leader.handle.request(ClientRequest::Propose(put(n)), REQUEST_TIMEOUT),
                RequestOutcome::Committed(_)
            ));
        }
        leader.handle.request(ClientRequest::CreateSnapshot, REQUEST_TIMEOUT);
        let config = GroupConfig { folder: self.dir.join(format!("new-{keys}")), ..self.config(1) };
        let (new, begun) = (startup::start(&config).unwrap(), Instant::now());
        assert!(matches!(
            leader
                .handle
                .request(ClientRequest::AddMember { id: new.id, address: new.listen }, REQUEST_TIMEOUT),
            RequestOutcome::Committed(_)
        ));
        let applied = |m: &RunningMember| m.status.latest().applied;
        let want = applied(leader);
        until(|| applied(&new) >= want);
        let took = begun.elapsed();
        assert!(matches!(
            leader.handle.request(ClientRequest::RemoveMember(new.id), REQUEST_TIMEOUT),
            RequestOutcome::Committed(_)
        ));
        took
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn until(mut happened: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !happened() {
        assert!(begun.elapsed() < Duration::from_secs(60), "waited in vain");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn main() {
    let mut first = None;
    for size in [3, 5] {
        let group = Group::start(size);
        for delayed in [false, true] {
            if delayed {
                let leader = group.leader().unwrap().id;
                let slow = group.proxies.iter().find(|(&id, _)| id != leader).unwrap().1;
                slow.set_faults(Faults { delay: DELAY, ..Faults::default() });
            }
            let (rate, median, last) = group.load();
            let ratio = rate / *first.get_or_insert(rate);
            let one = if delayed { ", one reached 20 ms late" } else { "" };
            println!("{size} members{one}: {rate:.0} promises a second ({ratio:.2}), p50 {median:.2?}, p99 {last:.2?}");
        }
        group.proxies.values().for_each(Proxy::clear_faults);
        if size == 3 {
            let mut least = None;
            for keys in [10, 100, 500] {
                let took = group.catch_up(keys);
                let ratio = took.as_secs_f64() / least.get_or_insert(took).as_secs_f64();
                println!("an empty member with {keys} keys of 8 KB: {took:.2?} ({ratio:.2})");
            }
        }
    }
}
