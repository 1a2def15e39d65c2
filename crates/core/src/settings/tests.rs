use super::*;
use crate::api::Class;
use proptest::prelude::*;

/// Settings with these classes, each given by the number of its name and of its rules.
fn deployment(classes: &[(u8, u8)]) -> Deployment {
    let class = |&(name, rules): &(u8, u8)| {
        let effect = ["idempotent", "deduplicated", "at_most_once"][usize::from(rules % 3)];
        format!(
            r#"{{"name":"c{name}","aim_ns":{},"deadline_ns":{},"effect":"{effect}","importance":1}}"#,
            1000 + u64::from(rules),
            9000 + u64::from(rules)
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    let text = format!(
        r#"{{"balancers":1,"classes":[{}],"domain":{{"batch":1,"in_a_row":1,"positions":1}},
        "limits":{{"max_attempts":3,"max_open":60}},"rules":{{"cold_ns":1,"cold_share":0.2,"fall_ns":1,
        "tip_multiple":2}},"tick_ns":5}}"#,
        classes.join(",")
    );
    parse(&text).unwrap()
}

/// Two processes that serve as one coordinator overload a data node in slow start if each uses the full allowance.
#[test]
fn processes_of_one_coordinator_share_the_slow_start_allowance() {
    let (single, shared) = (deployment(&[(0, 0)]), deployment(&[(0, 0)]).with_sibling_processes(1));
    assert_eq!((single.settings.slow_start_processes(), shared.settings.slow_start_processes()), (1.0, 2.0));
    assert_eq!(
        shared.merged_with_previous(&single).settings.slow_start_processes(),
        2.0,
        "kept when settings change"
    );
}

/// Limits on the values or on the size of the text must not reject a large deployment: 1,024 coordinators and 1,024
/// partition groups, indented.
#[test]
fn a_thousand_coordinators_and_partition_groups_are_accepted() {
    let text = r#"{"balancers":1024,"classes":[{"name":"c","aim_ns":1000,"deadline_ns":9000,"effect":"idempotent",
        "importance":1}],"domain":{"batch":1,"in_a_row":3,"positions":1024,"ranges":4096},
        "limits":{"max_attempts":3,"max_open":60},"rules":{"cold_ns":1,"cold_share":0.2,"fall_ns":1,
        "tip_multiple":2},"tick_ns":5}"#;
    let value: serde_json::Value = serde_json::from_str(text).unwrap();
    let deployment = parse(&serde_json::to_string_pretty(&value).unwrap()).unwrap();
    assert_eq!(deployment.settings.check(), Ok(()));
    assert_eq!(
        (deployment.settings.coordinators, deployment.settings.layout.partition_groups, deployment.shards),
        (1024, 1024, 4096)
    );
    assert_eq!(deployment.settings.slow_start_processes(), 1024.0);
}

/// The command line prints these texts; renaming a type of the parser changes them.
#[test]
fn parse_errors_have_stable_texts() {
    let error = |text: &str| parse(text).unwrap_err().to_string();
    assert_eq!(
        error("null"),
        "settings are not as expected: invalid type: null, expected struct WireInfo at line 1 column 4"
    );
    assert_eq!(
        error("[]"),
        "settings are not as expected: invalid length 0, expected struct WireInfo with 12 elements at line 1 column 2"
    );
    assert_eq!(
        error(r#"{"client_habits":3}"#),
        "settings are not as expected: invalid type: integer `3`, expected struct WireHabits at line 1 column 18"
    );
    let class = r#"{"name":"c","aim_ns":1,"deadline_ns":2,"effect":"none","importance":1}"#;
    let text = format!(
        r#"{{"balancers":1,"classes":[{class}],"domain":{{"batch":1,"in_a_row":1,"positions":1}},"limits":
        {{"max_attempts":3,"max_open":60}},"rules":{{"cold_ns":1,"cold_share":0.2,"fall_ns":1,"tip_multiple":2}},"tick_ns":5}}"#
    );
    assert_eq!(error(&text), "unknown effect 'none'");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A class index that changes its name or rules on a reload gives open queries the wrong rules. New queries must
    /// get exactly the classes of the latest settings.
    #[test]
    fn a_class_index_keeps_its_rules_when_settings_change(
        updates in proptest::collection::vec(proptest::collection::btree_map(0..4_u8, 0..4_u8, 1..4), 1..12),
    ) {
        let mut now: Option<Deployment> = None;
        for update in updates {
            let wanted = deployment(&update.into_iter().collect::<Vec<_>>());
            let next = match &now {
                Some(before) => wanted.clone().merged_with_previous(before),
                None => wanted.clone(),
            };
            prop_assert!(next.settings.check().is_ok());
            prop_assert_eq!(next.class_names.len(), next.settings.classes.len());
            prop_assert!(next.class_names.len() <= 16, "unchanged rules reuse their index");
            for (i, before) in now.iter().flat_map(|n| n.settings.classes.iter().enumerate()) {
                let retired = next.settings.classes[i].retired;
                prop_assert_eq!(&next.settings.classes[i], &Class { retired, ..before.clone() });
                prop_assert_eq!(&next.class_names[i], &now.as_ref().unwrap().class_names[i]);
            }
            for name in 0..4 {
                let name = format!("c{name}");
                let rules = |deployment: &Deployment| deployment.class_named(&name).map(|c| deployment.settings.classes[c.0].clone());
                prop_assert_eq!(rules(&next), rules(&wanted));
            }
            prop_assert_eq!(next.settings.shortest_latency_objective(), wanted.settings.shortest_latency_objective());
            prop_assert_eq!(next.settings.longest_latency_objective(), wanted.settings.longest_latency_objective());
            prop_assert_eq!(next.settings.longest_deadline(), wanted.settings.longest_deadline());
            now = Some(next);
        }
    }
}
