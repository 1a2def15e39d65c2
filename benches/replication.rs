//! Measures commits per second and commit latency in groups of 3 and 5 members on loopback, with and without one member
//! to which all traffic is delayed; and how long a member with an empty folder takes to catch up, by the size of the
//! state. All members run in this process, each with separate threads, sockets and a separate folder.
//! Run it with `cargo bench --bench replication`.

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

const CLIENT_THREADS: usize = 16;
const COMMITS_PER_RUN: usize = 4000;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const SLOW_MEMBER_DELAY: Duration = Duration::from_millis(20);

struct Group {
    folder: PathBuf,
    members: Vec<RunningMember>,
    proxies: BTreeMap<u64, Proxy>,
}

impl Group {
    /// Starts `size` members, each reached by the others through its own proxy, and waits for a leader.
    fn start(size: u64) -> Self {
        let folder = std::env::temp_dir().join(format!("curlewdeck-bench-{}-{size}", std::process::id()));
        let proxies: BTreeMap<u64, Proxy> = (1..=size).map(|id| (id, Proxy::start(None).unwrap())).collect();
        let mut group = Self { folder, members: Vec::new(), proxies };
        for id in 1..=size {
            let config = group.config(id);
            startup::create_founder_folder(&config, id).unwrap();
            let member = startup::start(&config).unwrap();
            group.proxies[&id].forward_to(member.listen);
            group.members.push(member);
        }
        wait_until(|| group.leader().is_some());
        group
    }

    fn config(&self, id: u64) -> GroupConfig {
        let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let members = self.proxies.iter().map(|(id, p)| (id.to_string(), p.address())).collect();
        GroupConfig {
            folder: self.folder.join(id.to_string()),
            listen: any_port,
            control: any_port,
            members,
            tick_ms: 50,
        }
    }

    fn leader(&self) -> Option<&RunningMember> {
        self.members.iter().find(|m| m.status.latest().role == Role::Leader)
    }

    /// Returns the commits per second, and the median and the 99th percentile of commit latency.
    fn measure_commits(&self) -> (f64, Duration, Duration) {
        let (leader, next_command, start) = (self.leader().unwrap(), AtomicUsize::new(0), Instant::now());
        let client = || {
            let mut latencies = Vec::new();
            loop {
                let n = next_command.fetch_add(1, Ordering::Relaxed);
                if n >= COMMITS_PER_RUN {
                    return latencies;
                }
                let (request_start, key) = (Instant::now(), format!("k{}", n % 256));
                let answer = leader.handle.request(
                    ClientRequest::Propose(Command::Put { key, value: vec![7; 64] }),
                    REQUEST_TIMEOUT,
                );
                assert!(
                    matches!(answer, RequestOutcome::Committed(CommandOutcome::Written { .. })),
                    "{answer:?}"
                );
                latencies.push(request_start.elapsed());
            }
        };
        let mut latencies: Vec<Duration> = std::thread::scope(|scope| {
            let clients: Vec<_> = (0..CLIENT_THREADS).map(|_| scope.spawn(client)).collect();
            clients.into_iter().flat_map(|c| c.join().unwrap()).collect()
        });
        let rate = latencies.len() as f64 / start.elapsed().as_secs_f64();
        latencies.sort_unstable();
        (rate, latencies[latencies.len() / 2], latencies[latencies.len() * 99 / 100])
    }

    /// Writes `keys` keys of 8 KiB and adds a member with an empty folder. Returns the time from the request to add it
    /// until it has applied all that the leader had applied once the request was committed.
    fn measure_catch_up(&self, keys: usize) -> Duration {
        let leader = self.leader().unwrap();
        let put = |n: usize| Command::Put { key: format!("s{n}"), value: vec![7; 8 * 1024] };
        for n in 0..keys {
            assert!(matches!(
                leader.handle.request(ClientRequest::Propose(put(n)), REQUEST_TIMEOUT),
                RequestOutcome::Committed(_)
            ));
        }
        leader.handle.request(ClientRequest::CreateSnapshot, REQUEST_TIMEOUT);
        let config = GroupConfig { folder: self.folder.join(format!("new-{keys}")), ..self.config(1) };
        let (new_member, start) = (startup::start(&config).unwrap(), Instant::now());
        assert!(matches!(
            leader.handle.request(
                ClientRequest::AddMember { id: new_member.id, address: new_member.listen },
                REQUEST_TIMEOUT
            ),
            RequestOutcome::Committed(_)
        ));
        let applied = |member: &RunningMember| member.status.latest().applied;
        let target = applied(leader);
        wait_until(|| applied(&new_member) >= target);
        let elapsed = start.elapsed();
        assert!(matches!(
            leader.handle.request(ClientRequest::RemoveMember(new_member.id), REQUEST_TIMEOUT),
            RequestOutcome::Committed(_)
        ));
        elapsed
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(60), "condition not met within 60 s");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn main() {
    let mut baseline_rate = None;
    for size in [3, 5] {
        let group = Group::start(size);
        for delayed in [false, true] {
            if delayed {
                let leader = group.leader().unwrap().id;
                let slow = group.proxies.iter().find(|(&id, _)| id != leader).unwrap().1;
                slow.set_faults(Faults { delay: SLOW_MEMBER_DELAY, ..Faults::default() });
            }
            let (rate, median, p99) = group.measure_commits();
            let ratio = rate / *baseline_rate.get_or_insert(rate);
            let label = if delayed { ", one delayed by 20 ms" } else { "" };
            println!("{size} members{label}: {rate:.0} commits per second ({ratio:.2}), p50 {median:.2?}, p99 {p99:.2?}");
        }
        group.proxies.values().for_each(Proxy::clear_faults);
        if size == 3 {
            let mut baseline = None;
            for keys in [10, 100, 500] {
                let elapsed = group.measure_catch_up(keys);
                let ratio = elapsed.as_secs_f64() / baseline.get_or_insert(elapsed).as_secs_f64();
                println!("catch-up of an empty member, {keys} keys of 8 KiB: {elapsed:.2?} ({ratio:.2})");
            }
        }
    }
}
