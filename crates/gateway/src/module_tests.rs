use super::*;
use async_executor::LocalExecutor;
use ironstair_mail::clock::Clock;
use ironstair_mail::pool::Pool;
use ironstair_mandate::Carriage;
use slog::{o, Discard, Logger};
use std::cell::RefCell;

#[test]
fn an_event_that_overtakes_a_wake_up_does_not_leave_the_next_one_out() {
    // Against a quiet gateway that sleeps past the hard limits: a wake-up that is due already finds nothing
    // due yet, and the module, which has asked for a later one, asks for no more.
    let reports = Vec::new();
    let (connect_within, idle, streams, most_open, longest) = (250.0, 3e4, 32, 100, 5000.0);
    let shared = Rc::new(Shared {
        clock: Clock::start(),
        pool: Pool::of(1 << 16),
        bands: Default::default(),
        longest: Cell::new(5000.0),
        gauges: Default::default(),
        tenants: false,
        carriage: RefCell::new(Rc::new(Carriage {
            connect_within,
            idle,
            streams,
            most_open,
            longest,
            reports,
        })),
        links_most: 8,
        listed: Cell::new(0),
        tenure: Cell::new(Ms::INFINITY),
        log: Logger::root(Discard, o!()),
        module: async_channel::bounded(1).0,
        executor: Rc::new(LocalExecutor::new()),
    });
    let mut hands = Hands::new(shared, None);
    hands.now = 10.0;
    hands.wake(5.0);
    hands.now = 16.0;
    hands.wake(5.0);
    assert_eq!(hands.wake, Some(21.0));
}
