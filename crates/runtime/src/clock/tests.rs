use super::*;

#[test]
fn no_timer_fires_before_its_time() {
    // Against a gateway that stood still until its next event.
    let clock = Clock::start();
    let first = clock.now();
    for nth in 0..200_000 {
        let time = first + nth as f64 * 0.3713;
        assert!(clock.of(clock.at(time)) >= time, "{nth}");
    }
}
