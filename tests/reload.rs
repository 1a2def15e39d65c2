//! Reloads of configuration files that cannot be read at first: a file that is incomplete, missing, temporarily
//! replaced by something else, or a pipe that does not end. The program runs as a separate process on loopback and must
//! follow a change of the discovery address in time, whatever the first read after SIGHUP returned.

mod harness;

use std::io::Write;
use std::os::unix::fs::{symlink, PermissionsExt};
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use harness::stand_in::{DataNode, Discovery};
use harness::{make_pipe, member, query, successful_reply, wait_until, Program, TestCluster};

/// Time after SIGHUP at which the content of the new discovery counts as notified.
const NOTIFIED_AFTER: Duration = Duration::from_secs(4);

/// Renders a configuration with a control address and this discovery address, after `change` has modified it.
fn config(discovery: &Discovery, change: impl FnOnce(&mut Value)) -> String {
    let mut config: Value = serde_json::from_str(&TestCluster::default().config(discovery.addr)).unwrap();
    config["control"] = json!("127.0.0.1:0");
    change(&mut config);
    config.to_string()
}

fn config_with_discovery(discovery: &Discovery) -> String {
    config(discovery, |_| ())
}

/// A program whose discovery address changes from `old` to `new`, and two data nodes that both services list.
struct MovingDiscovery {
    program: Program,
    old: Discovery,
    new: Discovery,
    nodes: [DataNode; 2],
}

impl MovingDiscovery {
    fn start() -> Self {
        let nodes = [DataNode::start(successful_reply), DataNode::start(successful_reply)];
        let members = || vec![member("a", 0, nodes[0].addr), member("b", 1, nodes[1].addr)];
        let (old, new) =
            (Discovery::start("127.0.0.1:0", members()), Discovery::start("127.0.0.1:0", members()));
        let program = Program::start(&config_with_discovery(&old));
        Self { program, old, new, nodes }
    }

    /// Numbers of files applied and rejected.
    fn reloads(&self) -> (u64, u64) {
        (self.program.statistic("reloads_ok").unwrap(), self.program.statistic("reloads_failed").unwrap())
    }

    fn config_file(&self) -> PathBuf {
        self.program.directory().join("config.json")
    }

    fn send_sighup(&self) -> Instant {
        let signalled = Instant::now();
        self.program.signal("HUP");
        signalled
    }

    /// Waits until this number of files has been rejected.
    fn wait_for_rejections(&self, files: u64) {
        wait_until("the file's rejection", || self.reloads().1 == files);
    }

    /// Asserts that the program watches the new discovery in time and applies a drain that only the new discovery
    /// reports.
    fn assert_follows_new_discovery(&self, signalled: Instant) {
        while self.new.watch_requests() == 0 {
            let waited = signalled.elapsed();
            assert!(waited < NOTIFIED_AFTER, "no watch of the new discovery {waited:?} after SIGHUP");
            sleep(Duration::from_millis(5));
        }
        self.new.set_state("a", "draining");
        wait_until("the drain", || self.program.statistic("data_nodes_excluded") == Some(1));
        let parts = || self.nodes[0].received_parts().len();
        let before = parts();
        for shard in 0..4 {
            assert_eq!(query(self.program.addr, "tag-lookup", &[shard]).unwrap().status, 200);
        }
        assert_eq!(parts(), before, "sent a part to a draining data node");
    }
}

/// Counts the log lines on rejected files.
fn rejection_count(log: &str) -> usize {
    log.lines().filter(|l| l.contains("configuration rejected")).count()
}

/// A configuration is still incomplete when SIGHUP arrives. The incomplete file is rejected at once, and the complete
/// one is applied without another signal.
#[test]
fn incomplete_file_is_applied_once_it_is_complete() {
    let moving = MovingDiscovery::start();
    let complete = config_with_discovery(&moving.new);
    for (turn, cut) in [complete.len() / 2, 0].into_iter().enumerate() {
        moving.program.replace_config(&complete[..cut]);
        let signalled = moving.send_sighup();
        moving.wait_for_rejections(turn as u64 + 1);
        assert_eq!(moving.new.list_requests(), usize::from(turn > 0));
        moving.program.replace_config(&complete);
        match turn {
            0 => moving.assert_follows_new_discovery(signalled),
            _ => wait_until("the complete file to be applied", || moving.reloads().0 == 2),
        }
    }
    assert_eq!(moving.reloads(), (2, 2));
    assert_eq!((moving.new.list_requests(), moving.old.watch_requests()), (1, 1));
    moving.program.signal("TERM");
    let log = moving.program.wait_for_exit();
    assert_eq!(rejection_count(&log), 2, "{log}");
}

/// The file cannot be read for a moment: it is missing, a directory, or a symbolic link to itself. The read is retried.
#[test]
fn unreadable_file_is_read_again() {
    type FileChange = fn(&Path);
    let faults: [(FileChange, FileChange, &str); 3] = [
        (|path| std::fs::remove_file(path).unwrap(), |_| (), "No such file"),
        (
            |path| {
                std::fs::remove_file(path).unwrap();
                std::fs::create_dir(path).unwrap();
            },
            |path| std::fs::remove_dir(path).unwrap(),
            "directory",
        ),
        (
            |path| {
                std::fs::remove_file(path).unwrap();
                symlink("config.json", path).unwrap();
            },
            |path| std::fs::remove_file(path).unwrap(),
            "symbolic links",
        ),
    ];
    for (inject, repair, error) in faults {
        let moving = MovingDiscovery::start();
        inject(&moving.config_file());
        let signalled = moving.send_sighup();
        moving.wait_for_rejections(1);
        repair(&moving.config_file());
        moving.program.replace_config(&config_with_discovery(&moving.new));
        moving.assert_follows_new_discovery(signalled);
        assert_eq!(moving.reloads(), (1, 1), "{error}");
        moving.program.signal("TERM");
        let log = moving.program.wait_for_exit();
        let line = log.lines().find(|l| l.contains("configuration rejected")).unwrap();
        assert!(line.contains(error) && rejection_count(&log) == 1, "{log}");
    }
}

/// The file is replaced while it is read, with no further SIGHUP. The truncated content is rejected and the new file is
/// applied.
#[test]
fn file_replaced_while_it_is_read_is_read_again() {
    let moving = MovingDiscovery::start();
    let signalled = Instant::now();
    let mut slow_writer = moving.program.reload_pipe();
    let complete = config_with_discovery(&moving.new);
    slow_writer.write_all(&complete.as_bytes()[..complete.len() / 2]).unwrap();
    moving.program.replace_config(&complete);
    drop(slow_writer);
    moving.assert_follows_new_discovery(signalled);
    assert_eq!(moving.reloads(), (1, 1));
}

/// A read hangs, here of a pipe with a silent writer, when a newer SIGHUP arrives. The newer file is applied, and what
/// the pipe returns later is not.
#[test]
fn hanging_read_does_not_delay_a_newer_file() {
    let moving = MovingDiscovery::start();
    let mut silent_writer = moving.program.reload_pipe();
    moving.program.replace_config(&config_with_discovery(&moving.new));
    let signalled = moving.send_sighup();
    moving.assert_follows_new_discovery(signalled);
    // The pipe was rejected when its read was abandoned.
    assert_eq!(moving.reloads(), (1, 1));
    silent_writer.write_all(config_with_discovery(&moving.old).as_bytes()).unwrap();
    drop(silent_writer);
    moving.program.reload("{}");
    moving.wait_for_rejections(2);
    assert_eq!((moving.reloads().0, moving.old.watch_requests(), moving.new.watch_requests()), (1, 1, 1));
    moving.program.signal("TERM");
    let log = moving.program.wait_for_exit();
    assert!(rejection_count(&log) == 2 && log.contains("too long"), "{log}");
}

/// A complete but invalid file is rejected without a retry, including its discovery address. A file that replaces it is
/// read only after another SIGHUP.
#[test]
fn complete_but_invalid_file_is_not_read_again() {
    let moving = MovingDiscovery::start();
    let invalid = config(&moving.new, |c| drop(c["settings"].as_object_mut().unwrap().remove("rules")));
    moving.program.reload(&invalid);
    moving.wait_for_rejections(1);
    moving.program.replace_config(&config_with_discovery(&moving.new));
    sleep(NOTIFIED_AFTER + Duration::from_millis(200));
    assert_eq!((moving.reloads(), moving.new.list_requests() + moving.new.watch_requests()), ((0, 1), 0));
    let signalled = moving.send_sighup();
    moving.assert_follows_new_discovery(signalled);
    assert_eq!(moving.reloads(), (1, 1));
}

/// A retry applies a file before the SIGHUP for this file arrives. The statistics count the file once; the next SIGHUP
/// is counted again.
#[test]
fn file_applied_before_its_signal_is_counted_once() {
    let moving = MovingDiscovery::start();
    moving.program.reload("{");
    moving.wait_for_rejections(1);
    moving.program.replace_config(&config_with_discovery(&moving.new));
    wait_until("the file to be processed", || moving.reloads() == (1, 1));
    // The same text through a pipe, whose open returns when the read of this SIGHUP has begun.
    let mut same = moving.program.reload_pipe();
    same.write_all(config_with_discovery(&moving.new).as_bytes()).unwrap();
    drop(same);
    moving.program.reload("{}");
    moving.wait_for_rejections(2);
    assert_eq!(moving.reloads(), (1, 2));
    moving.program.reload(&config_with_discovery(&moving.new));
    wait_until("the next signal's file to be processed", || moving.reloads() == (2, 2));
    assert_eq!((moving.new.watch_requests(), moving.new.list_requests()), (1, 1));
}

/// The discovery address changes back and forth in quick succession, with incomplete files in between. The last file
/// and its discovery address are in effect.
#[test]
fn last_of_many_files_is_in_effect() {
    let moving = MovingDiscovery::start();
    let (old, new) = (config_with_discovery(&moving.old), config_with_discovery(&moving.new));
    for text in [&new, &old, &new, &new, &new[..100].to_string(), &old, &old[..200].to_string(), &new] {
        moving.program.reload(text);
    }
    let signalled = Instant::now();
    // Earlier changes may have opened watches of the new discovery too; but its drain is applied only if it is in
    // effect.
    moving.assert_follows_new_discovery(signalled);
    // Changes back to the old address, and then reloads the same file.
    let watches = moving.old.watch_requests();
    moving.program.reload(&old);
    wait_until("the return to the old discovery", || moving.old.watch_requests() == watches + 1);
    let (applied, _) = moving.reloads();
    moving.program.reload(&old);
    wait_until("the same file to be applied again", || moving.reloads().0 > applied);
    assert_eq!(moving.old.watch_requests(), watches + 1, "reconnected although the address is unchanged");
    moving.old.set_state("b", "draining");
    wait_until("the drain at the old discovery", || {
        moving.program.statistic("data_nodes_excluded") == Some(1)
    });
}

/// SIGTERM arrives while a file waits for a retry, or while a read hangs. The process ends as usual, and a file that is
/// completed during the shutdown is still applied.
#[test]
fn retries_do_not_delay_shutdown() {
    for hangs in [false, true] {
        let mut moving = MovingDiscovery::start();
        moving.program.reload("{");
        moving.wait_for_rejections(1);
        if hangs {
            moving.program.reload_with(make_pipe);
        }
        moving.program.signal("TERM");
        if !hangs {
            moving.program.replace_config(&config_with_discovery(&moving.new));
            let new = moving.new.clone();
            moving.program.wait_until("a watch at the new discovery", || new.watch_requests() == 1);
        }
        let log = moving.program.wait_for_exit();
        assert!(log.contains(" ends; counters:"), "{log}");
    }
}

/// A file that only the start needs, here a frontend's keys, is missing at a reload. The reload does not read it.
#[test]
fn reload_reads_only_the_configuration_file() {
    let edge = r#"
        [desk]
        listen = "127.0.0.1:0"
        cursor_keys = "keys"
        [[desk.sets]]
        id = "accounts"
        title = "Accounts"
        class = "tag-lookup"
        measures = [{ name = "balance" }]
    "#;
    let MovingDiscovery { program, old, new, nodes } = MovingDiscovery::start();
    drop(program);
    let program = Program::start_prepared(&config_with_discovery(&old), None, |directory| {
        std::fs::create_dir(directory.join("deploy")).unwrap();
        std::fs::write(directory.join("deploy/edge.toml"), edge).unwrap();
        std::fs::write(directory.join("keys"), "5f".repeat(32)).unwrap();
        std::fs::set_permissions(directory.join("keys"), PermissionsExt::from_mode(0o600)).unwrap();
    });
    let moving = MovingDiscovery { program, old, new, nodes };
    std::fs::remove_file(moving.program.directory().join("keys")).unwrap();
    moving.program.replace_config(&config_with_discovery(&moving.new));
    let signalled = moving.send_sighup();
    moving.assert_follows_new_discovery(signalled);
    assert_eq!(moving.reloads(), (1, 0));
}
