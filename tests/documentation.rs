//! The pages name files, functions and tests that exist.
//!
//! Checked is what stands between backticks in the README and the pages under docs/ and example/: paths of
//! files and folders, and names in snake_case or of the form `Type::name`. Metrics (`birchreach_...`) are put
//! together from parts and are left out, as are the changelog, the roadmap and the pages of measurements,
//! which tell of earlier versions.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders that a path on a page may be relative to.
const BASES: [&str; 9] =
    ["", "src", "proxy", "proxy/src", "proxy/src/net", "proxy/tests", "health", "docs", "example"];
/// Pages that tell of earlier versions.
const HISTORY: [&str; 2] = ["docs/measured", "docs/ROADMAP.md"];
/// Folders with build output, the journal and files of test runs.
const GENERATED_FOLDERS: [&str; 4] = ["target", "journal", "found", "logs"];
const PATH_ENDINGS: [&str; 8] = [".rs", ".md", ".toml", ".json", ".txt", ".xsd", ".xml", "/"];
const SOURCE_ENDINGS: [&str; 6] = [".rs", ".toml", ".json", ".xsd", ".xml", ".txt"];

/// What stands between backticks on a page.
struct Quotation<'page> {
    line: usize,
    text: &'page str,
}

/// The repository's root.
fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Adds all files below a folder with one of these endings to `found`, without hidden and generated folders.
fn find_files(folder: &Path, endings: &[&str], found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if path.is_dir() {
            if !name.starts_with('.') && !GENERATED_FOLDERS.contains(&name.as_str()) {
                find_files(&path, endings, found);
            }
        } else if endings.iter().any(|ending| name.ends_with(ending)) {
            found.push(path);
        }
    }
}

/// The pages that are checked.
fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md")];
    for folder in ["docs", "example"] {
        find_files(&root().join(folder), &[".md"], &mut pages);
    }
    let is_history = |page: &PathBuf| HISTORY.iter().any(|history| page.starts_with(root().join(history)));
    pages.retain(|page| !is_history(page));
    pages
}

/// The words that the sources, settings, schemas and manifests consist of.
fn words_of_sources() -> BTreeSet<String> {
    let mut sources = Vec::new();
    find_files(root(), &SOURCE_ENDINGS, &mut sources);
    let is_separator = |character: char| !character.is_alphanumeric() && character != '_';
    let mut words = BTreeSet::new();
    for source in sources {
        let text = fs::read_to_string(source).unwrap_or_default();
        words.extend(text.split(is_separator).map(String::from));
    }
    words
}

/// The quotations of a page, outside its indented lines.
fn quotations(text: &str) -> Vec<Quotation<'_>> {
    let mut found = Vec::new();
    for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.starts_with("    ")) {
        let quoted = line.split('`').skip(1).step_by(2);
        found.extend(quoted.map(|text| Quotation { line: index + 1, text }));
    }
    found
}

/// Whether this is the path of a file or folder of the repository.
fn is_path(quoted: &str) -> bool {
    let is_plain = |character: char| character.is_ascii_alphanumeric() || "._-/".contains(character);
    let has_ending = PATH_ENDINGS.iter().any(|ending| quoted.ends_with(ending));
    has_ending && quoted.len() > 1 && quoted.chars().all(is_plain) && !quoted.starts_with(['.', '/'])
}

/// Whether a path on a page is that of a file or folder, relative to one of the bases or to the page.
fn path_exists(page: &Path, path: &str) -> bool {
    let beside = page.parent().unwrap().join(path);
    BASES.iter().any(|base| root().join(base).join(path).exists()) || beside.exists()
}

/// Whether this consists of letters, digits and underscores.
fn is_word(part: &str) -> bool {
    !part.is_empty() && part.chars().all(|character| character.is_ascii_alphanumeric() || character == '_')
}

/// The words of a name in snake_case, or of the form `Type::name` with or without a call's parentheses.
fn words_of_name(quoted: &str) -> Option<Vec<&str>> {
    let quoted = quoted.strip_suffix("()").unwrap_or(quoted);
    let parts: Vec<&str> = quoted.split("::").collect();
    let is_metric = quoted.starts_with("birchreach_") || quoted.starts_with('_');
    let is_name = !is_metric && parts.iter().all(|part| is_word(part));
    let has_upper_case = quoted.chars().any(|character| character.is_ascii_uppercase());
    let is_snake_case = parts.len() == 1 && quoted.contains('_') && !has_upper_case;
    (is_name && (parts.len() > 1 || is_snake_case)).then_some(parts)
}

/// What is missing of the files and names that a quotation on this page stands for.
fn missing_from(page: &Path, quoted: &str, words: &BTreeSet<String>) -> Vec<String> {
    if is_path(quoted) {
        if path_exists(page, quoted) {
            return vec![];
        }
        return vec![format!("no file or folder {quoted}")];
    }
    let parts = words_of_name(quoted).unwrap_or_default();
    let unknown = parts.into_iter().filter(|part| !words.contains(*part));
    unknown.map(|part| format!("nothing is named {part} ({quoted})")).collect()
}

#[test]
fn pages_name_what_exists() {
    // Given the words of all sources
    let words = words_of_sources();
    // When the files and names on each page are looked up
    let mut missing = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        let shown = page.strip_prefix(root()).unwrap().display().to_string();
        for Quotation { line, text } in quotations(&text) {
            let problems = missing_from(&page, text, &words);
            missing.extend(problems.iter().map(|problem| format!("{shown}:{line}: {problem}")));
        }
    }
    // Then none is missing
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}
