use super::{
    Admission, AttemptId, Engine, Query, COLD_START_SPEED, CORES, OVERLOAD_FACTOR, OVERLOAD_WINDOW,
};
use crate::event::ProcessId;

fn attempt(slot: usize) -> AttemptId {
    AttemptId {
        process: ProcessId {
            gateway: 0,
            process: 0,
        },
        slot,
        use_number: 0,
    }
}

fn query(work: f64) -> Query {
    Query {
        threads: 1.0,
        work,
        table_group: 7,
    }
}

#[test]
fn running_queries_share_the_cores() {
    let mut engine = Engine::default();
    for slot in 0..32 {
        assert!(matches!(
            engine.admit(0.0, attempt(slot), query(100.0)),
            Admission::Running
        ));
    }
    // 32 threads share 16 cores, so 100 core milliseconds take 200 ms. The first query takes longer, as its table group
    // was not cached.
    assert_eq!(engine.next_tick_at(0.0), Some(200.0));
    assert_eq!(engine.take_completed(200.0).len(), 31);
}

#[test]
fn cold_engine_crashes_under_too_much_work() {
    let mut engine = Engine::default();
    engine.terminate();
    engine.restart(1000.0);
    let bearable_work = OVERLOAD_FACTOR * COLD_START_SPEED * CORES * OVERLOAD_WINDOW;
    assert!(matches!(
        engine.admit(1000.0, attempt(0), query(bearable_work * 0.9)),
        Admission::Running
    ));
    assert!(matches!(
        engine.admit(1000.0, attempt(1), query(bearable_work * 0.2)),
        Admission::Crash
    ));
}
