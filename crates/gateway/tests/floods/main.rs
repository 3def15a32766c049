//! Clients that misuse the gateway at full speed or in great numbers, beside regular ones. A program of its own: its
//! tests occupy every processor, and run one at a time.

#[path = "../support/mod.rs"]
mod support;

mod floods;
mod limits;
mod regular_client;
mod unread_answers;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Held by the test that runs; the others wait.
pub(crate) fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The memory of a process in kB, at its largest.
pub(crate) fn peak_memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let digits = peak.unwrap().trim().trim_end_matches(" kB");
    digits.parse().unwrap()
}
