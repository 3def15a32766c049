//! Unix time in milliseconds that never steps back: read once, then carried on by the monotonic clock.

use ironstair::Ms;
use std::time::{Duration, Instant, SystemTime};

#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Ms,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_secs_f64() * 1000.0 }
    }

    pub fn now(&self) -> Ms {
        self.unix + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// For timers: the instant of a point in time, now for those that have passed.
    pub fn at(&self, time: Ms) -> Instant {
        Instant::now() + span(time - self.now())
    }
}

pub fn span(ms: Ms) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1000.0)
}
