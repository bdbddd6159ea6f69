//! The allocator of the process.

/// Small allocations of many sizes dominate a request's cost; mimalloc halves it.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Time for which the allocator keeps unused pages, in ms. What it keeps comes on top of what the memory budget counts, and
/// at a high rate that can be as much as the whole budget within a few milliseconds.
const PURGE_DELAY_MS: std::ffi::c_long = 0;
/// Index of that setting in mimalloc's `mi_option_e`; the bindings have no name for it.
const PURGE_DELAY_OPTION: libmimalloc_sys::mi_option_t = 15;

/// Makes the allocator return unused pages to the system at once. Called before other threads run.
pub fn configure() {
    // SAFETY: Sets a number that the allocator reads; no other thread runs yet.
    unsafe { libmimalloc_sys::mi_option_set(PURGE_DELAY_OPTION, PURGE_DELAY_MS) };
}

/// Returns unused memory to the system.
pub fn collect() {
    // SAFETY: Releases memory that is not in use, of this thread's heap and of all threads' free pages.
    unsafe { libmimalloc_sys::mi_collect(false) };
}
