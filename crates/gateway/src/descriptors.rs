//! Reserves space in the kernel's file descriptor table before the process starts a second thread.

/// The maximum number of descriptors to reserve, for which the kernel needs half a megabyte.
const MAX_RESERVED: usize = 1 << 16;

/// Reported if the kernel reserved fewer descriptors than requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DescriptorShortage {
    /// The number of descriptors requested.
    pub(crate) requested: usize,
    /// The number of descriptors reserved.
    pub(crate) available: usize,
}

/// Makes the kernel reserve space for `descriptors` descriptors, or for as many as it allows.
///
/// Must be called while the process has a single thread. The kernel's table grows by doubling. Once several threads
/// share the table, every connection that does not fit waits for all cores while the table grows (`synchronize_rcu` in
/// Linux), and under load the gateway stalls for seconds (incident 008).
pub(crate) fn reserve(descriptors: usize) -> Option<DescriptorShortage> {
    let requested = descriptors.clamp(1, MAX_RESERVED);
    let halved = |count: &usize| Some(count / 2);
    let candidates = std::iter::successors(Some(requested), halved);
    let mut candidates = candidates.take_while(|count| *count > 0);
    let available = candidates.find(|count| grow_table_to(*count)).unwrap_or(0);
    (available < requested).then_some(DescriptorShortage {
        requested,
        available,
    })
}

/// Grows the table by duplicating a descriptor to the highest number. The duplicate is closed at once, but the table
/// does not shrink.
fn grow_table_to(descriptors: usize) -> bool {
    rustix::io::fcntl_dupfd_cloexec(std::io::stderr(), descriptors as i32 - 1).is_ok()
}
