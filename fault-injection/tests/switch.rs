//! A fault is enabled only in the thread that enabled it, and no manifest enables fault injection outside
//! dev-dependencies.

mod faults {
    birchreach_fault_injection::declare_faults! {
        /// The fault that the first test enables.
        First,
        /// The fault that the second test enables.
        Second,
    }
}

use birchreach_fault_injection::fault_injected;
use faults::{Fault, run_with_fault, set_fault};
use std::fs;
use std::path::Path;

#[test]
fn a_fault_is_enabled_only_while_it_is_injected() {
    // Given that no fault is enabled
    assert!(!fault_injected!(First));
    // When one fault is injected, then only that fault is enabled
    let inside = run_with_fault(Fault::First, || (fault_injected!(First), fault_injected!(Second)));
    assert_eq!(inside, (true, false));
    // And it is disabled afterwards
    assert!(!fault_injected!(First));
}

#[test]
fn a_fault_is_enabled_only_in_the_thread_that_enabled_it() {
    // When a thread enables a fault
    set_fault(Some(Fault::Second));
    let in_other_thread = std::thread::spawn(|| fault_injected!(Second)).join().unwrap();
    // Then the fault is enabled in this thread only, until this thread disables it
    assert!(fault_injected!(Second) && !in_other_thread);
    set_fault(None);
    assert!(!fault_injected!(Second));
}

/// A line of a manifest, and the section that contains it.
struct ManifestLine {
    section: String,
    text: String,
}

/// Returns the lines of a manifest, each with its section.
fn manifest_lines(manifest: &str) -> Vec<ManifestLine> {
    let mut section = String::new();
    let mut lines = Vec::new();
    for line in manifest.lines() {
        if line.starts_with('[') {
            section = line.trim_matches(['[', ']']).to_owned();
        }
        lines.push(ManifestLine { section: section.clone(), text: line.to_owned() });
    }
    lines
}

/// Reads the manifest of a folder of the repository.
fn read_manifest(folder: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    fs::read_to_string(root.join(folder).join("Cargo.toml")).unwrap()
}

/// Returns the folders of all crates of the workspace; the root package is last.
fn crate_folders() -> Vec<String> {
    let workspace = read_manifest(".");
    let members = workspace.lines().find(|line| line.starts_with("members")).unwrap();
    members.split('"').skip(1).step_by(2).chain(["."]).map(String::from).collect()
}

#[test]
fn only_dev_dependencies_enable_fault_injection() {
    let mut dependent_crates = 0;
    for folder in crate_folders() {
        // Given the manifest of a crate
        let manifest = read_manifest(&folder);
        // Then the feature is enabled in dev-dependencies and nowhere else
        for ManifestLine { section, text } in manifest_lines(&manifest) {
            let is_table_form = section.contains("dependencies.") && section.contains("fault-injection");
            assert!(
                !is_table_form,
                "{folder}: [{section}]: this test cannot read the features of a dependency in table form"
            );
            let is_section_header = text.starts_with('[');
            if is_section_header || section == "package" || !text.contains("birchreach-fault-injection") {
                continue;
            }
            dependent_crates += usize::from(section == "dependencies");
            let enabled = text.contains("enabled");
            assert_eq!(enabled, section == "dev-dependencies", "{folder}: [{section}] {text}");
        }
    }
    // And the number of crates that support fault injection is as expected
    assert_eq!(dependent_crates, 4, "crates that support fault injection");
}
