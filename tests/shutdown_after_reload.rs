//! SIGTERM after SIGHUP has changed the classes. SIGKILL may follow as soon as the longest deadline of the classes in
//! force allows; by then every request is answered, also one of a class that was dropped. The program runs as a
//! separate process on loopback and is killed at the earliest permitted time.

mod harness;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use curlewdeck::config::Config;

use harness::shutdown_trial::{
    config, reply, ClassDeadline, Request, RequestEnd, RequestLog, ShutdownTrial, TrialEnd, CHANGING_CLASS,
    KILL_DELAY, LONG_CLASSES, LONG_DEADLINE, SHORTENED_CLASSES, SHORT_DEADLINE, SILENT_SHARD,
    STEADY_CLASS_ONLY,
};
use harness::{query_bytes, start, start_two_data_nodes, wait_until, wait_until_healthy, Program};

/// Applies these files one after the other, then sends SIGTERM, and SIGKILL at the earliest time that the longest
/// deadline permits. Asserts that no request is unanswered then.
fn restart_after_reloads(files: &[&[ClassDeadline]], longest_deadline: Duration) -> TrialEnd {
    let mut trial = ShutdownTrial::start();
    files.iter().for_each(|classes| trial.reload(classes));
    let terminated_at = trial.terminate();
    trial.kill_and_check(terminated_at, longest_deadline)
}

/// A deadline that no class in force has any more must not keep connections open up to SIGKILL: the class was dropped.
#[test]
fn deadline_of_a_dropped_class_does_not_extend_the_shutdown() {
    restart_after_reloads(&[STEADY_CLASS_ONLY], SHORT_DEADLINE);
}

/// The same fault by a class that keeps its name and gets a shorter deadline.
#[test]
fn earlier_deadline_of_a_shortened_class_does_not_extend_the_shutdown() {
    restart_after_reloads(&[SHORTENED_CLASSES], SHORT_DEADLINE);
}

/// The same fault by several reloads: a class is dropped, brought back with its long deadline, and shortened.
#[test]
fn last_of_several_reloads_limits_the_shutdown() {
    restart_after_reloads(&[STEADY_CLASS_ONLY, LONG_CLASSES, SHORTENED_CLASSES], SHORT_DEADLINE);
}

/// A class that is brought back counts again: requests must not be turned away as if its deadline were still gone.
#[test]
fn deadline_of_a_class_that_is_brought_back_extends_the_shutdown() {
    let end = restart_after_reloads(&[STEADY_CLASS_ONLY, LONG_CLASSES], LONG_DEADLINE);
    let is_late = |r: &&Request| r.sent_at > end.terminated_at + SHORT_DEADLINE;
    let late: Vec<_> = end.requests.iter().filter(is_late).filter_map(|r| r.end).collect();
    assert!(late.contains(&RequestEnd::Answered(200)), "{late:?}\n{}", end.log);
}

/// The same fault at a hand-over: an idle connection of the old process must end before SIGKILL may come.
#[test]
fn deadline_of_a_dropped_class_does_not_extend_a_hand_over() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut trial = ShutdownTrial::start_with(Some(&listener));
    trial.reload(STEADY_CLASS_ONLY);
    let _new = Program::start_with(&config(&trial.discovery, STEADY_CLASS_ONLY), Some(&listener));
    let terminated_at = trial.terminate();
    trial.kill_and_check(terminated_at, SHORT_DEADLINE);
}

/// The same fault where SIGTERM comes right after a reload: the core, busy, has not taken the new settings yet.
#[test]
fn settings_that_the_core_has_not_taken_yet_limit_the_shutdown() {
    // The core is busy until after the shutdown has begun.
    const CORE_BUSY: Duration = Duration::from_millis(300);
    let (a, b, discovery) = start_two_data_nodes(reply, reply);
    let coordinator = Arc::new(start(&config(&discovery, LONG_CLASSES), ""));
    wait_until_healthy(&coordinator);
    let log = RequestLog::default();
    let (open_log, addr) = (log.clone(), coordinator.listen);
    let open = thread::spawn(move || {
        let request = query_bytes(CHANGING_CLASS, &[SILENT_SHARD], "60000m");
        open_log.send(&mut TcpStream::connect(addr).unwrap(), &request)
    });
    let parts = || a.received_parts().len() + b.received_parts().len();
    wait_until("the open query", || parts() > 0);
    let (busy_sender, busy) = mpsc::channel();
    coordinator.core.ledger_snapshot(move |_| {
        busy_sender.send(()).unwrap();
        sleep(CORE_BUSY);
    });
    busy.recv().unwrap();
    let settings = Config::read(&config(&discovery, STEADY_CLASS_ONLY), |_| None).unwrap();
    coordinator.apply_config(settings).unwrap();
    let terminated_at = Instant::now();
    let finishing = thread::spawn(move || coordinator.finish());
    open.join().unwrap();
    let answered_after = terminated_at.elapsed();
    finishing.join().unwrap();
    assert!(matches!(log.requests()[0].end, Some(RequestEnd::Answered(_))), "{:?}", log.requests());
    assert!(answered_after < SHORT_DEADLINE + KILL_DELAY, "answered {answered_after:?} after SIGTERM");
}

/// SIGTERM comes right after SIGHUP: whether the file is read before or after it, the shutdown goes by the new file.
#[test]
fn sigterm_right_after_sighup_is_limited_by_the_new_settings() {
    let trial = ShutdownTrial::start();
    trial.program.reload(&config(&trial.discovery, STEADY_CLASS_ONLY));
    let terminated_at = trial.terminate();
    trial.kill_and_check(terminated_at, SHORT_DEADLINE);
}

/// The same fault where the file is still being read at SIGTERM: the limits of the old settings must not stay.
#[test]
fn settings_applied_during_the_shutdown_shorten_it() {
    // Part of the time for which requests are still accepted by the new settings.
    const READ_DURATION: Duration = Duration::from_millis(300);
    let trial = ShutdownTrial::start();
    let (mut file, terminated_at) = trial.terminate_during_read();
    sleep(READ_DURATION);
    file.write_all(config(&trial.discovery, STEADY_CLASS_ONLY).as_bytes()).unwrap();
    drop(file);
    let log = trial.kill_and_check(terminated_at, SHORT_DEADLINE).log;
    assert!(log.contains("configuration applied"), "{log}");
}

/// Settings with longer deadlines that are applied during the shutdown must not extend it: SIGKILL may follow by the
/// deadlines at SIGTERM.
#[test]
fn settings_applied_during_the_shutdown_do_not_extend_it() {
    let mut trial = ShutdownTrial::start();
    trial.reload(STEADY_CLASS_ONLY);
    let (mut file, terminated_at) = trial.terminate_during_read();
    file.write_all(config(&trial.discovery, LONG_CLASSES).as_bytes()).unwrap();
    drop(file);
    let log = trial.kill_and_check(terminated_at, SHORT_DEADLINE).log;
    assert_eq!(log.matches("configuration applied").count(), 2, "{log}");
}
