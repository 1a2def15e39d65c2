//! Checks that the deploy file lists every source of the program exactly once: decision code under `policy`, all other
//! code under `node`.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Sources that are not part of a deployed coordinator: the simulator's adapter and the test kit.
const NOT_DEPLOYED: [&str; 2] = ["src/bin", "crates/testkit"];

#[derive(Deserialize)]
struct DeployFile {
    policy: Vec<PathBuf>,
    node: Vec<PathBuf>,
}

fn is_test(path: &Path) -> bool {
    path.file_name().is_some_and(|name| name == "tests.rs") || path.iter().any(|part| part == "tests")
}

/// Adds the Rust files at or below a path.
fn collect_sources(path: &Path, sources: &mut Vec<PathBuf>) {
    if path.is_dir() {
        let entries = std::fs::read_dir(path).expect("the folder should be readable");
        for entry in entries {
            collect_sources(&entry.expect("the entry should be readable").path(), sources);
        }
    } else if path.extension().is_some_and(|extension| extension == "rs") && !is_test(path) {
        sources.push(path.to_path_buf());
    }
}

fn listed_sources(paths: &[PathBuf]) -> Vec<PathBuf> {
    let mut sources = Vec::new();
    for path in paths {
        assert!(path.exists(), "{} is listed but does not exist", path.display());
        collect_sources(path, &mut sources);
    }
    sources
}

fn deployed_sources() -> BTreeSet<PathBuf> {
    let mut sources = Vec::new();
    collect_sources(Path::new("src"), &mut sources);
    for entry in std::fs::read_dir("crates").expect("the folder of crates should be readable") {
        collect_sources(
            &entry.expect("the crate's entry should be readable").path().join("src"),
            &mut sources,
        );
    }
    let is_deployed = |source: &PathBuf| !NOT_DEPLOYED.iter().any(|path| source.starts_with(path));
    sources.into_iter().filter(is_deployed).collect()
}

#[test]
fn every_source_is_listed_once_under_policy_or_node() {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file should be readable");
    let deploy: DeployFile = toml::from_str(&text).expect("the deploy file should parse");
    let mut listed = listed_sources(&deploy.policy);
    listed.extend(listed_sources(&deploy.node));
    let unique: BTreeSet<PathBuf> = listed.iter().cloned().collect();
    assert_eq!(listed.len(), unique.len(), "a source is listed more than once");
    let missing: Vec<PathBuf> = deployed_sources().difference(&unique).cloned().collect();
    assert!(missing.is_empty(), "sources missing from the deploy file: {missing:?}");
}
