//! The drain rule while no update of the list arrives, whatever the cause: the list is used no longer than an unheard
//! change may be, and again from the next update on. A discovery that is out of reach ends nothing.

mod harness;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use harness::discovery_faults::CallFault;
use harness::drain_check::{Delivery, NodeState};
use harness::drain_trial::{all_pass, Trial, Verdict, BOTH};
use harness::faulty_discovery::FaultyDiscovery;
use harness::until;

const NODES: [&str; 4] = ["drains", "removed", "stays-1", "stays-2"];
const SHUT: [(&str, NodeState); 2] = [("drains", NodeState::Draining), ("removed", NodeState::Removed)];

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What becomes of calls from a moment on.
#[derive(Debug, Clone, Copy)]
enum Calls {
    /// Every call takes so long.
    Late(CallFault),
    /// Calls fail for so long.
    FailFor(CallFault, Duration),
}

impl Calls {
    fn fault(self) -> CallFault {
        match self {
            Self::Late(fault) | Self::FailFor(fault, _) => fault,
        }
    }

    /// Waits until calls that fail are over, and has them well again; calls that are late stay so.
    fn pass(self, service: &FaultyDiscovery) {
        if let Self::FailFor(_, span) = self {
            thread::sleep(span);
            service.faults(|f| f.all = None);
        }
    }
}

/// Coordinators of a fleet, whose size spreads their calls.
const FLEETS: [u32; 2] = [1, 40];
/// After the last fault has ended, for calls and queries to be well again.
const RECOVERY: Duration = ms(10_000);

/// A coordinator that asks for its list, follows a watch and sends to all data nodes: its trial, service and number.
fn following(name: &str, fleet: u32) -> (Trial, Arc<FaultyDiscovery>, usize) {
    following_by(Delivery::OnRequest, name, fleet)
}

/// The same with a list that comes so.
fn following_by(delivery: Delivery, name: &str, fleet: u32) -> (Trial, Arc<FaultyDiscovery>, usize) {
    let mut trial = Trial::new(name, delivery, &NODES);
    trial.fleet = fleet;
    let service = trial.service();
    let number = trial.start(&service);
    trial.in_use(&NODES);
    (trial, service, number)
}

// ---- Watches that end instead of telling. ----

fn ended_watch(calls: Calls, fleet: u32) -> Verdict {
    let name = format!("watch ended instead of telling, fleet of {fleet}, {calls:?}");
    let (trial, service, _) = following(&name, fleet);
    service.faults(|f| f.all = Some(calls.fault()));
    service.end_watches_instead_of_telling(|catalog| catalog.set_all(&SHUT, Duration::ZERO));
    calls.pass(&service);
    trial.finish_after(RECOVERY)
}

/// Guards against a list that is used on after its watch has ended, while the next call is not answered: what the watch
/// should have told counts 2 s after its end.
#[test]
fn a_list_whose_watch_has_ended_is_used_no_longer_than_its_changes_may_be_unheard() {
    let calls = [
        Calls::Late(CallFault::HeadDelayed(ms(3500))),
        Calls::Late(CallFault::BodyDelayed(ms(5000))),
        Calls::FailFor(CallFault::Silent, ms(4000)),
        Calls::FailFor(CallFault::Unavailable, ms(4500)),
        Calls::FailFor(CallFault::Reset, ms(4500)),
        Calls::FailFor(CallFault::HalfAnswer, ms(4000)),
    ];
    let kinds = calls.into_iter().flat_map(|calls| FLEETS.map(|fleet| (calls, fleet)));
    all_pass(kinds.collect(), |(calls, fleet)| ended_watch(calls, fleet));
}

// ---- Watches that fall silent. ----

fn silent_watch(calls: Calls, fleet: u32) -> Verdict {
    let (trial, service, _) = following(&format!("silent watch, fleet of {fleet}, {calls:?}"), fleet);
    service.faults(|f| f.all = Some(calls.fault()));
    service.silence_watches();
    trial.catalog.set_all(&SHUT, Duration::ZERO);
    calls.pass(&service);
    trial.finish_after(RECOVERY)
}

/// Guards against a list that is used on after its watch has fallen silent, while the calls beside it fail: what the
/// watch should have told counts 6 s after it fell silent.
#[test]
fn a_list_whose_watch_is_silent_is_used_no_longer_than_its_changes_may_be_unheard() {
    let calls = [CallFault::Silent, CallFault::Unavailable, CallFault::HalfAnswer]
        .map(|fault| Calls::FailFor(fault, ms(9000)));
    let kinds = calls.into_iter().flat_map(|calls| FLEETS.map(|fleet| (calls, fleet)));
    all_pass(kinds.collect(), |(calls, fleet)| silent_watch(calls, fleet));
}

/// So long after its last line a watch is silent as discovery goes out of reach: longer than between two heartbeats; and so
/// that a local agent, which has not answered the call beside the silent watch, is called once more in that moment.
const SILENT_BEFORE_OUTAGE: [Duration; 2] = [ms(3000), ms(3095)];

fn silent_watch_then_outage(silent_for: Duration, fleet: u32, delivery: Delivery) -> Verdict {
    let name = format!("silent watch, out of reach after {silent_for:?}, fleet of {fleet}");
    let (trial, service, _) = following_by(delivery, &name, fleet);
    // A call beside the silent watch is not answered.
    service.faults(|f| f.all = Some(CallFault::Silent));
    let before = service.writes().len();
    until("a line of the watch", || service.writes().len() > before);
    let last_line = Instant::now();
    service.silence_watches();
    trial.catalog.set_all(&SHUT, Duration::ZERO);
    thread::sleep(silent_for.saturating_sub(last_line.elapsed()));
    service.go_down();
    thread::sleep(OUT_OF_REACH);
    service.faults(|f| f.all = None);
    service.come_back();
    trial.finish_after(RECOVERY)
}

/// Guards against an outage that excuses what a silent watch missed before it: that counts 6 s after the watch fell
/// silent, out of reach or not.
#[test]
fn a_list_whose_watch_was_silent_is_not_used_on_while_discovery_is_out_of_reach() {
    let each = |span| FLEETS.into_iter().flat_map(move |fleet| BOTH.map(|way| (span, fleet, way)));
    let kinds = SILENT_BEFORE_OUTAGE.into_iter().flat_map(each);
    all_pass(kinds.collect(), |(span, fleet, way)| silent_watch_then_outage(span, fleet, way));
}

// ---- Services that have moved. ----

fn moved(calls: Calls) -> Verdict {
    let (mut trial, old, number) = following(&format!("move, then {calls:?}"), 1);
    let next = trial.service();
    let version = trial.catalog.version();
    old.faults(|f| f.lags_at = Some(version));
    trial.catalog.set_all(&SHUT, Duration::ZERO);
    next.faults(|f| f.all = Some(calls.fault()));
    trial.move_to(number, &next);
    calls.pass(&next);
    trial.finish_after(RECOVERY)
}

/// Guards against a list of the service before that is used on while the new one is not heard: what that has counts 4 s
/// after SIGHUP.
#[test]
fn a_list_of_a_service_that_was_left_is_used_no_longer_than_the_next_one_may_be_unheard() {
    let calls = [
        Calls::Late(CallFault::HeadDelayed(ms(5500))),
        Calls::FailFor(CallFault::Silent, ms(6500)),
        Calls::FailFor(CallFault::Unavailable, ms(6500)),
        Calls::FailFor(CallFault::Reset, ms(6500)),
    ];
    all_pass(calls.to_vec(), moved);
}

// ---- Discovery is out of reach. ----

/// Far longer than any clause of the rule.
const OUT_OF_REACH: Duration = ms(12_000);

fn out_of_reach(fleet: u32, delivery: Delivery) -> Verdict {
    let name = format!("out of reach, fleet of {fleet}");
    let (mut trial, service, number) = following_by(delivery, &name, fleet);
    let begun = Instant::now();
    service.go_down();
    thread::sleep(OUT_OF_REACH);
    trial.has_served_throughout(number, begun, "while discovery was out of reach");
    trial.catalog.set_all(&SHUT, Duration::ZERO);
    service.come_back();
    trial.finish_after(RECOVERY)
}

/// Guards service while nobody answers at discovery's address: nothing can have been told then, and the list goes on being
/// used for as long as that lasts.
#[test]
fn a_list_is_used_on_while_discovery_is_out_of_reach() {
    let kinds = FLEETS.into_iter().flat_map(|fleet| BOTH.map(|way| (fleet, way)));
    all_pass(kinds.collect(), |(fleet, way)| out_of_reach(fleet, way));
}

/// Queries that keep a coordinator at work for longer than it takes to stop it.
const BURST: u64 = 200;

fn out_of_reach_at_work(fleet: u32, delivery: Delivery) -> Verdict {
    let name = format!("out of reach, its watch reset amid work, fleet of {fleet}");
    let (mut trial, service, number) = following_by(delivery, &name, fleet);
    let clients = trial.burst(number, BURST);
    trial.held_up(number, || service.go_down());
    let begun = Instant::now();
    thread::sleep(OUT_OF_REACH);
    drop(clients);
    trial.has_served_throughout(number, begun, "while discovery was out of reach");
    trial.catalog.set_all(&SHUT, Duration::ZERO);
    service.come_back();
    trial.finish_after(RECOVERY)
}

/// Guards service against a reset of the watch that is found by a check before a send, and not by the watch's reader: it is
/// no end in order, after which the list may be used for 2 s only.
#[test]
fn a_watch_that_is_reset_amid_work_has_not_ended_in_order() {
    let kinds = FLEETS.into_iter().flat_map(|fleet| BOTH.map(|way| (fleet, way)));
    all_pass(kinds.collect(), |(fleet, way)| out_of_reach_at_work(fleet, way));
}
