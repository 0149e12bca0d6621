//! The memory of the process: how much is allocated, how much the system counts, and how much peers may make it hold.

mod allocator;
mod budget;
mod report;
mod resident;
#[cfg(test)]
mod tests;

pub(crate) use allocator::{CountingAllocator, allocated_bytes};
pub(crate) use budget::{ConnectionCounts, MemoryBudget};
pub(crate) use report::{HeldBytes, MemoryReport};
pub(crate) use resident::configure_allocator;
use resident::{release_free_memory, resident_bytes};
