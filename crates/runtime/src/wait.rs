//! Waiting for conditions, deadlines and messages.

use crate::clock::{duration, Clock};
use async_channel::{Receiver, RecvError};
use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use ironstair::Millis;
use std::future::{pending, Future};
use std::io;

/// Waits until `condition` returns a value; it is evaluated again after each notification.
pub async fn wait_for<T>(notifier: &Event, condition: impl Fn() -> Option<T>) -> T {
    loop {
        // Listening starts before the condition is evaluated: otherwise a notification between the two would be missed.
        let notified = notifier.listen();
        if let Some(value) = condition() {
            return value;
        }
        notified.await;
    }
}

/// Runs `work` for at most `limit`.
///
/// # Errors
/// Returns the error of `work`, or [`io::ErrorKind::TimedOut`] after `limit`.
pub async fn timeout<T>(limit: Millis, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let expired = async {
        Timer::after(duration(limit)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(work, expired).await
}

/// Waits until `deadline`, or forever if there is none.
pub async fn sleep_until(clock: &Clock, deadline: Option<Millis>) {
    match deadline {
        Some(time) => Timer::at(clock.instant_at(time)).await,
        None => pending().await,
    };
}

/// Receives the next message, or `None` if `deadline` comes first.
///
/// # Errors
/// Fails if the channel is empty and closed.
pub async fn recv_until<T>(
    clock: &Clock,
    queue: &Receiver<T>,
    deadline: Option<Millis>,
) -> Result<Option<T>, RecvError> {
    let expired = async {
        sleep_until(clock, deadline).await;
        Ok(None)
    };
    or(async { queue.recv().await.map(Some) }, expired).await
}
