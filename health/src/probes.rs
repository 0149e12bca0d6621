//! The budget of probes: a bucket for each group and one for all. Owns what is left in them; never says whom to ask.

use crate::settings::ProbeSettings;
use crate::{GroupId, Micros};
use std::collections::BTreeMap;

/// Probes that may go at once, in buckets that are full.
pub(crate) const GROUP_BURST: f64 = 3.0;
pub(crate) const WHOLE_BURST: f64 = 8.0;

#[derive(Clone, Debug)]
struct Bucket {
    left: f64,
    at: Micros,
}

impl Bucket {
    fn fill(&mut self, now: Micros, per_s: f64, burst: f64) {
        self.left = (self.left + (now - self.at).max(0) as f64 / 1e6 * per_s).min(burst);
        self.at = now;
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Budget {
    whole: Bucket,
    groups: BTreeMap<GroupId, Bucket>,
}

impl Budget {
    pub fn new(now: Micros) -> Budget {
        Budget { whole: Bucket { left: WHOLE_BURST, at: now }, groups: BTreeMap::new() }
    }

    /// Takes a probe's worth, if there is one.
    pub fn take(&mut self, now: Micros, group: GroupId, s: &ProbeSettings) -> bool {
        self.whole.fill(now, s.total_rate_per_s, WHOLE_BURST);
        let bucket = self.groups.entry(group).or_insert(Bucket { left: GROUP_BURST, at: now });
        bucket.fill(now, s.group_rate_per_s, GROUP_BURST);
        if self.whole.left < 1.0 || bucket.left < 1.0 {
            return false;
        }
        self.whole.left -= 1.0;
        bucket.left -= 1.0;
        true
    }

    pub fn forget(&mut self, group: GroupId) {
        self.groups.remove(&group);
    }
}
