//! Limits on the source of the decision module: files that the deploy file names, their size, and nothing
//! that reads a clock, does I/O or starts a thread.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const MAX_LINES: usize = 250;
const MAX_LINE_WIDTH: usize = 110;
/// Parts of paths and calls that stand for I/O, a clock, a thread, a process or the environment.
const FORBIDDEN: [&str; 17] = [
    "std::io",
    "std::fs",
    "std::net",
    "std::os",
    "std::env",
    "std::process",
    "std::thread",
    "std::time",
    "std::sync",
    "Instant::",
    "SystemTime",
    "print!",
    "println!",
    "eprint!",
    "eprintln!",
    "dbg!",
    "unsafe",
];
/// The one line that contains a forbidden word in order to forbid it.
const UNSAFE_FORBIDDEN: &str = "#![forbid(unsafe_code)]";

/// The repository's root.
fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Adds every file below a folder to `found`, as a path relative to the repository's root.
fn find_sources(folder: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            find_sources(&path, found);
        } else {
            found.insert(path.strip_prefix(root()).unwrap().to_str().unwrap().to_string());
        }
    }
}

/// Every file below a folder of the repository.
fn sources_in(folder: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    find_sources(&root().join(folder), &mut found);
    found
}

/// The contents of a file of the repository.
fn text_of(file: &str) -> String {
    fs::read_to_string(root().join(file)).unwrap()
}

/// A line without its comment.
fn code_of(line: &str) -> &str {
    line.split("//").next().unwrap_or_default()
}

#[test]
fn the_deploy_file_names_every_policy_file() {
    // Given the line of the deploy file that names the policy files
    let deploy = text_of("deploy/balancer.toml");
    let line = deploy.lines().find(|line| line.starts_with("policy")).unwrap();
    // Then it names those that there are
    let named: BTreeSet<String> = line.split('"').skip(1).step_by(2).map(String::from).collect();
    assert_eq!(named, sources_in("src/policy"));
}

#[test]
fn files_are_short() {
    for file in sources_in("src") {
        let text = text_of(&file);
        assert!(text.lines().count() <= MAX_LINES, "{file}");
    }
}

#[test]
fn policy_files_are_narrow() {
    for file in sources_in("src/policy") {
        assert!(text_of(&file).lines().all(|line| line.chars().count() <= MAX_LINE_WIDTH), "{file}");
    }
}

#[test]
fn the_module_uses_no_io_clock_or_thread() {
    for file in sources_in("src") {
        for (index, line) in text_of(&file).lines().enumerate() {
            let code = code_of(line);
            let found = FORBIDDEN.iter().find(|word| code.contains(**word));
            let allowed = code.trim() == UNSAFE_FORBIDDEN;
            assert!(found.is_none() || allowed, "{file}:{}: {}", index + 1, line);
        }
    }
}

#[test]
fn the_policy_module_points_to_the_interface() {
    let policy = text_of("src/policy/mod.rs");
    assert!(policy.lines().take(5).any(|line| line.contains("src/interface.rs")));
}
