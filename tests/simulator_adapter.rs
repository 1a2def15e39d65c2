//! Runs the built adapter on transcripts of the simulator's protocol.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const INFO: &str = r#"{"balancers":2,"classes":[{"aim_ns":1500000000,"deadline_ns":4000000000,"effect":"idempotent","group":"all","importance":1.0,"late_worth":0.0,"name":"history","repeat_window_ns":5000000000,"streamed":false}],"new_key":[1],"discovery":"pushed","domain":{"batch":1,"class_floor":[1.0],"class_partial":[0.9],"complete_from":[1.0],"in_a_row":1,"overhead_ns":0,"positions":1,"ranges":1,"second_step":[0]},"limits":{"cancel":true,"max_attempts":3,"max_open":100,"max_retry_after_ns":1000000000,"may_duplicate":true,"probes":true,"retry_after":true},"realms":[],"rules":{"cold_ns":16000000000,"cold_share":0.2,"drain_grace_ns":250000000,"fall_ns":2000000000,"tip_multiple":2.0},"tick_ns":5000000}"#;

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_curlewdeck-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The write fails if the adapter stops reading at an invalid line.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn utf8(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn start_instance(instance: u32) -> String {
    format!(
        "enlist {instance} 7 {INFO}\nregister 0 2\nm 0 - a k 1 IN 10.0.0.1:1\nm 0 - a k 1 IN 10.0.0.2:1\nbackends_changed {instance} disk 1 0\n"
    )
}

const QUERY: &str =
    "inbound 3 10 -1 - 1 - 1 - 0 history 5000000000\ninbound 3 11 0 - 1 - 1 - 0 history 5000000000\n";

fn served_query() -> String {
    format!(
        "mark 1000000000\n{}eob\nmark 1005000000\n{QUERY}eob\nmark 1100000000\nclosed_attempt 3 11 pass 95000000 0 1 10.0.0.1:1 inflight:7,new:1\nclosed_attempt 3 11 undone 95000000 1 1 10.0.0.2:1 -\neob\n",
        start_instance(3)
    )
}

#[test]
fn a_query_is_sent_and_answered() {
    let output = run_adapter(&served_query());
    assert!(output.status.success(), "{}", utf8(&output.stderr));
    let out = utf8(&output.stdout);
    assert_eq!(out.matches("yield\n").count(), 3);
    assert_eq!(out.matches("place 3 11 1500000000 10.0.0.").count(), 1, "{out}");
    assert!(out.contains("settle_query 3 10 1\n"), "{out}");
}

#[test]
fn absent_and_unknown_field_values_and_peer_messages_have_no_effect() {
    let expected = utf8(&run_adapter(&served_query()).stdout);
    // An absent repeat mark, an unknown zone, unexpected messages from a peer, and a load report with unknown values.
    let input =
        served_query().replace("m 0 - a k 1 IN 10.0.0.1:1", "m 0 - nowhere k - IN 10.0.0.1:1").replacen(
            "inbound 3 10 -1 - 1",
            "inbox 3 99 /w==\ninbox 3 0 -\ninbound 3 10 -1 4569004829183723 1",
            1,
        );
    let output = run_adapter(&input);
    assert!(output.status.success(), "{}", utf8(&output.stderr));
    assert_eq!(expected, utf8(&output.stdout));
}

#[test]
fn empty_input_and_empty_batches_succeed() {
    assert!(run_adapter("").status.success());
    let output = run_adapter("mark 5\neob\n");
    assert!(output.status.success());
    assert_eq!(utf8(&output.stdout), "yield\n");
}

#[test]
fn a_restart_within_a_batch_discards_the_state_of_the_killed_instance() {
    let input = format!(
        "mark 1000000000\n{}eob\nmark 1005000000\n{QUERY}destroy 3\n{}eob\nmark 9000000000\nreminder 3 wake\neob\n",
        start_instance(3),
        start_instance(3)
    );
    let output = run_adapter(&input);
    assert!(output.status.success(), "{}", utf8(&output.stderr));
    assert!(!utf8(&output.stdout).contains("place"), "a query of the killed instance was sent");
}

#[test]
fn instances_in_one_process_do_not_affect_each_other() {
    let alone = utf8(&run_adapter(&served_query()).stdout);
    let both =
        served_query().replacen("mark 1000000000\n", &format!("mark 1000000000\n{}", start_instance(9)), 1);
    let both = utf8(&run_adapter(&both).stdout);
    let own: String = both.lines().filter(|l| !l.contains(" 9 ")).map(|l| format!("{l}\n")).collect();
    assert_eq!(alone, own);
}

#[test]
fn invalid_input_is_reported_with_its_line_number() {
    let head = format!("mark 1000000000\n{}", start_instance(3));
    let cases = [
        ("nonsense 3\n".to_string(), "line 1"),
        ("mark x\n".to_string(), "line 1"),
        (format!("{head}nonsense 3\n"), "line 7"),
        (format!("{head}reminder 4 wake\n"), "has not been enlisted"),
        (format!("{head}reminder 3\n"), "nonce"),
        (format!("{head}reminder 3 wake more\n"), "end of the line"),
        (format!("{head}client_gone 3 abc\n"), "number"),
        (format!("{head}backends_changed 3 diff 2 5\n"), "list 5"),
        (format!("{head}closed_attempt 3 11 odd 1 0 1 10.0.0.1:1 -\n"), "outcome"),
        (format!("{head}inbound 3 10 -1 k 1 - 1 - 0 history 5000000000\n"), "affinity"),
        (format!("{head}inbound 3 10 -1 - 1 - 1 - x history 5000000000\n"), "bitmap"),
        (format!("{head}inbox 3 x -\n"), "from"),
        (format!("{head}inbox 3 1 !!\n"), "base64"),
        (head.clone(), "eob"),
        ("mark 1\nenlist 1 2 {}\n".to_string(), "enlist"),
    ];
    for (input, expected) in cases {
        let output = run_adapter(&input);
        assert!(!output.status.success(), "{input}");
        let message = utf8(&output.stderr);
        assert!(message.contains("line ") && message.contains(expected), "{expected}: {message}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(output.stdout.is_empty() || utf8(&output.stdout).ends_with("yield\n"));
    }
}
