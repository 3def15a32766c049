use super::ArbitrationTable;

#[test]
fn lower_election_id_is_rejected_in_its_own_role_only() {
    let mut table = ArbitrationTable::default();
    assert!(table.claim("", 5).is_ok() && table.claim("", 1 << 64).is_ok());
    assert!(table
        .claim("", 5)
        .unwrap_err()
        .to_string()
        .contains("lower than 18446744073709551616"));
    assert!(table.claim("", 1 << 64).is_ok() && table.claim("other", 1).is_ok());
    // Two roles are known from above: the limit of 64 is reached with 62 more.
    let mut rejected = (0..99).filter(|index| table.claim(&format!("r{index}"), 1).is_err());
    assert_eq!(rejected.next(), Some(62));
}
