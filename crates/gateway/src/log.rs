//! The log: lines on standard error, written by a thread of its own; what it can't keep up with is dropped,
//! so that a full pipe never holds up an answer.

use slog::{o, Drain, Logger};
use slog_async::OverflowStrategy;

pub fn open(gateway: &str) -> (Logger, slog_async::AsyncGuard) {
    let lines = slog_term::FullFormat::new(slog_term::PlainDecorator::new(std::io::stderr())).build().fuse();
    let (drain, guard) =
        slog_async::Async::new(lines).overflow_strategy(OverflowStrategy::DropAndReport).build_with_guard();
    (Logger::root(drain.fuse(), o!("gateway" => gateway.to_string())), guard)
}
