//! How much memory peers may make the process hold.
//!
//! Every connection is guaranteed a small amount, which is enough for any statement without a value and for its answer. The
//! rest of the limit is shared: a connection may use it as long as enough is left, and waits otherwise.

use super::{allocated_bytes, release_free_memory, resident_bytes};
use tracing::info;

/// The input that every client may have in memory: a statement without a value, and the beginning of the next message.
const CLIENT_INPUT_BYTES: usize = 8 << 10;
/// The output that every client may have in memory beside its input, and the state of its connection.
const CLIENT_OUTPUT_BYTES: usize = 9 << 10;
/// The input that every connection to a database may have in memory.
const DATABASE_INPUT_BYTES: usize = 8 << 10;
/// The same, and the state of the connection.
const DATABASE_BYTES: usize = DATABASE_INPUT_BYTES + (1 << 10);
/// The part of the limit that is left for endpoint lists, reloads, tables, and connections that are neither clients nor databases.
const TABLE_DIVISOR: usize = 8;
/// Input is read without a promise only if this much memory is left.
const MIN_SHARED_READ_BYTES: usize = 16 << 10;
/// The part of the limit that is left for what the allocator needs beside the allocated bytes.
const ALLOCATOR_MARGIN_DIVISOR: usize = 16;
/// The overhead that is assumed if the system does not report the resident memory.
const UNKNOWN_OVERHEAD_BYTES: usize = 6 << 20;
/// Free memory that the allocator may keep before it has to give it back to the system.
const MAX_KEPT_BYTES: usize = 1 << 20;
/// The system is asked for the resident memory after the allocated bytes have changed by this much.
const CHECK_INTERVAL_BYTES: usize = 2 << 20;

/// The connections that the process may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConnectionCounts {
    pub clients: usize,
    pub databases: usize,
}

/// The limits in bytes that follow from the memory limit, compared with the allocated bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Thresholds {
    /// Above this, answers are forwarded in small pieces, and connections keep no free buffers.
    pub(super) pressure: usize,
    /// The memory that may be promised to messages. Above this, a connection holds no more than what it is guaranteed.
    pub(super) shared: usize,
    /// Above this, connections that hold more than what they are guaranteed are closed.
    pub(super) total: usize,
}

/// The memory of the process, and how much of it connections may use.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    /// The part of the limit that belongs to this process, in bytes.
    limit: usize,
    connections: ConnectionCounts,
    /// Resident memory beside the allocated bytes: the program, its stack, and what the allocator cannot give back.
    overhead: usize,
    thresholds: Thresholds,
    /// Bytes of messages that have not arrived and for which shared memory is set aside.
    promised: usize,
    /// The allocated bytes when the resident memory was last compared with them.
    allocated_at_check: usize,
    under_pressure: bool,
}

impl MemoryBudget {
    /// Creates the budget of a process that has just started.
    pub(crate) fn new(limit: usize, connections: ConnectionCounts) -> MemoryBudget {
        let mut budget = MemoryBudget {
            limit,
            connections,
            overhead: UNKNOWN_OVERHEAD_BYTES,
            thresholds: Thresholds::default(),
            promised: 0,
            allocated_at_check: 0,
            under_pressure: false,
        };
        budget.compare_with_system();
        budget
    }

    /// Changes the limit and the number of connections. `process_count` processes share the limit.
    pub(crate) fn configure(&mut self, limit: usize, process_count: usize, connections: ConnectionCounts) {
        self.limit = limit / process_count.max(1);
        self.connections = connections;
        self.update_thresholds();
    }

    /// Returns how many further bytes a client with `held` bytes of input may have in any case.
    pub(crate) fn guaranteed_read_bytes(&self, held: usize) -> usize {
        CLIENT_INPUT_BYTES.saturating_sub(held)
    }

    /// Returns how many bytes may be read beyond the guarantee without a promise. Zero while memory is short.
    pub(crate) fn free_read_bytes(&self) -> usize {
        let free = self.thresholds.pressure.saturating_sub(allocated_bytes() + self.promised);
        if free >= MIN_SHARED_READ_BYTES { free } else { 0 }
    }

    /// Returns whether shared memory can be promised for this many bytes of a message.
    pub(crate) fn can_promise(&self, bytes: usize) -> bool {
        allocated_bytes() + self.promised + bytes <= self.thresholds.shared
    }

    /// Sets shared memory aside for the rest of a message, so that it can be read whatever others send. Returns false if there is
    /// not enough. The caller has to give the promise back as the bytes arrive, or when they no longer will.
    pub(crate) fn promise(&mut self, bytes: usize) -> bool {
        let granted = self.can_promise(bytes);
        if granted {
            self.promised += bytes;
        }
        granted
    }

    /// Takes a promise back, or a part of it.
    pub(crate) fn release_promise(&mut self, bytes: usize) {
        self.promised = self.promised.saturating_sub(bytes);
    }

    /// Returns the most bytes that are read from a database at once, and that a value may have to be buffered as a whole:
    /// `usual` while there is enough memory.
    pub(crate) fn database_read_bytes(&self, usual: usize) -> usize {
        if self.is_under_pressure() { usual.min(DATABASE_INPUT_BYTES) } else { usual }
    }

    /// Returns the input that every connection to a database may have in memory.
    pub(crate) fn guaranteed_database_input(&self) -> usize {
        DATABASE_INPUT_BYTES
    }

    /// Returns whether memory is short. Connections then buffer no more than they need.
    pub(crate) fn is_under_pressure(&self) -> bool {
        allocated_bytes() > self.thresholds.pressure
    }

    /// Returns whether more is held than the shared memory and all guarantees allow.
    pub(crate) fn is_exhausted(&self) -> bool {
        allocated_bytes() > self.thresholds.total
    }

    /// Returns how many bytes have to be given back so that a quarter of the shared memory is free.
    pub(crate) fn bytes_to_reclaim(&self) -> usize {
        (allocated_bytes() + self.promised).saturating_sub(self.thresholds.pressure)
    }

    /// Compares the allocated bytes with the resident memory if they have changed much since the last time.
    pub(crate) fn check(&mut self) {
        if allocated_bytes().abs_diff(self.allocated_at_check) >= CHECK_INTERVAL_BYTES {
            self.compare_with_system();
        }
    }

    /// Compares the allocated bytes with the resident memory, and gives free memory back to the system. What it does not take
    /// back counts as overhead.
    pub(crate) fn compare_with_system(&mut self) {
        let allocated = allocated_bytes();
        self.allocated_at_check = allocated;
        let Some(resident) = resident_bytes() else { return self.update_thresholds() };
        let mut overhead = resident.saturating_sub(allocated);
        if overhead > self.overhead + MAX_KEPT_BYTES {
            release_free_memory();
            overhead = resident_bytes().unwrap_or(resident).saturating_sub(allocated);
        }
        self.overhead = overhead;
        self.update_thresholds();
        self.log_pressure();
    }

    /// Logs the beginning and the end of a time in which memory is short.
    fn log_pressure(&mut self) {
        let under_pressure = self.is_under_pressure();
        if under_pressure != self.under_pressure {
            self.under_pressure = under_pressure;
            let (limit, allocated, overhead) = (self.limit, allocated_bytes(), self.overhead);
            info!(event = "memory-pressure", begins = under_pressure, limit, allocated, overhead);
        }
    }

    fn update_thresholds(&mut self) {
        self.thresholds = divide(self.limit, self.overhead, self.connections);
    }
}

/// Divides a limit: what is not overhead, margin or a guarantee is shared.
pub(super) fn divide(limit: usize, overhead: usize, connections: ConnectionCounts) -> Thresholds {
    let margin = limit / ALLOCATOR_MARGIN_DIVISOR;
    let total = limit.saturating_sub(overhead + margin);
    let per_client = CLIENT_INPUT_BYTES + CLIENT_OUTPUT_BYTES;
    let guaranteed =
        connections.clients * per_client + connections.databases * DATABASE_BYTES + limit / TABLE_DIVISOR;
    // A limit that is too low for the guarantees leaves something to share all the same.
    let shared = total.saturating_sub(guaranteed).max(total / 4);
    Thresholds { pressure: shared / 4 * 3, shared, total }
}
