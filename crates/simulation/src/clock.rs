//! Virtual time, and the events that are scheduled in it.

use crate::event::Event;
use ironstair::Millis;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event and its time. Events with the same time occur in the order in which they were scheduled.
struct ScheduledEvent {
    at: Millis,
    sequence_number: u64,
    event: Event,
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = self.at.total_cmp(&other.at);
        by_time.then(self.sequence_number.cmp(&other.sequence_number))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledEvent {}

/// The virtual time of a run, from 0 to its end, and the queue of scheduled events.
pub(crate) struct Clock {
    now: Millis,
    end: Millis,
    scheduled_count: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl Clock {
    pub(crate) fn new(end: Millis) -> Clock {
        Clock {
            now: 0.0,
            end,
            scheduled_count: 0,
            queue: BinaryHeap::new(),
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.now
    }

    pub(crate) fn schedule_after(&mut self, delay: Millis, event: Event) {
        self.scheduled_count += 1;
        self.queue.push(Reverse(ScheduledEvent {
            at: self.now + delay,
            sequence_number: self.scheduled_count,
            event,
        }));
    }

    /// Advances the time to the next event and returns it; `None` if no event is left before the end.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        let Reverse(next) = self.queue.pop()?;
        if next.at > self.end {
            return None;
        }
        self.now = next.at;
        Some(next.event)
    }
}
