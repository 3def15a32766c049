use super::{ConnectionLimiter, ConnectionPermit, NEW_CONNECTION_PERIOD};
use futures_lite::future::{block_on, poll_once};
use ironstair_runtime::clock::Clock;
use std::rc::Rc;
use std::time::Duration;

const LIMIT: usize = 4;

fn close_requests(permits: &[ConnectionPermit]) -> usize {
    let is_requested = |permit: &&ConnectionPermit| permit.activity.is_close_requested();
    permits.iter().filter(is_requested).count()
}

#[test]
fn eviction_takes_unanswered_then_longest_idle_and_spares_open_calls() {
    let limiter = ConnectionLimiter::new(LIMIT, Rc::default());
    let clock = Clock::start();
    let try_acquire = || block_on(poll_once(limiter.acquire(&clock)));
    let mut permits: Vec<ConnectionPermit> = (0..LIMIT).filter_map(|_| try_acquire()).collect();
    permits[0].call_opened();
    permits[1].call_finished(8.0, true, false);
    permits[2].call_finished(7.0, true, false);

    // The last connection is new, so it is not evicted: its first message may be under way.
    for evicted in [2, 1] {
        assert!(try_acquire().is_none());
        assert_eq!(close_requests(&permits), 1, "{evicted}");
        assert!(permits[evicted].activity.is_close_requested(), "{evicted}");
        drop(permits.remove(evicted));
        permits.push(try_acquire().unwrap());
        permits.last().unwrap().call_opened();
    }

    let new_period = Duration::from_millis(NEW_CONNECTION_PERIOD as u64 + 20);
    std::thread::sleep(new_period);
    permits[2].call_finished(clock.now(), true, false);
    assert!(try_acquire().is_none());
    assert!(
        permits[1].activity.is_close_requested(),
        "no longer new and never answered: evicted first"
    );

    permits[1].call_opened();
    assert!(try_acquire().is_none());
    assert_eq!(close_requests(&permits), 1);
    assert!(
        permits[2].activity.is_close_requested(),
        "asked to close instead of the connection that has an open call now"
    );
}
