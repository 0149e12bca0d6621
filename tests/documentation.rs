//! The pages name files, functions and tests that exist.
//!
//! Checked is what stands between backticks in the README and the pages under docs/ and example/: paths of files and folders, and names in snake_case
//! or of the form `Type::name`. Metrics (`birchreach_...`) are put together from parts and are left out, as are the changelog, the roadmap and the
//! pages of measurements, which tell of earlier versions.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders that a path on a page may be relative to.
const BASES: [&str; 9] =
    ["", "src", "proxy", "proxy/src", "proxy/src/net", "proxy/tests", "health", "docs", "example"];
const HISTORY: [&str; 2] = ["docs/measured", "docs/ROADMAP.md"];
const PATH_ENDINGS: [&str; 8] = [".rs", ".md", ".toml", ".json", ".txt", ".xsd", ".xml", "/"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// All files below a folder with one of these endings, without build output and journal.
fn files(folder: &Path, endings: &[&str], found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if path.is_dir() {
            if !name.starts_with('.') && !["target", "journal", "found", "logs"].contains(&name.as_str()) {
                files(&path, endings, found);
            }
        } else if endings.iter().any(|ending| name.ends_with(ending)) {
            found.push(path);
        }
    }
}

fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md")];
    for folder in ["docs", "example"] {
        files(&root().join(folder), &[".md"], &mut pages);
    }
    let is_history = |page: &PathBuf| HISTORY.iter().any(|history| page.starts_with(root().join(history)));
    pages.retain(|page| !is_history(page));
    pages
}

/// The words that the sources, settings, schemas and manifests consist of.
fn words() -> BTreeSet<String> {
    let mut sources = Vec::new();
    files(root(), &[".rs", ".toml", ".json", ".xsd", ".xml", ".txt"], &mut sources);
    let mut words = BTreeSet::new();
    for source in sources {
        let text = fs::read_to_string(source).unwrap_or_default();
        words.extend(text.split(|c: char| !c.is_alphanumeric() && c != '_').map(String::from));
    }
    words
}

/// What stands between backticks on a page, with its line.
fn quoted(text: &str) -> Vec<(usize, &str)> {
    let mut found = Vec::new();
    for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.starts_with("    ")) {
        found.extend(line.split('`').skip(1).step_by(2).map(|quoted| (number + 1, quoted)));
    }
    found
}

fn is_path(quoted: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "._-/".contains(c);
    let ends = PATH_ENDINGS.iter().any(|ending| quoted.ends_with(ending));
    ends && quoted.len() > 1 && quoted.chars().all(plain) && !quoted.starts_with(['.', '/'])
}

/// The words of a name in snake_case, or of the form `Type::name` with or without a call's parentheses.
fn name(quoted: &str) -> Option<Vec<&str>> {
    let quoted = quoted.strip_suffix("()").unwrap_or(quoted);
    let word = |part: &&str| !part.is_empty() && part.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
    let parts: Vec<&str> = quoted.split("::").collect();
    let is_metric = quoted.starts_with("birchreach_") || quoted.starts_with('_');
    let is_name = !is_metric && parts.iter().all(word);
    let is_snake_case =
        parts.len() == 1 && quoted.contains('_') && quoted.chars().all(|c| !c.is_ascii_uppercase());
    (is_name && (parts.len() > 1 || is_snake_case)).then_some(parts)
}

#[test]
fn pages_name_what_exists() {
    let words = words();
    let mut missing = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        let shown = page.strip_prefix(root()).unwrap().display().to_string();
        for (line, quoted) in quoted(&text) {
            if is_path(quoted) {
                let beside = page.parent().unwrap().join(quoted);
                let exists = BASES.iter().any(|base| root().join(base).join(quoted).exists());
                if !exists && !beside.exists() {
                    missing.push(format!("{shown}:{line}: no file or folder {quoted}"));
                }
            } else if let Some(parts) = name(quoted) {
                for part in parts.into_iter().filter(|part| !words.contains(*part)) {
                    missing.push(format!("{shown}:{line}: nothing is named {part} ({quoted})"));
                }
            }
        }
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}
