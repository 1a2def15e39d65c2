//! New configurations that cannot be read at first, on loopback: a file that is half written, that is missing, that is
//! something else for a moment, or that does not end. The program runs in processes of its own, and a move of discovery
//! must reach it in time whatever became of the first read after SIGHUP.

mod harness;

use std::fs::File;
use std::io::Write;
use std::os::unix::fs::{symlink, PermissionsExt};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use harness::stand_in::{DataNode, Discovery};
use harness::{member, query, served, until, Program, TestCluster};

/// What discovery has counts as notified so long after SIGHUP.
const NOTIFIED_AFTER: Duration = Duration::from_secs(4);

/// A configuration with a second address that names this discovery, changed as the test wants.
fn config(discovery: &Discovery, change: impl FnOnce(&mut Value)) -> String {
    let mut config: Value = serde_json::from_str(&TestCluster::default().config(discovery.addr)).unwrap();
    config["control"] = json!("127.0.0.1:0");
    change(&mut config);
    config.to_string()
}

fn naming(discovery: &Discovery) -> String {
    config(discovery, |_| ())
}

/// A program whose discovery moves from `old` to `new`, and two data nodes that both of them list.
struct MovingDiscovery {
    program: Program,
    old: Discovery,
    new: Discovery,
    nodes: [DataNode; 2],
}

impl MovingDiscovery {
    fn start() -> Self {
        let nodes = [DataNode::start(served), DataNode::start(served)];
        let list = || vec![member("a", 0, nodes[0].addr), member("b", 1, nodes[1].addr)];
        let (old, new) = (Discovery::start("127.0.0.1:0", list()), Discovery::start("127.0.0.1:0", list()));
        let program = Program::start(&naming(&old));
        Self { program, old, new, nodes }
    }

    /// Files applied and rejected.
    fn reloads(&self) -> (u64, u64) {
        (self.program.figure("reloads_ok").unwrap(), self.program.figure("reloads_failed").unwrap())
    }

    fn config_file(&self) -> PathBuf {
        self.program.folder().join("config.json")
    }

    fn send_sighup(&self) -> Instant {
        let signalled = Instant::now();
        self.program.signal("HUP");
        signalled
    }

    /// Has a pipe read as its configuration; returns the end that writes to it, once the read has begun.
    fn reload_pipe(&self) -> File {
        let pipe = self.program.reload_made(make_pipe);
        File::options().write(true).open(pipe).unwrap()
    }

    fn assert_rejected(&self, files: u64) {
        until("the file to be turned down", || self.reloads().1 == files);
    }

    /// The new discovery must be watched in time, and its drain of the first data node be heeded; the old one tells of
    /// no drain.
    fn assert_follows(&self, signalled: Instant) {
        while self.new.watches() == 0 {
            let waited = signalled.elapsed();
            assert!(waited < NOTIFIED_AFTER, "{waited:?} after SIGHUP the new discovery is not asked");
            sleep(Duration::from_millis(5));
        }
        self.new.set("a", "draining");
        until("the drain", || self.program.figure("data_nodes_excluded") == Some(1));
        let parts = || self.nodes[0].parts().len();
        let before = parts();
        for shard in 0..4 {
            assert_eq!(query(self.program.addr, "tag-lookup", &[shard]).unwrap().status, 200);
        }
        assert_eq!(parts(), before, "sent to a draining data node");
    }
}

/// The log's lines on rejected files.
fn rejection_lines(log: &str) -> usize {
    log.lines().filter(|l| l.contains("configuration rejected")).count()
}

fn make_pipe(path: &Path) {
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

/// Guards a configuration that is put in place in halves, under one SIGHUP: the first half is rejected at once, and
/// the complete file is applied without another signal.
#[test]
fn a_file_written_in_halves_is_applied_once_it_is_complete() {
    let moving = MovingDiscovery::start();
    let complete = naming(&moving.new);
    for (turn, cut) in [complete.len() / 2, 0].into_iter().enumerate() {
        moving.program.put(&complete[..cut]);
        let signalled = moving.send_sighup();
        moving.assert_rejected(turn as u64 + 1);
        assert_eq!(moving.new.lists(), usize::from(turn > 0));
        moving.program.put(&complete);
        match turn {
            0 => moving.assert_follows(signalled),
            _ => until("the whole file", || moving.reloads().0 == 2),
        }
    }
    assert_eq!(moving.reloads(), (2, 2));
    assert_eq!((moving.new.lists(), moving.old.watches()), (1, 1));
    moving.program.signal("TERM");
    let log = moving.program.ended();
    assert_eq!(rejection_lines(&log), 2, "{log}");
}

/// Guards a file that cannot be read for a moment: it is missing, a folder, or a link that leads to itself.
#[test]
fn an_unreadable_file_is_read_again() {
    type Spoil = fn(&Path);
    let spoils: [(Spoil, Spoil, &str); 3] = [
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
    for (spoil, mend, why) in spoils {
        let moving = MovingDiscovery::start();
        spoil(&moving.config_file());
        let signalled = moving.send_sighup();
        moving.assert_rejected(1);
        mend(&moving.config_file());
        moving.program.put(&naming(&moving.new));
        moving.assert_follows(signalled);
        assert_eq!(moving.reloads(), (1, 1), "{why}");
        moving.program.signal("TERM");
        let log = moving.program.ended();
        let line = log.lines().find(|l| l.contains("configuration rejected")).unwrap();
        assert!(line.contains(why) && rejection_lines(&log) == 1, "{log}");
    }
}

/// Guards a file that is replaced while it is read, with no further SIGHUP: what was read is cut short, and the file that
/// is there by then holds.
#[test]
fn a_file_replaced_while_it_is_read_is_read_again() {
    let moving = MovingDiscovery::start();
    let signalled = Instant::now();
    let mut slow = moving.reload_pipe();
    let complete = naming(&moving.new);
    slow.write_all(&complete.as_bytes()[..complete.len() / 2]).unwrap();
    moving.program.put(&complete);
    drop(slow);
    moving.assert_follows(signalled);
    assert_eq!(moving.reloads(), (1, 1));
}

/// Guards a newer SIGHUP against a read that does not end, here of a pipe whose writer says nothing: the newer file is
/// applied all the same, and what the pipe gives in the end is not.
#[test]
fn a_hanging_read_does_not_delay_a_newer_file() {
    let moving = MovingDiscovery::start();
    let mut silent = moving.reload_pipe();
    moving.program.put(&naming(&moving.new));
    let signalled = moving.send_sighup();
    moving.assert_follows(signalled);
    // The pipe's file was rejected when its read was abandoned.
    assert_eq!(moving.reloads(), (1, 1));
    silent.write_all(naming(&moving.old).as_bytes()).unwrap();
    drop(silent);
    moving.program.reload("{}");
    moving.assert_rejected(2);
    assert_eq!((moving.reloads().0, moving.old.watches(), moving.new.watches()), (1, 1, 1));
    moving.program.signal("TERM");
    let log = moving.program.ended();
    assert!(rejection_lines(&log) == 2 && log.contains("too long"), "{log}");
}

/// Guards a file that is complete and invalid: it is rejected for good, its discovery included, and what is put in its place
/// waits for its own SIGHUP.
#[test]
fn a_complete_but_invalid_file_is_not_read_again() {
    let moving = MovingDiscovery::start();
    let bad = config(&moving.new, |c| drop(c["settings"].as_object_mut().unwrap().remove("rules")));
    moving.program.reload(&bad);
    moving.assert_rejected(1);
    moving.program.put(&naming(&moving.new));
    sleep(NOTIFIED_AFTER + Duration::from_millis(200));
    assert_eq!((moving.reloads(), moving.new.lists() + moving.new.watches()), ((0, 1), 0));
    let signalled = moving.send_sighup();
    moving.assert_follows(signalled);
    assert_eq!(moving.reloads(), (1, 1));
}

/// Guards the figures where a file is applied by a retry before its own SIGHUP comes: it is one file. The next SIGHUP
/// counts again.
#[test]
fn a_file_applied_before_its_signal_is_counted_once() {
    let moving = MovingDiscovery::start();
    moving.program.reload("{");
    moving.assert_rejected(1);
    moving.program.put(&naming(&moving.new));
    until("the file", || moving.reloads() == (1, 1));
    // A pipe with the same text, which tells when the signal's read has begun.
    let mut same = moving.reload_pipe();
    same.write_all(naming(&moving.new).as_bytes()).unwrap();
    drop(same);
    moving.program.reload("{}");
    moving.assert_rejected(2);
    assert_eq!(moving.reloads(), (1, 2));
    moving.program.reload(&naming(&moving.new));
    until("the next signal's file", || moving.reloads() == (2, 2));
    assert_eq!((moving.new.watches(), moving.new.lists()), (1, 1));
}

/// Guards moves that come fast upon each other, there and back, with halves in between: the last file holds, and
/// discovery where it names it.
#[test]
fn the_last_of_many_files_holds() {
    let moving = MovingDiscovery::start();
    let (old, new) = (naming(&moving.old), naming(&moving.new));
    for text in [&new, &old, &new, &new, &new[..100].to_string(), &old, &old[..200].to_string(), &new] {
        moving.program.reload(text);
    }
    let signalled = Instant::now();
    // Watches of the moves before do not hide that the last one holds: only the new discovery tells of this drain.
    moving.assert_follows(signalled);
    // Back again, and the same address once more.
    let watches = moving.old.watches();
    moving.program.reload(&old);
    until("the way back", || moving.old.watches() == watches + 1);
    let (taken, _) = moving.reloads();
    moving.program.reload(&old);
    until("the same file", || moving.reloads().0 > taken);
    assert_eq!(moving.old.watches(), watches + 1, "moved to where it is");
    moving.old.set("b", "draining");
    until("its drain", || moving.program.figure("data_nodes_excluded") == Some(1));
}

/// Guards SIGTERM while a file is waiting to be read again, and while one is read that does not end: the process ends as
/// ever, and a complete file is still applied on the way.
#[test]
fn retries_do_not_delay_shutdown() {
    for hangs in [false, true] {
        let mut moving = MovingDiscovery::start();
        moving.program.reload("{");
        moving.assert_rejected(1);
        if hangs {
            moving.program.reload_made(make_pipe);
        }
        moving.program.signal("TERM");
        if !hangs {
            moving.program.put(&naming(&moving.new));
            let new = moving.new.clone();
            moving.program.until("the new discovery", || new.watches() == 1);
        }
        let log = moving.program.ended();
        assert!(log.contains(" ends; counters:"), "{log}");
    }
}

/// Guards a reload against files that only the start needs: the keys of a front, which cannot be read for a moment.
#[test]
fn a_reload_reads_no_file_but_its_own() {
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
    let program = Program::start_prepared(&naming(&old), None, |folder| {
        std::fs::create_dir(folder.join("deploy")).unwrap();
        std::fs::write(folder.join("deploy/edge.toml"), edge).unwrap();
        std::fs::write(folder.join("keys"), "5f".repeat(32)).unwrap();
        std::fs::set_permissions(folder.join("keys"), PermissionsExt::from_mode(0o600)).unwrap();
    });
    let moving = MovingDiscovery { program, old, new, nodes };
    std::fs::remove_file(moving.program.folder().join("keys")).unwrap();
    moving.program.put(&naming(&moving.new));
    let signalled = moving.send_sighup();
    moving.assert_follows(signalled);
    assert_eq!(moving.reloads(), (1, 0));
}
