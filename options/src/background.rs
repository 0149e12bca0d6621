//! Options of background work: copies of hot keys, and the comparison of dual reads during a shard split. Each rate is
//! a total over all processes of the fleet.

use crate::OptionsErrorKind;
use crate::reader::Reader;
use std::collections::BTreeSet;
use std::time::Duration;
use uppsala::NodeId;

/// The length of the spans in which rates are limited.
const DEFAULT_RATE_WINDOW: Duration = Duration::from_secs(10);

/// Cost of writing a copy to its group, as a number of reads.
const DEFAULT_COPY_COST_READS: f64 = 2.0;
/// Maximum number of copies of one key.
const DEFAULT_MAX_COPIES: usize = 3;
/// Maximum rate of copies that are written to one database.
const DEFAULT_COPIES_PER_S: f64 = 10.0;
/// Maximum rate of rows that are read from one database for copying.
const DEFAULT_COPY_READS_PER_S: f64 = 10.0;
/// Maximum rate of copies that are written to all databases, and of rows that are read from them for copying.
const DEFAULT_TOTAL_COPIES_PER_S: f64 = 100.0;

/// Comparisons that each hash range needs.
const DEFAULT_MIN_COMPARISONS: u32 = 3;
/// Processes that have to compare in each hash range.
const DEFAULT_MIN_PROCESSES: usize = 1;
/// The time after which a comparison expires.
const DEFAULT_COVERAGE_WINDOW: Duration = Duration::from_secs(600);
/// The time for which a difference has to persist until it is confirmed.
const DEFAULT_CONFIRMATION_DELAY: Duration = Duration::from_secs(10);
/// Maximum rate of comparison reads at one database.
const DEFAULT_COMPARISON_READS_PER_S: f64 = 5.0;
/// Maximum rate of comparison reads at all databases.
const DEFAULT_TOTAL_COMPARISON_READS_PER_S: f64 = 50.0;

/// Copies of keys that receive more reads than one database can serve (element `hot`).
#[derive(Clone, Debug, PartialEq)]
pub struct HotKeyOptions {
    /// Line of the element in the file.
    pub line: usize,
    /// Reads that one database can serve in a second.
    pub database_reads_per_s: f64,
    /// Cost of writing a copy to its group, as a number of reads.
    pub copy_cost_reads: f64,
    /// Maximum number of copies of one key.
    pub max_copies: usize,
    /// Maximum number of copies that are written to one database in a second.
    pub database_copies_per_s: f64,
    /// Maximum number of rows that are read from one database for copying in a second.
    pub database_copy_reads_per_s: f64,
    /// Maximum number of copies that are written to all databases in a second. The same maximum applies separately to
    /// the rows that are read for copying.
    pub total_rate_per_s: f64,
    /// No rate is exceeded in any span of this length.
    pub window: Duration,
}

/// A shard split, with the comparison of reads from the parent group and its children (element `split`).
#[derive(Clone, Debug, PartialEq)]
pub struct SplitOptions {
    /// Line of the element in the file.
    pub line: usize,
    /// The group whose keys are divided between the two children.
    pub parent: u32,
    /// The group that receives the keys with the lower hashes.
    pub lower_child: u32,
    /// The group that receives the keys with the higher hashes.
    pub upper_child: u32,
    /// The lowest hash of the upper child.
    pub split_at: u32,
    /// Comparisons that each hash range needs within the coverage window.
    pub min_comparisons: u32,
    /// The time after which a comparison expires.
    pub coverage_window: Duration,
    /// Processes that have to compare in each hash range within the coverage window.
    pub min_processes: usize,
    /// The time for which a difference has to persist until it is confirmed.
    pub confirmation_delay: Duration,
    /// Maximum number of comparison reads at one database in a second.
    pub database_reads_per_s: f64,
    /// Maximum number of comparison reads at all databases in a second.
    pub total_rate_per_s: f64,
    /// No rate is exceeded in any span of this length.
    pub window: Duration,
}

impl Reader<'_> {
    /// Reads the element `split`. The element `fleet` is required, because processes exchange their comparisons through
    /// the fleet.
    pub(crate) fn read_split(&mut self, node: NodeId, has_fleet: bool) -> Option<SplitOptions> {
        let mut split = SplitOptions {
            line: self.document.node_line(node),
            parent: self.number(node, "from")?,
            lower_child: self.number(node, "below")?,
            upper_child: self.number(node, "above")?,
            split_at: self.number(node, "at")?,
            min_comparisons: DEFAULT_MIN_COMPARISONS,
            coverage_window: DEFAULT_COVERAGE_WINDOW,
            min_processes: DEFAULT_MIN_PROCESSES,
            confirmation_delay: DEFAULT_CONFIRMATION_DELAY,
            database_reads_per_s: DEFAULT_COMPARISON_READS_PER_S,
            total_rate_per_s: DEFAULT_TOTAL_COMPARISON_READS_PER_S,
            window: DEFAULT_RATE_WINDOW,
        };
        self.read_number(node, "least", &mut split.min_comparisons);
        self.read_number(node, "processes", &mut split.min_processes);
        self.read_number(node, "reads-per-s", &mut split.database_reads_per_s);
        self.read_number(node, "all-per-s", &mut split.total_rate_per_s);
        self.read_duration(node, "within-ms", &mut split.coverage_window);
        self.read_duration(node, "confirm-ms", &mut split.confirmation_delay);
        self.read_duration(node, "window-ms", &mut split.window);
        if !has_fleet {
            self.add_error(node, OptionsErrorKind::SplitWithoutFleet);
        }
        let groups = [split.parent, split.lower_child, split.upper_child];
        if BTreeSet::from(groups).len() < groups.len() {
            self.add_error(node, OptionsErrorKind::GroupsNotDistinct { groups });
        }
        Some(split)
    }

    /// Reads the element `hot`. The element `fleet` is required, because processes exchange their read rates through
    /// the fleet.
    pub(crate) fn read_hot_keys(&mut self, node: NodeId, has_fleet: bool) -> Option<HotKeyOptions> {
        let mut hot = HotKeyOptions {
            line: self.document.node_line(node),
            database_reads_per_s: self.number(node, "bears")?,
            copy_cost_reads: DEFAULT_COPY_COST_READS,
            max_copies: DEFAULT_MAX_COPIES,
            database_copies_per_s: DEFAULT_COPIES_PER_S,
            database_copy_reads_per_s: DEFAULT_COPY_READS_PER_S,
            total_rate_per_s: DEFAULT_TOTAL_COPIES_PER_S,
            window: DEFAULT_RATE_WINDOW,
        };
        self.read_number(node, "copy-cost", &mut hot.copy_cost_reads);
        self.read_number(node, "guests", &mut hot.max_copies);
        self.read_number(node, "copies-per-s", &mut hot.database_copies_per_s);
        self.read_number(node, "reads-per-s", &mut hot.database_copy_reads_per_s);
        self.read_number(node, "all-per-s", &mut hot.total_rate_per_s);
        self.read_duration(node, "window-ms", &mut hot.window);
        if !has_fleet {
            self.add_error(node, OptionsErrorKind::HotKeysWithoutFleet);
        }
        Some(hot)
    }
}
