use super::*;
use proptest::prelude::*;

/// Settings of these classes, each with one of a few rules.
fn info(classes: &[(u8, u8)]) -> Deployment {
    let class = |&(name, rules): &(u8, u8)| {
        let effect = ["idempotent", "deduplicated", "at_most_once"][usize::from(rules % 3)];
        format!(
            r#"{{"name":"c{name}","aim_ns":{},"deadline_ns":9000,"effect":"{effect}","importance":1}}"#,
            1000 + u64::from(rules)
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    let text = format!(
        r#"{{"balancers":1,"classes":[{}],"domain":{{"batch":1,"in_a_row":1,"positions":1}},
        "limits":{{"max_attempts":3,"max_open":60}},"rules":{{"cold_ns":1,"cold_share":0.2,"fall_ns":1,
        "tip_multiple":2}},"tick_ns":5}}"#,
        classes.join(",")
    );
    read(&text).unwrap()
}

/// Guards cold data nodes against two processes that stand in the place of one.
#[test]
fn processes_in_one_place_share_what_a_cold_node_may_be_sent() {
    let (alone, beside) = (info(&[(0, 0)]), info(&[(0, 0)]).sharing_with(1));
    assert_eq!((alone.settings.slow_start_sharers(), beside.settings.slow_start_sharers()), (1.0, 2.0));
    assert_eq!(
        beside.carried_over_from(&alone).settings.slow_start_sharers(),
        2.0,
        "kept when settings change"
    );
}

/// Guards large deployments: the settings of 1,024 coordinators and 1,024 cells, indented, are taken as they are.
#[test]
fn a_thousand_coordinators_and_cells_are_taken() {
    let text = r#"{"balancers":1024,"classes":[{"name":"c","aim_ns":1000,"deadline_ns":9000,"effect":"idempotent",
        "importance":1}],"domain":{"batch":1,"in_a_row":3,"positions":1024,"ranges":4096},
        "limits":{"max_attempts":3,"max_open":60},"rules":{"cold_ns":1,"cold_share":0.2,"fall_ns":1,
        "tip_multiple":2},"tick_ns":5}"#;
    let value: serde_json::Value = serde_json::from_str(text).unwrap();
    let info = read(&serde_json::to_string_pretty(&value).unwrap()).unwrap();
    assert_eq!(info.settings.check(), Ok(()));
    assert_eq!(
        (info.settings.coordinators, info.settings.layout.partition_groups, info.shards),
        (1024, 1024, 4096)
    );
    assert_eq!(info.settings.slow_start_sharers(), 1024.0);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards open queries against settings that change: an index means one name and one set of rules for good,
    /// and new queries are of exactly the classes that the last settings name.
    #[test]
    fn an_index_keeps_its_rules(
        swaps in proptest::collection::vec(proptest::collection::btree_map(0..4_u8, 0..4_u8, 1..4), 1..12),
    ) {
        let mut now: Option<Deployment> = None;
        for swap in swaps {
            let wanted = info(&swap.clone().into_iter().collect::<Vec<_>>());
            let next = match &now {
                Some(before) => wanted.clone().carried_over_from(before),
                None => wanted.clone(),
            };
            prop_assert!(next.settings.check().is_ok());
            prop_assert_eq!(next.class_names.len(), next.settings.classes.len());
            prop_assert!(next.class_names.len() <= 16, "the same rules are found again");
            for (i, before) in now.iter().flat_map(|n| n.settings.classes.iter().enumerate()) {
                let retired = next.settings.classes[i].retired;
                prop_assert_eq!(&next.settings.classes[i], &Class { retired, ..before.clone() });
                prop_assert_eq!(&next.class_names[i], &now.as_ref().unwrap().class_names[i]);
            }
            for name in 0..4 {
                let name = format!("c{name}");
                let rules = |info: &Deployment| info.class_named(&name).map(|c| info.settings.classes[c.0].clone());
                prop_assert_eq!(rules(&next), rules(&wanted));
            }
            prop_assert_eq!(next.settings.shortest_latency_objective(), wanted.settings.shortest_latency_objective());
            now = Some(next);
        }
    }
}
