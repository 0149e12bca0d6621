//! Each event and each reason that the proxy logs stands in the tables of docs/on-call.md.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Source files of the proxy, without its unit tests.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if path.is_dir() {
            if name != "tests" {
                sources(&path, found);
            }
        } else if name.ends_with(".rs") && name != "tests.rs" {
            found.push(path);
        }
    }
}

fn texts() -> Vec<String> {
    let mut found = Vec::new();
    sources(&repository().join("proxy/src"), &mut found);
    found.into_iter().map(|path| fs::read_to_string(path).unwrap()).collect()
}

/// The string literals of a text, as far as they are words in kebab-case.
fn words(text: &str) -> impl Iterator<Item = &str> {
    let is_word = |literal: &&str| {
        let plain = literal.chars().all(|c| c.is_ascii_lowercase() || c == '-');
        plain && literal.starts_with(|c: char| c.is_ascii_lowercase())
    };
    text.split('"').skip(1).step_by(2).filter(is_word)
}

/// The literals that follow `key = "` in a text.
fn values<'a>(text: &'a str, key: &str) -> Vec<&'a str> {
    let start = format!("{key} = \"");
    text.split(&start).skip(1).filter_map(|rest| rest.split('"').next()).collect()
}

#[test]
fn each_event_stands_in_the_table() {
    // Given the page and the events in the proxy's sources
    let page = fs::read_to_string(repository().join("docs/on-call.md")).unwrap();
    let texts = texts();
    let events: BTreeSet<&str> = texts.iter().flat_map(|text| values(text, "event")).collect();
    assert!(events.len() > 30, "{events:?}");

    // When they are looked up on the page
    let is_listed = |event: &str| [" ", "`"].iter().any(|end| page.contains(&format!("`event={event}{end}")));
    let missing: Vec<_> = events.iter().filter(|event| !is_listed(event)).collect();

    // Then all stand there
    assert!(missing.is_empty(), "{missing:?} do not stand in docs/on-call.md");
}

/// The text of each `impl` block, or `impl Display` block, of an enum that says why a connection ended.
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
fn each_reason_stands_in_the_table() {
    // Given the page and the reasons in the proxy's sources
    let page = fs::read_to_string(repository().join("docs/on-call.md")).unwrap();
    let texts = texts();
    let blocks = texts.iter().flat_map(|text| reason_blocks(text));
    let mut reasons: BTreeSet<&str> = blocks.flat_map(words).collect();
    reasons
        .extend(texts.iter().flat_map(|text| values(text, "reason")).filter(|reason| !reason.contains(' ')));
    assert!(reasons.len() > 30, "{reasons:?}");

    // When they are looked up on the page
    let missing: Vec<_> = reasons.iter().filter(|reason| !page.contains(&format!("`{reason}`"))).collect();

    // Then all stand there
    assert!(missing.is_empty(), "{missing:?} do not stand in docs/on-call.md");
}
