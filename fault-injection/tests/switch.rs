//! A fault is on where a test switched it on and nowhere else, and no manifest lets it into a build without
//! dev-dependencies.

mod faults {
    birchreach_fault_injection::declare_faults! {
        /// The first of two.
        First,
        /// The second of two.
        Second,
    }
}

use birchreach_fault_injection::fault_injected;
use faults::{Fault, run_with_fault, set_fault};
use std::fs;
use std::path::Path;

#[test]
fn a_fault_is_on_while_it_is_injected_and_off_afterwards() {
    // Given that no fault is on
    assert!(!fault_injected!(First));
    // When one is injected, then it is on, and it alone
    let inside = run_with_fault(Fault::First, || (fault_injected!(First), fault_injected!(Second)));
    assert_eq!(inside, (true, false));
    // And it is off afterwards
    assert!(!fault_injected!(First));
}

#[test]
fn a_fault_is_on_in_the_thread_that_switched_it_on_alone() {
    // When a thread switches a fault on
    set_fault(Some(Fault::Second));
    let elsewhere = std::thread::spawn(|| fault_injected!(Second)).join().unwrap();
    // Then it is on in this thread and in no other, until it is switched off
    assert!(fault_injected!(Second) && !elsewhere);
    set_fault(None);
    assert!(!fault_injected!(Second));
}

/// A line of a manifest and the section that it is in.
struct ManifestLine {
    section: String,
    text: String,
}

/// The lines of a manifest with their sections.
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

/// The text of the manifest in a folder of the repository.
fn manifest_of(folder: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    fs::read_to_string(root.join(folder).join("Cargo.toml")).unwrap()
}

/// The folders of all crates, with the root last.
fn crate_folders() -> Vec<String> {
    let workspace = manifest_of(".");
    let members = workspace.lines().find(|line| line.starts_with("members")).unwrap();
    members.split('"').skip(1).step_by(2).chain(["."]).map(String::from).collect()
}

#[test]
fn only_dev_dependencies_switch_fault_injection_on() {
    let mut users = 0;
    for folder in crate_folders() {
        // Given the manifest of a crate
        let manifest = manifest_of(&folder);
        // Then the feature is enabled in dev-dependencies and nowhere else
        for ManifestLine { section, text } in manifest_lines(&manifest) {
            let is_table_form = section.contains("dependencies.") && section.contains("fault-injection");
            assert!(!is_table_form, "{folder}: the table form hides its features: {section}");
            let is_section_header = text.starts_with('[');
            if is_section_header || section == "package" || !text.contains("birchreach-fault-injection") {
                continue;
            }
            users += usize::from(section == "dependencies");
            let enabled = text.contains("enabled");
            assert_eq!(enabled, section == "dev-dependencies", "{folder}: [{section}] {text}");
        }
    }
    // And as many crates as expected can have faults injected
    assert_eq!(users, 4, "crates that can have faults injected");
}
