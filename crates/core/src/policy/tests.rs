use super::Policy;
use crate::api::{Nanos, Settings};
use crate::settings;

const MS: Nanos = 1_000_000;

/// Returns settings with one class that has this latency objective.
fn settings_with_objective(objective: Nanos) -> Settings {
    let class = format!(
        r#"{{"name":"a","aim_ns":{objective},"deadline_ns":9000000000,"effect":"idempotent","importance":1,
        "late_worth":0.3}}"#
    );
    let text = format!(
        r#"{{"balancers":1,"classes":[{class}],"discovery":"pushed","domain":{{"batch":1,"overhead_ns":0,
        "class_floor":[1],"class_partial":[0.9],"complete_from":[1],"in_a_row":1,"positions":1,"ranges":1,
        "second_step":[0]}},"limits":{{"cancel":true,"max_attempts":3,"max_open":60,"probes":true,
        "may_duplicate":true}},"rules":{{"cold_ns":1000000000,"cold_share":0.2,"fall_ns":1000000000,
        "must_ask_in_ns":1000000000,"tip_multiple":2}},"tick_ns":5000000,"zones":["a"]}}"#
    );
    settings::parse(&text).unwrap().settings
}

/// The attempts must be counted over the new, longer window: steady traffic looks low if the count still
/// covers the old one.
#[test]
fn the_mean_send_interval_is_kept_when_the_latency_objective_becomes_longer() {
    let mut policy = Policy::new(settings_with_objective(500 * MS), 7).unwrap();
    policy.update_settings(settings_with_objective(5000 * MS));
    policy.endpoints.active = 1;
    for _ in 0..400 {
        policy.now += 100 * MS;
        let now = policy.now;
        policy.counts.first_attempts.add(now);
    }
    let interval = policy.mean_send_interval();
    assert!((90e6..110e6).contains(&interval), "{interval}");
}

/// Samples must count for as long as the new, longer objective allows: at low traffic all of them are older
/// than the age that the old objective allowed, and nothing would be known about latencies and client
/// timeouts.
#[test]
fn samples_count_by_the_latency_objective_in_force() {
    let mut policy = Policy::new(settings_with_objective(500 * MS), 7).unwrap();
    policy.update_settings(settings_with_objective(5000 * MS));
    for _ in 0..20 {
        policy.now += MS;
        let now = policy.now;
        policy.latency.record(now, 30 * MS);
        policy.client_timeouts[0].add(now, 900 * MS);
    }
    let timeout = |policy: &Policy| policy.client_timeouts[0].quantile(policy.now, 0.5, 8);
    policy.now += 20_000 * MS;
    policy.refresh_latency_quantiles();
    assert_eq!((policy.latency.tail, timeout(&policy)), (Some(30 * MS), Some(900 * MS)));
    policy.update_settings(settings_with_objective(500 * MS));
    policy.now += 5 * MS;
    policy.refresh_latency_quantiles();
    assert_eq!((policy.latency.tail, timeout(&policy)), (None, None));
}
