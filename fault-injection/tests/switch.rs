//! A fault is on where a test switched it on and nowhere else, and no manifest lets it into a build without dev-dependencies.

mod faults {
    birchreach_fault_injection::declare_faults! {
        /// The first of two.
        First,
        /// The second of two.
        Second,
    }
}

use birchreach_fault_injection::fault_injected;
use faults::{Fault, set, with};

#[test]
fn a_fault_is_on_while_it_is_injected_and_off_afterwards() {
    assert!(!fault_injected!(First));
    let inside = with(Fault::First, || (fault_injected!(First), fault_injected!(Second)));
    assert_eq!(inside, (true, false));
    assert!(!fault_injected!(First));
}

#[test]
fn a_fault_is_on_in_the_thread_that_switched_it_on_alone() {
    set(Some(Fault::Second));
    let elsewhere = std::thread::spawn(|| fault_injected!(Second)).join().unwrap();
    assert!(fault_injected!(Second) && !elsewhere);
    set(None);
    assert!(!fault_injected!(Second));
}

/// The section of a manifest that each line stands in, with the line.
fn lines_by_section(manifest: &str) -> Vec<(String, String)> {
    let mut section = String::new();
    let mut lines = Vec::new();
    for line in manifest.lines() {
        if line.starts_with('[') {
            section = line.trim_matches(['[', ']']).to_owned();
        }
        lines.push((section.clone(), line.to_owned()));
    }
    lines
}

#[test]
fn only_dev_dependencies_switch_fault_injection_on() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let members = std::fs::read_to_string(root.join("Cargo.toml")).unwrap();
    let members = members.lines().find(|line| line.starts_with("members")).unwrap();
    let folders = members.split('"').skip(1).step_by(2).chain(["."]);
    let mut users = 0;
    for folder in folders {
        let manifest = std::fs::read_to_string(root.join(folder).join("Cargo.toml")).unwrap();
        for (section, line) in lines_by_section(&manifest) {
            let table = section.contains("dependencies.") && section.contains("fault-injection");
            assert!(!table, "{folder}: the table form hides its features: {section}");
            let heads_a_section = line.starts_with('[');
            if heads_a_section || section == "package" || !line.contains("birchreach-fault-injection") {
                continue;
            }
            users += usize::from(section == "dependencies");
            let enabled = line.contains("enabled");
            assert_eq!(enabled, section == "dev-dependencies", "{folder}: [{section}] {line}");
        }
    }
    assert_eq!(users, 4, "crates that can have faults injected");
}
