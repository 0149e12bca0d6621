//! The documentation names only files, functions and tests that exist.
//!
//! The test checks code spans (text between backticks) in the README and in the pages under docs/ and
//! example/. It checks paths of files and folders, and names in snake_case or of the form `Type::name`.
//! Metric names (`birchreach_...`) are not checked, because the sources assemble them from parts. The
//! changelog, the roadmap and the pages of measurements are not checked, because they describe earlier
//! versions.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders to which a path on a page may be relative.
const BASE_FOLDERS: [&str; 9] =
    ["", "src", "proxy", "proxy/src", "proxy/src/net", "proxy/tests", "health", "docs", "example"];
/// Pages that describe earlier versions.
const HISTORICAL_PAGES: [&str; 2] = ["docs/measured", "docs/ROADMAP.md"];
/// Folders that are not searched: build output, the journal and files written by test runs.
const EXCLUDED_FOLDERS: [&str; 4] = ["target", "journal", "found", "logs"];
const PATH_SUFFIXES: [&str; 8] = [".rs", ".md", ".toml", ".json", ".txt", ".xsd", ".xml", "/"];
const SOURCE_SUFFIXES: [&str; 6] = [".rs", ".toml", ".json", ".xsd", ".xml", ".txt"];

/// Text between backticks on a page.
struct CodeSpan<'page> {
    line: usize,
    text: &'page str,
}

/// Returns the folder of the root crate's `Cargo.toml`.
fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Adds all files below a folder that have one of the suffixes to `found`. Skips hidden and excluded folders.
fn find_files(folder: &Path, suffixes: &[&str], found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if path.is_dir() {
            if !name.starts_with('.') && !EXCLUDED_FOLDERS.contains(&name.as_str()) {
                find_files(&path, suffixes, found);
            }
        } else if suffixes.iter().any(|suffix| name.ends_with(suffix)) {
            found.push(path);
        }
    }
}

/// The pages whose code spans are checked.
fn checked_pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md")];
    for folder in ["docs", "example"] {
        find_files(&root().join(folder), &[".md"], &mut pages);
    }
    let is_historical =
        |page: &PathBuf| HISTORICAL_PAGES.iter().any(|historical| page.starts_with(root().join(historical)));
    pages.retain(|page| !is_historical(page));
    pages
}

/// All words that occur in sources, settings, schemas and manifests.
fn words_of_sources() -> BTreeSet<String> {
    let mut sources = Vec::new();
    find_files(root(), &SOURCE_SUFFIXES, &mut sources);
    let is_separator = |character: char| !character.is_alphanumeric() && character != '_';
    let mut words = BTreeSet::new();
    for source in sources {
        let text = fs::read_to_string(source).unwrap_or_default();
        words.extend(text.split(is_separator).map(String::from));
    }
    words
}

/// The code spans of a page. Lines of indented code blocks are skipped.
fn code_spans(text: &str) -> Vec<CodeSpan<'_>> {
    let mut found = Vec::new();
    for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.starts_with("    ")) {
        let spans = line.split('`').skip(1).step_by(2);
        found.extend(spans.map(|text| CodeSpan { line: index + 1, text }));
    }
    found
}

/// Whether a code span has the form of a relative path of a file or folder.
fn is_path(span: &str) -> bool {
    let is_path_character = |character: char| character.is_ascii_alphanumeric() || "._-/".contains(character);
    let has_suffix = PATH_SUFFIXES.iter().any(|suffix| span.ends_with(suffix));
    has_suffix && span.len() > 1 && span.chars().all(is_path_character) && !span.starts_with(['.', '/'])
}

/// Whether a path on a page exists, relative to one of the base folders or to the folder of the page.
fn path_exists(page: &Path, path: &str) -> bool {
    let relative_to_page = page.parent().unwrap().join(path);
    BASE_FOLDERS.iter().any(|base| root().join(base).join(path).exists()) || relative_to_page.exists()
}

/// Whether `part` consists of ASCII letters, digits and underscores, and is not empty.
fn is_word(part: &str) -> bool {
    !part.is_empty() && part.chars().all(|character| character.is_ascii_alphanumeric() || character == '_')
}

/// Splits a name in snake_case or of the form `Type::name`, with or without `()` at the end, into its words.
/// Returns `None` if the code span is not such a name.
fn words_of_name(span: &str) -> Option<Vec<&str>> {
    let name = span.strip_suffix("()").unwrap_or(span);
    let parts: Vec<&str> = name.split("::").collect();
    let is_metric = name.starts_with("birchreach_") || name.starts_with('_');
    let is_name = !is_metric && parts.iter().all(|part| is_word(part));
    let has_upper_case = name.chars().any(|character| character.is_ascii_uppercase());
    let is_snake_case = parts.len() == 1 && name.contains('_') && !has_upper_case;
    (is_name && (parts.len() > 1 || is_snake_case)).then_some(parts)
}

/// Messages about the path or the words in a code span that do not exist.
fn unresolved_references(page: &Path, span: &str, words: &BTreeSet<String>) -> Vec<String> {
    if is_path(span) {
        if path_exists(page, span) {
            return vec![];
        }
        return vec![format!("no file or folder {span}")];
    }
    let parts = words_of_name(span).unwrap_or_default();
    let unknown = parts.into_iter().filter(|part| !words.contains(*part));
    unknown.map(|part| format!("no source contains the name {part} ({span})")).collect()
}

#[test]
fn pages_name_only_existing_files_and_identifiers() {
    // Given all words that occur in the sources
    let words = words_of_sources();
    // When the paths and names on each page are looked up
    let mut missing = Vec::new();
    for page in checked_pages() {
        let text = fs::read_to_string(&page).unwrap();
        let page_name = page.strip_prefix(root()).unwrap().display().to_string();
        for CodeSpan { line, text } in code_spans(&text) {
            let messages = unresolved_references(&page, text, &words);
            missing.extend(messages.iter().map(|message| format!("{page_name}:{line}: {message}")));
        }
    }
    // Then all of them exist
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}
