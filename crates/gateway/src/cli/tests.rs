use super::encoding::{parse_path, schema};
use super::output::leaf_table;
use ironstair_gnmi::proto::gnmi::{self, typed_value, TypedValue};

#[test]
fn list_entries_are_table_rows_and_other_leaves_are_lines() {
    let leaf = |text: &str, number: u64| gnmi::Update {
        path: parse_path(text).ok(),
        val: Some(TypedValue {
            value: Some(typed_value::Value::UintVal(number)),
        }),
        duplicates: 0,
    };
    let updates = [
        leaf("/state/engine[name=e1]/inflight", 3),
        leaf("/state/engine[name=engine-2]/inflight", 14),
        leaf("/state/engine[name=engine-2]/cold-left", 7),
        leaf("/state/list/serial", 9),
    ];
    let expected = "/state/list/serial 9\nname      inflight  cold-left\ne1        3         -\n\
                engine-2  14        7\n(2 of /state/engine)\n";
    assert_eq!(leaf_table(&schema().ok().unwrap(), &updates), expected);
}
