//! Options of background work: copies of hot keys, and the comparison of dual reads while a group splits. Each rate is over all processes
//! of the fleet.

use crate::reader::Reader;
use std::time::Duration;
use uppsala::NodeId;

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
    pub all_per_s: f64,
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
    pub all_per_s: f64,
    /// The rates hold in any span of this length.
    pub window: Duration,
}

impl Reader<'_> {
    /// Reads a time in milliseconds, if the attribute is present.
    fn read_duration(&mut self, node: NodeId, name: &str, into: &mut Duration) {
        if let Some(ms) = self.value(node, name) {
            *into = Duration::from_millis(ms);
        }
    }

    /// Element `split`. `fleet`: the file has an element `fleet`, without which no process learns what others have compared.
    pub(crate) fn split(&mut self, node: NodeId, fleet: bool) -> Option<SplitOptions> {
        let mut split = SplitOptions {
            line: self.doc.node_line(node),
            parent: self.value(node, "from")?,
            lower_child: self.value(node, "below")?,
            upper_child: self.value(node, "above")?,
            split_at: self.value(node, "at")?,
            min_comparisons: 3,
            coverage_window: Duration::from_secs(600),
            min_processes: 1,
            confirmation_delay: Duration::from_secs(10),
            database_reads_per_s: 5.0,
            all_per_s: 50.0,
            window: Duration::from_secs(10),
        };
        self.read_number(node, "least", &mut split.min_comparisons);
        self.read_number(node, "processes", &mut split.min_processes);
        self.read_number(node, "reads-per-s", &mut split.database_reads_per_s);
        self.read_number(node, "all-per-s", &mut split.all_per_s);
        self.read_duration(node, "within-ms", &mut split.coverage_window);
        self.read_duration(node, "confirm-ms", &mut split.confirmation_delay);
        self.read_duration(node, "window-ms", &mut split.window);
        if !fleet {
            self.add_error(node, "there is no element fleet: nobody tells what others have compared");
        }
        let groups = [split.parent, split.lower_child, split.upper_child];
        if (1..3).any(|n| groups[..n].contains(&groups[n])) {
            self.add_error(node, "from, below and above: expected three groups");
        }
        Some(split)
    }

    /// Element `hot`. `fleet`: the file has an element `fleet`, without which no process learns of the others' reads.
    pub(crate) fn hot(&mut self, node: NodeId, fleet: bool) -> Option<HotKeyOptions> {
        let mut hot = HotKeyOptions {
            line: self.doc.node_line(node),
            database_reads_per_s: self.value(node, "bears")?,
            copy_cost_reads: 2.0,
            max_copies: 3,
            database_copies_per_s: 10.0,
            database_copy_reads_per_s: 10.0,
            all_per_s: 100.0,
            window: Duration::from_secs(10),
        };
        self.read_number(node, "copy-cost", &mut hot.copy_cost_reads);
        self.read_number(node, "guests", &mut hot.max_copies);
        self.read_number(node, "copies-per-s", &mut hot.database_copies_per_s);
        self.read_number(node, "reads-per-s", &mut hot.database_copy_reads_per_s);
        self.read_number(node, "all-per-s", &mut hot.all_per_s);
        self.read_duration(node, "window-ms", &mut hot.window);
        if !fleet {
            self.add_error(node, "there is no element fleet: nobody tells what others are asked for");
        }
        Some(hot)
    }
}
