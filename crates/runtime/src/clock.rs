//! The gateway's clock: Unix time in milliseconds that never steps back.

use ironstair::Millis;
use std::time::{Duration, Instant, SystemTime};

const MILLIS_PER_SECOND: f64 = 1000.0;

/// About a century, in ms: longer than a gateway runs, and short enough to be added to any instant without overflow.
const MAX_TIMER_SPAN: Millis = 3e12;

/// Reads the system time once, when it is started, and advances with the monotonic clock.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_at_start: Millis,
}

impl Clock {
    /// Starts the clock at the current system time.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_at_start: unix.as_secs_f64() * MILLIS_PER_SECOND,
        }
    }

    /// When the clock was started.
    pub fn started_at(&self) -> Millis {
        self.unix_at_start
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        self.unix_millis(Instant::now())
    }

    fn unix_millis(&self, instant: Instant) -> Millis {
        let elapsed = instant.saturating_duration_since(self.started);
        self.unix_at_start + elapsed.as_secs_f64() * MILLIS_PER_SECOND
    }

    /// The monotonic instant of a point in time, for timers.
    ///
    /// It is computed from the start of the clock, not from the current time: a second reading of the clock could
    /// yield a slightly earlier instant. A task that is woken early finds nothing due and sets no other timer.
    pub fn instant_at(&self, time: Millis) -> Instant {
        self.started + duration(time - self.unix_at_start)
    }
}

/// Converts a span in ms to a [`Duration`], for timers. Negative spans become zero, very long ones are capped.
pub fn duration(span: Millis) -> Duration {
    Duration::from_secs_f64(span.clamp(0.0, MAX_TIMER_SPAN) / MILLIS_PER_SECOND)
}

#[cfg(test)]
mod tests;
