use super::{RunMetrics, SecondMetrics};

#[test]
fn service_has_recovered_after_five_seconds_at_the_served_value_before_the_fault() {
    let served = [
        0.0, 9.0, 9.0, 10.0, 10.0, 1.0, 10.0, 9.4, 9.6, 10.0, 9.5, 9.7, 10.0, 0.0,
    ];
    let seconds = served
        .iter()
        .map(|served| SecondMetrics {
            served: *served,
            ..SecondMetrics::default()
        })
        .collect();
    let metrics = RunMetrics {
        seconds,
        first_fault_s: Some(5.0),
        ..RunMetrics::default()
    };
    assert_eq!(metrics.seconds_to_full_service(), Some(3.0));
    assert_eq!(
        RunMetrics {
            first_fault_s: None,
            ..metrics
        }
        .seconds_to_full_service(),
        None
    );
}
