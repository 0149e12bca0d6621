//! Work that no client waits for: copies of hot keys, and reads that are compared while a group splits. Each budget is over all processes of the fleet.

use crate::reader::Reader;
use std::time::Duration;
use uppsala::NodeId;

/// Copies of keys that draw more than one database bears.
#[derive(Clone, Debug, PartialEq)]
pub struct Hot {
    pub line: usize,
    /// Reads a second that one database bears.
    pub bears: f64,
    /// What writing a copy costs its group, in reads.
    pub copy_cost: f64,
    /// Guests of one key, at the most.
    pub guests: usize,
    /// Copies written, and rows read for them, at one database in a second, and at all together.
    pub copies_per_s: f64,
    pub reads_per_s: f64,
    pub all_per_s: f64,
    /// These bounds hold in any span of this length.
    pub window: Duration,
}

/// A group that splits, and reads of its children that are compared with its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    pub line: usize,
    pub from: u32,
    pub below: u32,
    pub above: u32,
    /// Keys whose hash is below this are the first child's.
    pub at: u32,
    /// Comparisons of each range, within this time, by so many processes, until it is clean.
    pub least: u32,
    pub within: Duration,
    pub processes: usize,
    /// How long a difference has to last.
    pub confirm: Duration,
    /// Reads for comparison at one database in a second, and at all together.
    pub reads_per_s: f64,
    pub all_per_s: f64,
    pub window: Duration,
}

impl Reader<'_> {
    fn read_duration(&mut self, node: NodeId, name: &str, into: &mut Duration) {
        if let Some(ms) = self.value(node, name) {
            *into = Duration::from_millis(ms);
        }
    }

    pub(crate) fn split(&mut self, node: NodeId, fleet: bool) -> Option<Split> {
        let mut split = Split {
            line: self.doc.node_line(node),
            from: self.value(node, "from")?,
            below: self.value(node, "below")?,
            above: self.value(node, "above")?,
            at: self.value(node, "at")?,
            least: 3,
            within: Duration::from_secs(600),
            processes: 1,
            confirm: Duration::from_secs(10),
            reads_per_s: 5.0,
            all_per_s: 50.0,
            window: Duration::from_secs(10),
        };
        self.read_number(node, "least", &mut split.least);
        self.read_number(node, "processes", &mut split.processes);
        self.read_number(node, "reads-per-s", &mut split.reads_per_s);
        self.read_number(node, "all-per-s", &mut split.all_per_s);
        self.read_duration(node, "within-ms", &mut split.within);
        self.read_duration(node, "confirm-ms", &mut split.confirm);
        self.read_duration(node, "window-ms", &mut split.window);
        if !fleet {
            self.add_error(node, "there is no element fleet: nobody tells what others have compared");
        }
        let groups = [split.from, split.below, split.above];
        if (1..3).any(|n| groups[..n].contains(&groups[n])) {
            self.add_error(node, "from, below and above: expected three groups");
        }
        Some(split)
    }

    pub(crate) fn hot(&mut self, node: NodeId, fleet: bool) -> Option<Hot> {
        let mut hot = Hot {
            line: self.doc.node_line(node),
            bears: self.value(node, "bears")?,
            copy_cost: 2.0,
            guests: 3,
            copies_per_s: 10.0,
            reads_per_s: 10.0,
            all_per_s: 100.0,
            window: Duration::from_secs(10),
        };
        self.read_number(node, "copy-cost", &mut hot.copy_cost);
        self.read_number(node, "guests", &mut hot.guests);
        self.read_number(node, "copies-per-s", &mut hot.copies_per_s);
        self.read_number(node, "reads-per-s", &mut hot.reads_per_s);
        self.read_number(node, "all-per-s", &mut hot.all_per_s);
        self.read_duration(node, "window-ms", &mut hot.window);
        if !fleet {
            self.add_error(node, "there is no element fleet: nobody tells what others are asked for");
        }
        Some(hot)
    }
}
