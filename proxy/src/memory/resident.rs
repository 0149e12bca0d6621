//! The memory of the process as the system counts it.

/// The file in which the kernel reports the memory of the process, in pages: its second number is the resident memory.
const STATM_FILE: &str = "/proc/self/statm";
/// The index of the resident memory in that file.
const RESIDENT_FIELD: usize = 1;

/// Allocations of at least this size get pages of their own, which go back to the system when they are freed. Otherwise the
/// system's allocator raises this size with each such allocation that is freed, and keeps them.
const MAPPED_ALLOCATION_BYTES: libc::c_int = 32 << 10;
/// Free memory at the end of the heap that goes back to the system.
const TRIMMED_BYTES: libc::c_int = 256 << 10;

/// Returns the resident memory of the process in bytes; `None` if the system does not report it.
pub(crate) fn resident_bytes() -> Option<usize> {
    let text = std::fs::read_to_string(STATM_FILE).ok()?;
    let pages: usize = text.split(' ').nth(RESIDENT_FIELD)?.parse().ok()?;
    Some(pages * page_bytes())
}

/// Returns the size of a page in bytes.
fn page_bytes() -> usize {
    // SAFETY: The call has no preconditions.
    let bytes = unsafe { libc::sysconf(libc::_SC_PAGESIZE) };
    usize::try_from(bytes).unwrap_or(0)
}

/// Configures the allocator so that freed memory goes back to the system. Must be called before the first connection.
#[cfg(target_env = "gnu")]
pub(crate) fn configure_allocator() {
    // SAFETY: The calls only set parameters of the allocator.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_ALLOCATION_BYTES);
        libc::mallopt(libc::M_TRIM_THRESHOLD, TRIMMED_BYTES);
        libc::mallopt(libc::M_ARENA_MAX, 1);
    }
}

/// Gives free memory of the heap back to the system.
#[cfg(target_env = "gnu")]
pub(super) fn release_free_memory() {
    // SAFETY: The call has no preconditions.
    unsafe { libc::malloc_trim(0) };
}

/// Other C libraries have no such parameters.
#[cfg(not(target_env = "gnu"))]
pub(crate) fn configure_allocator() {}

/// Other C libraries have no such call.
#[cfg(not(target_env = "gnu"))]
pub(super) fn release_free_memory() {}
