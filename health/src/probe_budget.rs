//! The rate limits of probes: a token bucket for each group and one for all groups together.

use crate::settings::ProbeSettings;
use crate::{GroupId, Micros};
use std::collections::BTreeMap;

/// The capacity of a group's bucket, which is the maximum number of probes sent to the group at once.
const GROUP_BURST: f64 = 3.0;
/// The capacity of the shared bucket, which is the maximum number of probes sent to all groups at once.
const TOTAL_BURST: f64 = 8.0;

/// A token bucket. Each probe takes one token.
#[derive(Clone, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    fn full(now: Micros, burst: f64) -> TokenBucket {
        TokenBucket { tokens: burst, refilled_at: now }
    }

    /// Adds the tokens that accrued since the last call, up to the capacity `burst`.
    fn refill(&mut self, now: Micros, rate_per_s: f64, burst: f64) {
        let seconds = (now - self.refilled_at).max(0) as f64 / 1e6;
        self.tokens = (self.tokens + seconds * rate_per_s).min(burst);
        self.refilled_at = now;
    }
}

/// The token bucket of each group, and the one that all groups share.
#[derive(Clone, Debug)]
pub(crate) struct ProbeBudget {
    total: TokenBucket,
    groups: BTreeMap<GroupId, TokenBucket>,
}

impl ProbeBudget {
    /// Creates a budget with full buckets.
    pub(crate) fn new(now: Micros) -> ProbeBudget {
        ProbeBudget { total: TokenBucket::full(now, TOTAL_BURST), groups: BTreeMap::new() }
    }

    /// Takes one token from the group's bucket and one from the shared bucket. Returns false, and takes no token, if
    /// either bucket has none.
    pub(crate) fn take(&mut self, now: Micros, group: GroupId, settings: &ProbeSettings) -> bool {
        self.total.refill(now, settings.total_rate_per_s, TOTAL_BURST);
        let bucket = self.groups.entry(group).or_insert(TokenBucket::full(now, GROUP_BURST));
        bucket.refill(now, settings.group_rate_per_s, GROUP_BURST);
        if self.total.tokens < 1.0 || bucket.tokens < 1.0 {
            return false;
        }
        self.total.tokens -= 1.0;
        bucket.tokens -= 1.0;
        true
    }

    /// Removes the bucket of a group that is no longer listed.
    pub(crate) fn remove_group(&mut self, group: GroupId) {
        self.groups.remove(&group);
    }
}
