//! Options of background work: copies of hot keys, and the comparison of dual reads while a group splits. Each rate is
//! over all processes of the fleet.

use crate::OptionsErrorKind;
use crate::reader::Reader;
use std::collections::BTreeSet;
use std::time::Duration;
use uppsala::NodeId;

/// Rates hold in any span of this length.
const DEFAULT_RATE_WINDOW: Duration = Duration::from_secs(10);

/// What writing a copy costs its group, in reads.
const DEFAULT_COPY_COST_READS: f64 = 2.0;
/// Copies of one key.
const DEFAULT_MAX_COPIES: usize = 3;
/// Copies that are written at one database.
const DEFAULT_COPIES_PER_S: f64 = 10.0;
/// Rows that are read for copying at one database.
const DEFAULT_COPY_READS_PER_S: f64 = 10.0;
/// Copies written, and likewise rows read, at all databases together.
const DEFAULT_ALL_COPIES_PER_S: f64 = 100.0;

/// Comparisons in each range of hashes.
const DEFAULT_MIN_COMPARISONS: u32 = 3;
/// Processes that compare in each range of hashes.
const DEFAULT_MIN_PROCESSES: usize = 1;
/// How long a comparison counts.
const DEFAULT_COVERAGE_WINDOW: Duration = Duration::from_secs(600);
/// How long a difference has to persist until it is confirmed.
const DEFAULT_CONFIRMATION_DELAY: Duration = Duration::from_secs(10);
/// Reads for comparison at one database.
const DEFAULT_COMPARISON_READS_PER_S: f64 = 5.0;
/// Reads for comparison at all databases together.
const DEFAULT_ALL_COMPARISON_READS_PER_S: f64 = 50.0;

/// Copies of keys that get more reads than one database can serve (element `hot`).
#[derive(Clone, Debug, PartialEq)]
pub struct HotKeyOptions {
    /// The line of the element.
    pub line: usize,
    /// Reads a second that one database can serve.
    pub database_reads_per_s: f64,
    /// What writing a copy costs its group, in reads.
    pub copy_cost_reads: f64,
    /// Copies of one key.
    pub max_copies: usize,
    /// Copies that are written at one database in a second.
    pub database_copies_per_s: f64,
    /// Rows that are read for copying at one database in a second.
    pub database_copy_reads_per_s: f64,
    /// Copies written, and likewise rows read, at all databases together in a second.
    pub total_rate_per_s: f64,
    /// The rates hold in any span of this length.
    pub window: Duration,
}

/// A group that splits, and reads of its children that are compared with its own (element `split`).
#[derive(Clone, Debug, PartialEq)]
pub struct SplitOptions {
    /// The line of the element.
    pub line: usize,
    /// The group that splits.
    pub parent: u32,
    /// The group that gets the keys with the lower hashes.
    pub lower_child: u32,
    /// The group that gets the keys with the higher hashes.
    pub upper_child: u32,
    /// The lowest hash of the upper child.
    pub split_at: u32,
    /// Comparisons that each range of hashes needs within the window.
    pub min_comparisons: u32,
    /// How long a comparison counts.
    pub coverage_window: Duration,
    /// Processes that have to compare in each range within the window.
    pub min_processes: usize,
    /// How long a difference has to persist until it is confirmed.
    pub confirmation_delay: Duration,
    /// Reads for comparison at one database in a second.
    pub database_reads_per_s: f64,
    /// Reads for comparison at all databases together in a second.
    pub total_rate_per_s: f64,
    /// The rates hold in any span of this length.
    pub window: Duration,
}

impl Reader<'_> {
    /// Element `split`. `has_fleet`: the file has an element `fleet`, without which no process learns what others have
    /// compared.
    pub(crate) fn split(&mut self, node: NodeId, has_fleet: bool) -> Option<SplitOptions> {
        let mut split = SplitOptions {
            line: self.doc.node_line(node),
            parent: self.value(node, "from")?,
            lower_child: self.value(node, "below")?,
            upper_child: self.value(node, "above")?,
            split_at: self.value(node, "at")?,
            min_comparisons: DEFAULT_MIN_COMPARISONS,
            coverage_window: DEFAULT_COVERAGE_WINDOW,
            min_processes: DEFAULT_MIN_PROCESSES,
            confirmation_delay: DEFAULT_CONFIRMATION_DELAY,
            database_reads_per_s: DEFAULT_COMPARISON_READS_PER_S,
            total_rate_per_s: DEFAULT_ALL_COMPARISON_READS_PER_S,
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
            self.add_error(node, OptionsErrorKind::GroupsNotDistinct);
        }
        Some(split)
    }

    /// Element `hot`. `has_fleet`: the file has an element `fleet`, without which no process learns of the others'
    /// reads.
    pub(crate) fn hot(&mut self, node: NodeId, has_fleet: bool) -> Option<HotKeyOptions> {
        let mut hot = HotKeyOptions {
            line: self.doc.node_line(node),
            database_reads_per_s: self.value(node, "bears")?,
            copy_cost_reads: DEFAULT_COPY_COST_READS,
            max_copies: DEFAULT_MAX_COPIES,
            database_copies_per_s: DEFAULT_COPIES_PER_S,
            database_copy_reads_per_s: DEFAULT_COPY_READS_PER_S,
            total_rate_per_s: DEFAULT_ALL_COPIES_PER_S,
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
