use super::*;

#[test]
fn a_move_is_over_with_the_last_attempt_where_the_tenant_was() {
    let cells = ["a", "b", "c"].map(|c| (c.to_string(), 1.0));
    let first = Assignment::new(1, &cells, 1)
        .unwrap()
        .pin_tenant(7, Some(&["a"]))
        .unwrap();
    let directory =
        |a: &Assignment| CellDirectory::new(a.clone(), Choice::Reject { retry_after: 0.0 });
    let (a, b, c) = (Cells::one(0), Cells::one(1), Cells::one(2));
    let second = first.pin_tenant(7, Some(&["b"])).unwrap();
    let mut k = directory(&second);
    k.succeeds(
        1.0,
        &directory(&first),
        [(7, a), (7, a), (8, c)].into_iter(),
    );
    assert_eq!((k.moving(), k.ended(2.0, 7, a)), (1, false));
    // On to the third before the first is empty: what runs in either holds it up, in the new one nothing does.
    let mut next = directory(&second.pin_tenant(7, Some(&["c"])).unwrap());
    next.succeeds(3.0, &k, [(7, a), (7, b), (7, c)].into_iter());
    assert_eq!(
        (next.ended(4.0, 7, c), next.ended(4.0, 7, a)),
        (false, false)
    );
    assert!(next.ended(5.0, 7, b) && next.moving() == 0);
    assert!(!next.ended(6.0, 7, b), "once");
}

#[test]
fn tenants_keep_to_their_cells_and_one_in_trouble_to_its_share() {
    let cells = [("a".to_string(), 1.0), ("b".to_string(), 1.0)];
    let a = Assignment::new(1, &cells, 1).unwrap();
    let a = a
        .pin_engine(1, Some("a"))
        .unwrap()
        .pin_engine(2, Some("b"))
        .unwrap();
    let a = a
        .pin_tenant(7, Some(&["a"]))
        .unwrap()
        .pin_tenant(8, Some(&["b"]))
        .unwrap();
    let mut k = CellDirectory::new(a, Choice::Lend { share: 0.5 });
    k.update_endpoints([1, 2].into_iter());
    assert_eq!(
        (k.goes(0.0, 7), k.goes(0.0, 8)),
        (Goes::To(Cells::one(0)), Goes::To(Cells::one(1)))
    );
    assert_eq!(k.names(Cells::one(0).with(Cells::one(1))), "a b");
    k.update_endpoints([2].into_iter());
    let lent = (0..20)
        .filter(|_| k.goes(1.0, 7) == Goes::To(Cells::one(1)))
        .count();
    assert_eq!((lent, k.goes(1.0, 8)), (10, Goes::To(Cells::one(1))));
    k.update_endpoints([1, 2].into_iter());
    assert!(k.lent.is_empty() && k.goes(2.0, 7) == Goes::To(Cells::one(0)));
    k.update_endpoints([2].into_iter());
    for t in 0..3 * ACCOUNTS_MOST as u64 {
        k.goes(3.0, t);
    }
    assert!(k.lent.len() <= ACCOUNTS_MOST);
}
