//! A single gateway process on loopback with stub engines, a stub name service and stub clients. If one of the test's
//! own sockets, files or processes fails, the thread that notices it panics.

mod client;
mod engine;
mod faulty_engine;
mod gateway;
mod late_listener;
mod manual_engine;
mod name_service;
mod run_log;

pub use client::{framed, Client, FAILED, REJECTED};
pub use engine::{done_reply, request_id, start_engine, RecordedLines};
pub use faulty_engine::{rows_of_run, start_faulty_engine};
pub use gateway::{
    allocate_address, gateway_binary, gateway_config, spawn_gateway_process, start_gateway,
    start_gateway_in_fleet, start_gateway_with_config, Gateway,
};
pub use late_listener::{FullListener, OpenedListener};
pub use manual_engine::{ManualEngine, ReceivedCommand};
pub use name_service::{
    append_domain_name, engine_list_answer, start_name_service, start_slow_name_service,
    NameServiceAnswer,
};
pub use run_log::{Attempt, RunLog};

use std::thread;
use std::time::{Duration, Instant};

/// Time limit of [`becomes_true`].
const BECOMES_TRUE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks of a condition, and between attempts to connect.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls a condition, and returns whether it became true within five seconds.
pub fn becomes_true(mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + BECOMES_TRUE_TIMEOUT;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        thread::sleep(POLL_INTERVAL);
    }
    false
}
