//! A group that splits into two children, and the rows that it has at first.

use super::split_keys::{goes_to_lower_child, goes_to_upper_child, hash};
use super::{Change, Group, GroupProfile, ParentLog, PlantedDifference, now_ms};
use std::io;
use std::net::{IpAddr, SocketAddr};

/// The index of the group that splits.
pub const PARENT: usize = 0;
/// The index of the child that takes over the lower hashes.
pub const LOWER_CHILD: usize = 1;
/// The index of the child that takes over the upper hashes.
pub const UPPER_CHILD: usize = 2;

/// How long ago the keys' first values were committed.
const INITIAL_AGE_MS: i64 = 10_000;

/// Starts the group that splits and its two children, which follow its log; they stand at their indices.
pub fn start_split_groups(
    loopback_address: [u8; 4],
    parent_profile: &GroupProfile,
    child_profile: &GroupProfile,
) -> io::Result<Vec<Group>> {
    let address = SocketAddr::new(IpAddr::from(loopback_address), 0);
    let parent = Group::start(address, parent_profile, None)?;
    let start_child = |owns_key: fn(&str) -> bool| {
        let parent_log = ParentLog { group: parent.clone(), owns_key };
        Group::start(address, child_profile, Some(parent_log))
    };
    Ok(vec![parent.clone(), start_child(goes_to_lower_child)?, start_child(goes_to_upper_child)?])
}

/// Commits a value of each key, so long ago that all replicas have it.
pub fn write_initial_rows(parent: &Group, keys: &[String]) {
    for (index, key) in keys.iter().enumerate() {
        let change = Change::Row { key: key.clone(), value: format!("{index:04x}") };
        parent.with_state(|state| state.commit(0, now_ms() - INITIAL_AGE_MS, "", change));
    }
}

/// Plants a difference at a key, in the child that has to have the key or in the one that must not have it. Returns the
/// difference as logs report it.
pub fn plant_difference(groups: &[Group], key: &str, difference: PlantedDifference) -> String {
    let reported = format!("{} {:08x}", logged_kind(&difference), hash(key));
    let (owner, other) = match goes_to_lower_child(key) {
        true => (LOWER_CHILD, UPPER_CHILD),
        false => (UPPER_CHILD, LOWER_CHILD),
    };
    let child = if difference == PlantedDifference::Extra { other } else { owner };
    groups[child].with_state(|state| state.planted_differences.insert(key.into(), difference));
    reported
}

/// The word by which logs name a difference of this kind.
fn logged_kind(difference: &PlantedDifference) -> &'static str {
    match difference {
        PlantedDifference::Missing => "missing",
        PlantedDifference::Extra => "extra",
        PlantedDifference::OtherValue(_) => "differs",
    }
}
