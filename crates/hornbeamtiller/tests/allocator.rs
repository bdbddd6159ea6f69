//! The allocator that the process runs with.

#[path = "../src/allocator.rs"]
mod allocator;

/// Size of a buffer, in bytes, as that of a response that grows.
const BUFFER_BYTES: usize = 256 << 10;
const BUFFERS: usize = 80;
/// What may stay with the allocator, in bytes.
const KEPT_BYTES_MAX: u64 = 4 << 20;

/// Resident memory of this process, in bytes: counted page by page, as the system's own sum lags behind.
fn resident_bytes() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/smaps_rollup").expect("a summary of pages");
    let line = pages.lines().find(|line| line.starts_with("Rss:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<u64>().ok()).expect("a size") << 10
}

/// Guards against freed buffers that stay resident beside the next ones, as when many responses are given up at once.
#[test]
fn freed_buffers_returned_at_once() {
    allocator::configure();
    allocator::collect();
    let before = resident_bytes();
    let buffers: Vec<Vec<u8>> = (0..BUFFERS).map(|_| vec![1; BUFFER_BYTES]).collect();
    assert!(resident_bytes() >= before + (BUFFERS * BUFFER_BYTES) as u64);
    drop(buffers);
    let after = resident_bytes();
    assert!(
        after <= before + KEPT_BYTES_MAX,
        "{before} bytes before, {after} after"
    );
}
