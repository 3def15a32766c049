use super::*;
use futures_lite::future::{block_on, poll_once};

#[test]
fn who_never_spoke_leaves_first_then_who_is_quiet_longest_and_nobody_with_an_open_call() {
    let (limiter, clock) = (ConnectionLimiter::new(4, Rc::default()), Clock::start());
    let take = || poll_once(limiter.take(&clock));
    let mut held: Vec<ConnectionPermit> = (0..4).filter_map(|_| block_on(take())).collect();
    held[0].busy();
    held[1].rest(8.0, true, false);
    held[2].rest(7.0, true, false);
    let requested = |held: &[ConnectionPermit]| {
        held.iter()
            .filter(|p| p.activity.is_asked_to_close())
            .count()
    };
    // The last is new: it has not had its word yet.
    for leaver in [2, 1] {
        assert!(block_on(take()).is_none());
        assert_eq!(
            (requested(&held), held[leaver].activity.is_asked_to_close()),
            (1, true),
            "{leaver}"
        );
        drop(held.remove(leaver));
        held.push(block_on(take()).unwrap());
        held.last().unwrap().busy();
    }
    std::thread::sleep(std::time::Duration::from_millis(
        NEW_CONNECTION_PERIOD as u64 + 20,
    ));
    held[2].rest(clock.now(), true, false);
    assert!(block_on(take()).is_none());
    assert!(
        held[1].activity.is_asked_to_close(),
        "it never said anything"
    );
    held[1].busy();
    assert!(block_on(take()).is_none());
    assert_eq!(
        (requested(&held), held[2].activity.is_asked_to_close()),
        (1, true),
        "what has come to speak stays"
    );
}
