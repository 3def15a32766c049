//! The log: lines on standard error, as text or JSON, written by a separate thread. If the thread's queue is full,
//! lines are dropped and counted, so that a blocked pipe never delays a response.

use slog::{o, Drain, Level, Logger, OwnedKVList, Record};
use slog_async::OverflowStrategy;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum LogFormat {
    /// Plain text
    #[default]
    Text,
    /// One JSON object per line
    Json,
}

/// The least severe level that is logged, as slog's number; management can change it at run time.
pub(crate) type LevelHandle = Arc<AtomicUsize>;

/// Drops records that are less severe than the level.
struct LevelFilter<D> {
    drain: D,
    level: LevelHandle,
}

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for LevelFilter<D> {
    type Ok = ();
    type Err = slog::Never;
    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), slog::Never> {
        if record.level().as_usize() <= self.level.load(Ordering::Relaxed) {
            return self.drain.log(record, values);
        }
        Ok(())
    }
}

/// Opens the log. Lines are written until the guard is dropped; the handle changes the level.
pub(crate) fn open(
    gateway: &str,
    format: LogFormat,
) -> (Logger, slog_async::AsyncGuard, LevelHandle) {
    let output = std::io::stderr();
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(output);
            let lines = slog_term::FullFormat::new(decorator).build();
            start_writer(gateway, lines.fuse())
        }
        LogFormat::Json => start_writer(gateway, slog_json::Json::default(output).fuse()),
    }
}

fn start_writer<D>(gateway: &str, lines: D) -> (Logger, slog_async::AsyncGuard, LevelHandle)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (drain, guard) = slog_async::Async::new(lines)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let level = Arc::new(AtomicUsize::new(Level::Info.as_usize()));
    let filter = LevelFilter {
        drain: drain.fuse(),
        level: level.clone(),
    };
    let logger = Logger::root(filter.fuse(), o!("gateway" => gateway.to_owned()));
    (logger, guard, level)
}
