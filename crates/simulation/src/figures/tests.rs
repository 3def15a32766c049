use super::*;

#[test]
fn full_service_is_five_seconds_of_what_there_was() {
    let served = [
        0.0, 9.0, 9.0, 10.0, 10.0, 1.0, 10.0, 9.4, 9.6, 10.0, 9.5, 9.7, 10.0, 0.0,
    ];
    let seconds = served
        .iter()
        .map(|s| Second {
            served: *s,
            ..Second::default()
        })
        .collect();
    let f = Figures {
        seconds,
        fault_s: Some(5.0),
        ..Figures::default()
    };
    assert_eq!(f.full_after(), Some(3.0));
    assert_eq!(Figures { fault_s: None, ..f }.full_after(), None);
}
