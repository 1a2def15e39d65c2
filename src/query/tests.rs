//! Tests of command-line parsing.

use super::*;

fn read(line: &str) -> Result<Command, CommandLineError> {
    let words = line.split_whitespace().map(Into::into).collect();
    Command::read(&mut Arguments::from_vec(words))
}

#[test]
fn command_lines_are_parsed_or_rejected_with_a_reason() {
    let command =
        read("127.0.0.1:1 plazas rank --limit 3 --order asc --filter a=b=c --filter d=e --all").unwrap();
    assert_eq!((command.set.as_str(), command.query.limit, command.budget.pages), ("plazas", Some(3), 0));
    assert_eq!(command.query.filter["a"], "b=c");
    for (line, expected) in [
        ("127.0.0.1:1 plazas", "OP is missing"),
        ("127.0.0.1:1 plazas rank --limit three", "three"),
        ("127.0.0.1:1 plazas rank --filter a", "FIELD=VALUE"),
    ] {
        assert!(read(line).unwrap_err().to_string().contains(expected), "{line}");
    }
}
