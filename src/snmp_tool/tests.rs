//! Tests of name resolution and command-line parsing.

use super::*;
use crate::mib;

#[test]
fn names_resolve_to_objects_tables_and_dotted_oids() {
    let module = mib::module();
    let root = |arcs: &[u32]| Some([&mib::ROOT[..], arcs].concat());
    assert_eq!(resolve(&module, "cdQueriesTaken"), root(&[1, 4]));
    assert_eq!(resolve(&module, "cdQueriesTaken.0"), root(&[1, 4, 0]));
    assert_eq!(resolve(&module, "cdClassTable"), root(&[3, 1, 1]));
    assert_eq!(resolve(&module, "cdEndCount.1.2"), root(&[3, 2, 1, 2, 1, 2]));
    assert_eq!(resolve(&module, ".1.3.6"), Some(vec![1, 3, 6]));
    assert_eq!((resolve(&module, "cdNothing"), resolve(&module, "cdQueriesTaken.x")), (None, None));
}

#[test]
fn command_line_errors_name_the_missing_or_invalid_argument() {
    let read = |line: &str| {
        let words = line.split_whitespace().map(Into::into).collect();
        Command::read(&mut Arguments::from_vec(words)).err().map(|e| e.to_string()).unwrap_or_default()
    };
    assert!(read("fly").contains("'fly'"));
    assert!(read("get").contains("ADDRESS is missing"));
    assert!(read("get 127.0.0.1:1 cdQueriesTaken").contains("--community"));
    assert!(read("get 127.0.0.1:1 cdNothing --community c").contains("cdNothing"));
    assert!(read("get 127.0.0.1:1 cdNothing --users /nowhere --user n").contains("/nowhere"));
    assert_eq!(read("get 127.0.0.1:1 cdQueriesTaken --community c"), "");
}
