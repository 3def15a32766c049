use super::*;

#[test]
fn a_role_is_a_name_or_the_beginning_of_names_and_change_goes_before_read() {
    let all = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    let roles = Roles {
        change: all(&["ops-*", "root"]),
        read: all(&["reader", "ops"]),
    };
    let who = |names: &[&str]| roles.who(&all(names)).map(|w| (w.name, w.may_change));
    assert_eq!(who(&["reader", "ops-1"]), Some(("ops-1".into(), true)));
    assert_eq!(who(&["ops"]), Some(("ops".into(), false)));
    assert_eq!(who(&["root-2", "reader-1", ""]), None);
}
