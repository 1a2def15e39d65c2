//! Limits the length of the policy's source files and their lines, so that each file can be read in one sitting.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_NON_BLANK_LINES: usize = 300;
const MAX_LINE_LENGTH: usize = 110;

/// Returns all files in a folder and its subfolders.
fn files_below(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path);
        }
    }
    files
}

#[test]
fn every_file_of_the_policy_is_within_the_length_limits() {
    let files = files_below(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy"));
    assert!(files.iter().any(|file| file.ends_with("policy/mod.rs")), "{files:?}");
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_NON_BLANK_LINES, "{} has {lines} non-blank lines", file.display());
        let is_long = |line: &str| line.chars().count() > MAX_LINE_LENGTH;
        let long: Vec<usize> =
            (1..).zip(text.lines()).filter(|(_, line)| is_long(line)).map(|(n, _)| n).collect();
        assert!(
            long.is_empty(),
            "{}: lines longer than {MAX_LINE_LENGTH} characters: {long:?}",
            file.display()
        );
    }
}
