use super::*;
use futures_lite::future::{block_on, poll_once};

#[test]
fn who_never_spoke_leaves_first_then_who_is_quiet_longest_and_nobody_with_an_open_call() {
    let (places, clock) = (Places::new(4, Rc::default()), Clock::start());
    let take = || poll_once(places.take(&clock));
    let mut held: Vec<Place> = (0..4).filter_map(|_| block_on(take())).collect();
    held[0].busy();
    held[1].rest(8.0, true, false);
    held[2].rest(7.0, true, false);
    let requested = |held: &[Place]| held.iter().filter(|p| p.seat.must_leave()).count();
    // The last is new: it has not had its word yet.
    for leaver in [2, 1] {
        assert!(block_on(take()).is_none());
        assert_eq!(
            (requested(&held), held[leaver].seat.must_leave()),
            (1, true),
            "{leaver}"
        );
        drop(held.remove(leaver));
        held.push(block_on(take()).unwrap());
        held.last().unwrap().busy();
    }
    std::thread::sleep(std::time::Duration::from_millis(NEW as u64 + 20));
    held[2].rest(clock.now(), true, false);
    assert!(block_on(take()).is_none());
    assert!(held[1].seat.must_leave(), "it never said anything");
    held[1].busy();
    assert!(block_on(take()).is_none());
    assert_eq!(
        (requested(&held), held[2].seat.must_leave()),
        (1, true),
        "what has come to speak stays"
    );
}
