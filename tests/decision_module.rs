//! Rules for the sources of the decision module. The deploy file names all policy files, the files are short,
//! and no code reads a clock, does I/O or starts a thread.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const MAX_LINES: usize = 250;
const MAX_LINE_WIDTH: usize = 110;
/// Code fragments that give access to I/O, a clock, a thread, a process or the environment, and `unsafe`.
const FORBIDDEN_FRAGMENTS: [&str; 17] = [
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
/// The only line that may contain `unsafe`.
const FORBID_UNSAFE_ATTRIBUTE: &str = "#![forbid(unsafe_code)]";

/// Returns the folder of the root crate's `Cargo.toml`.
fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Adds every file below a folder to `found`, as a path relative to the root of the repository.
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

/// Reads a file of the repository.
fn text_of(file: &str) -> String {
    fs::read_to_string(root().join(file)).unwrap()
}

/// The part of a line before a `//` comment.
fn code_of(line: &str) -> &str {
    line.split("//").next().unwrap_or_default()
}

#[test]
fn the_deploy_file_names_every_policy_file() {
    // Given the line of the deploy file that lists the policy files
    let deploy = text_of("deploy/balancer.toml");
    let line = deploy.lines().find(|line| line.starts_with("policy")).unwrap();
    // Then that line names exactly the files in src/policy
    let named: BTreeSet<String> = line.split('"').skip(1).step_by(2).map(String::from).collect();
    assert_eq!(named, sources_in("src/policy"));
}

#[test]
fn no_source_file_exceeds_the_maximum_number_of_lines() {
    for file in sources_in("src") {
        let line_count = text_of(&file).lines().count();
        assert!(line_count <= MAX_LINES, "{file}: {line_count} lines, the maximum is {MAX_LINES}");
    }
}

#[test]
fn no_line_of_a_policy_file_exceeds_the_maximum_width() {
    for file in sources_in("src/policy") {
        let fits = |line: &str| line.chars().count() <= MAX_LINE_WIDTH;
        assert!(text_of(&file).lines().all(fits), "{file}: a line exceeds {MAX_LINE_WIDTH} characters");
    }
}

#[test]
fn the_module_uses_no_io_no_clock_and_no_thread() {
    for file in sources_in("src") {
        for (index, line) in text_of(&file).lines().enumerate() {
            let code = code_of(line);
            let found = FORBIDDEN_FRAGMENTS.iter().find(|fragment| code.contains(**fragment));
            let is_allowed = code.trim() == FORBID_UNSAFE_ATTRIBUTE;
            assert!(found.is_none() || is_allowed, "{file}:{}: {}", index + 1, line);
        }
    }
}

#[test]
fn the_documentation_of_the_policy_module_names_the_interface_file() {
    let policy = text_of("src/policy/mod.rs");
    assert!(policy.lines().take(5).any(|line| line.contains("src/interface.rs")));
}
