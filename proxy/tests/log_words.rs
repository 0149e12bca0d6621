//! The tables of docs/on-call.md list each event and each reason that the proxy logs.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Appends the source files in the folder and its subfolders to `found`, without unit tests.
fn find_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if path.is_dir() {
            if name != "tests" {
                find_sources(&path, found);
            }
        } else if name.ends_with(".rs") && name != "tests.rs" {
            found.push(path);
        }
    }
}

fn source_texts() -> Vec<String> {
    let mut found = Vec::new();
    find_sources(&repository().join("proxy/src"), &mut found);
    found.into_iter().map(|path| fs::read_to_string(path).unwrap()).collect()
}

/// Returns the string literals in a text that are words in kebab-case.
fn kebab_case_literals(text: &str) -> impl Iterator<Item = &str> {
    let is_word = |literal: &&str| {
        let plain = literal.chars().all(|c| c.is_ascii_lowercase() || c == '-');
        plain && literal.starts_with(|c: char| c.is_ascii_lowercase())
    };
    text.split('"').skip(1).step_by(2).filter(is_word)
}

/// Returns the string literals that are assigned to `key` in a text.
fn assigned_literals<'a>(text: &'a str, key: &str) -> Vec<&'a str> {
    let start = format!("{key} = \"");
    text.split(&start).skip(1).filter_map(|rest| rest.split('"').next()).collect()
}

#[test]
fn the_on_call_page_lists_each_logged_event() {
    // Given the page and the events in the proxy's sources
    let page = fs::read_to_string(repository().join("docs/on-call.md")).unwrap();
    let texts = source_texts();
    let events: BTreeSet<&str> = texts.iter().flat_map(|text| assigned_literals(text, "event")).collect();
    assert!(events.len() > 30, "{events:?}");

    // When they are searched for on the page
    let is_listed = |event: &str| [" ", "`"].iter().any(|end| page.contains(&format!("`event={event}{end}")));
    let missing: Vec<_> = events.iter().filter(|event| !is_listed(event)).collect();

    // Then the page lists all of them
    assert!(missing.is_empty(), "docs/on-call.md does not list {missing:?}");
}

/// Returns the text of each `impl` block and `impl Display` block of the enums that hold the reason why a connection ended.
fn reason_blocks(text: &str) -> Vec<&str> {
    let is_start = |line: &str| {
        let name = line.split_whitespace().rev().nth(1).unwrap_or_default();
        let is_reason = ["CloseReason", "EndReason", "LinkError"].iter().any(|ending| name.ends_with(ending));
        line.starts_with("impl ") && is_reason
    };
    let mut blocks = Vec::new();
    let mut offset = 0;
    for line in text.lines() {
        if is_start(line) {
            let end = text[offset..].find("\n}").map_or(text.len(), |end| offset + end);
            blocks.push(&text[offset..end]);
        }
        offset += line.len() + 1;
    }
    blocks
}

#[test]
fn the_on_call_page_lists_each_logged_reason() {
    // Given the page and the reasons in the proxy's sources
    let page = fs::read_to_string(repository().join("docs/on-call.md")).unwrap();
    let texts = source_texts();
    let blocks = texts.iter().flat_map(|text| reason_blocks(text));
    let mut reasons: BTreeSet<&str> = blocks.flat_map(kebab_case_literals).collect();
    reasons.extend(
        texts
            .iter()
            .flat_map(|text| assigned_literals(text, "reason"))
            .filter(|reason| !reason.contains(' ')),
    );
    assert!(reasons.len() > 30, "{reasons:?}");

    // When they are searched for on the page
    let missing: Vec<_> = reasons.iter().filter(|reason| !page.contains(&format!("`{reason}`"))).collect();

    // Then the page lists all of them
    assert!(missing.is_empty(), "docs/on-call.md does not list {missing:?}");
}
