use super::*;

#[test]
fn the_older_master_is_refused_in_its_role_alone() {
    let mut m = Masters::default();
    assert!(m.claim("", 5).is_ok() && m.claim("", 1 << 64).is_ok());
    assert!(m
        .claim("", 5)
        .unwrap_err()
        .contains("older than 18446744073709551616"));
    assert!(m.claim("", 1 << 64).is_ok() && m.claim("other", 1).is_ok());
    let mut full = (0..99).filter(|n| m.claim(&format!("r{n}"), 1).is_err());
    assert_eq!(full.next(), Some(62));
}
