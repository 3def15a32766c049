//! The log: lines on standard error, as text or as JSON, written by a thread of its own; what it can't keep up with
//! is dropped, so that a full pipe never holds up an answer.

use slog::{o, Drain, Level, Logger, OwnedKVList, Record};
use slog_async::OverflowStrategy;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// The least that is logged, by slog's numbers; it may change in service.
pub type LevelHandle = Arc<AtomicUsize>;

/// Lets through what is as grave as the least that is logged.
struct Sieve<D>(D, LevelHandle);

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for Sieve<D> {
    type Ok = ();
    type Err = slog::Never;
    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), slog::Never> {
        if record.level().as_usize() <= self.1.load(Ordering::Relaxed) {
            return self.0.log(record, values);
        }
        Ok(())
    }
}

/// Opens the log; it ends with the guard. The handle changes the least level that is logged.
pub fn open(gateway: &str, form: LogFormat) -> (Logger, slog_async::AsyncGuard, LevelHandle) {
    let to = std::io::stderr();
    match form {
        LogFormat::Text => start(
            gateway,
            slog_term::FullFormat::new(slog_term::PlainDecorator::new(to))
                .build()
                .fuse(),
        ),
        LogFormat::Json => start(gateway, slog_json::Json::default(to).fuse()),
    }
}

fn start<D>(gateway: &str, lines: D) -> (Logger, slog_async::AsyncGuard, LevelHandle)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (drain, guard) = slog_async::Async::new(lines)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let least = Arc::new(AtomicUsize::new(Level::Info.as_usize()));
    let sieve = Sieve(drain.fuse(), least.clone());
    (
        Logger::root(sieve.fuse(), o!("gateway" => gateway.to_string())),
        guard,
        least,
    )
}
