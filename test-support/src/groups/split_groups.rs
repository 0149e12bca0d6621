//! A group that is split into two children, and its initial rows.

use super::split_keys::{belongs_to_lower_child, belongs_to_upper_child, hash};
use super::{Change, Group, GroupProfile, InjectedDifference, ParentLog, now_ms};
use std::io;
use std::net::{IpAddr, SocketAddr};

/// The index of the group that is split.
pub const PARENT: usize = 0;
/// The index of the child that owns the lower hashes.
pub const LOWER_CHILD: usize = 1;
/// The index of the child that owns the upper hashes.
pub const UPPER_CHILD: usize = 2;

/// Age of the initial values.
const INITIAL_AGE_MS: i64 = 10_000;

/// Starts the group that is split and its two children, which replicate its log. The result has them at the indices
/// [`PARENT`], [`LOWER_CHILD`] and [`UPPER_CHILD`].
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
    Ok(vec![parent.clone(), start_child(belongs_to_lower_child)?, start_child(belongs_to_upper_child)?])
}

/// Commits an initial value of each key, with a commit time far enough in the past that all replicas have applied it.
pub fn write_initial_rows(parent: &Group, keys: &[String]) {
    for (index, key) in keys.iter().enumerate() {
        let change = Change::Row { key: key.clone(), value: format!("{index:04x}") };
        parent.with_state(|state| state.commit(0, now_ms() - INITIAL_AGE_MS, "", change));
    }
}

/// Injects a difference at a key: an extra row into the child that does not own the key, any other difference into the
/// child that owns the key. Returns the difference as logs report it.
pub fn inject_difference(groups: &[Group], key: &str, difference: InjectedDifference) -> String {
    let reported = format!("{} {:08x}", logged_kind(&difference), hash(key));
    let (owner, other) = match belongs_to_lower_child(key) {
        true => (LOWER_CHILD, UPPER_CHILD),
        false => (UPPER_CHILD, LOWER_CHILD),
    };
    let child = if difference == InjectedDifference::Extra { other } else { owner };
    groups[child].with_state(|state| state.injected_differences.insert(key.into(), difference));
    reported
}

/// The word for this kind of difference in logs.
fn logged_kind(difference: &InjectedDifference) -> &'static str {
    match difference {
        InjectedDifference::Missing => "missing",
        InjectedDifference::Extra => "extra",
        InjectedDifference::OtherValue(_) => "differs",
    }
}
