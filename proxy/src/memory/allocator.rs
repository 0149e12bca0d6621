//! The allocator of the process: the system's allocator, and a count of the bytes that are allocated.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The sum of the sizes of all allocations that have not been freed, in bytes.
static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Returns the sum of the sizes of all allocations that have not been freed, in bytes. The overhead of the allocator and
/// memory that it keeps for later are not included.
pub(crate) fn allocated_bytes() -> usize {
    ALLOCATED_BYTES.load(Ordering::Relaxed)
}

/// The system's allocator with a count of the allocated bytes. The program runs one thread, so that the count is exact without
/// an atomic addition, which would cost more than the rest of the count.
pub(crate) struct CountingAllocator;

/// Adds to the count, and wraps around for the difference of a smaller allocation.
fn add_to_count(bytes: usize) {
    if cfg!(test) {
        // Unit tests run in several threads.
        ALLOCATED_BYTES.fetch_add(bytes, Ordering::Relaxed);
        return;
    }
    let count = ALLOCATED_BYTES.load(Ordering::Relaxed).wrapping_add(bytes);
    ALLOCATED_BYTES.store(count, Ordering::Relaxed);
}

// SAFETY: All calls are passed to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add_to_count(layout.size());
        // SAFETY: The caller fulfils the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        add_to_count(layout.size());
        // SAFETY: The caller fulfils the contract of `alloc_zeroed`.
        unsafe { System.alloc_zeroed(layout) }
    }

    unsafe fn dealloc(&self, allocation: *mut u8, layout: Layout) {
        add_to_count(layout.size().wrapping_neg());
        // SAFETY: The caller fulfils the contract of `dealloc`.
        unsafe { System.dealloc(allocation, layout) }
    }

    unsafe fn realloc(&self, allocation: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        add_to_count(new_size.wrapping_sub(layout.size()));
        // SAFETY: The caller fulfils the contract of `realloc`.
        unsafe { System.realloc(allocation, layout, new_size) }
    }
}
