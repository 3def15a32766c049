//! Room for file descriptors in the kernel's table, made before there is a second thread.

/// Most descriptors that room is made for at start: half a megabyte of the kernel's memory.
const MAX_RESERVED: usize = 1 << 16;

/// The kernel made room for fewer descriptors than the configuration names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShortage {
    /// How many were asked for.
    pub requested: usize,
    /// How many there is room for.
    pub available: usize,
}

/// Has the kernel make room for this many descriptors, or for as many as it allows.
///
/// Must be called while the process has one thread. The kernel's table grows by doubling; once several threads
/// share it, every connection that no longer fits waits until all cores have come round (`synchronize_rcu` in
/// Linux), and under load the gateway stands still for seconds (incident 008).
pub fn reserve(descriptors: usize) -> Option<DescriptorShortage> {
    let requested = descriptors.clamp(1, MAX_RESERVED);
    let mut candidates =
        std::iter::successors(Some(requested), |n| Some(n / 2)).take_while(|n| *n > 0);
    let available = candidates.find(|n| grow_table_to(*n)).unwrap_or(0);
    (available < requested).then_some(DescriptorShortage {
        requested,
        available,
    })
}

/// Makes one copy with the highest number and gives it back at once: the table keeps its size.
fn grow_table_to(descriptors: usize) -> bool {
    rustix::io::fcntl_dupfd_cloexec(std::io::stderr(), descriptors as i32 - 1).is_ok()
}
