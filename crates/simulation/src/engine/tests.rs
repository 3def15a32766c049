use super::*;

#[test]
fn cores_are_shared_and_a_cold_engine_is_slow_and_falls() {
    let asker = |slot| Asker {
        gate: 0,
        process: 0,
        slot,
        nth: 0,
    };
    let mut e = Engine::default();
    for slot in 0..32 {
        assert!(matches!(
            e.take(0.0, asker(slot), 1.0, 100.0, 7),
            Admission::Runs
        ));
    }
    // The first found its tables cold; 32 threads share 16 cores.
    assert_eq!(e.next(0.0), Some(200.0));
    assert_eq!(e.over(200.0).len(), 31);
    e.end();
    e.begin(1000.0);
    let bears = FALL_MULTIPLE * COLD_FROM * CORES * FALL_SPAN;
    assert!(matches!(
        e.take(1000.0, asker(0), 1.0, bears * 0.9, 7),
        Admission::Runs
    ));
    assert!(matches!(
        e.take(1000.0, asker(1), 1.0, bears * 0.2, 7),
        Admission::Falls
    ));
}
