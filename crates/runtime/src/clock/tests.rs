use super::Clock;

/// A task that an early timer wakes finds nothing due and sets no other timer: the gateway would then do nothing until
/// its next message.
#[test]
fn no_timer_fires_before_its_time() {
    let clock = Clock::start();
    let first = clock.now();
    for step in 0..200_000 {
        let time = first + f64::from(step) * 0.3713;
        assert!(clock.unix_millis(clock.instant_at(time)) >= time, "{step}");
    }
}
