use super::*;

#[test]
fn the_successor_supersedes_all_that_were_known_and_none_supersedes_it() {
    let old = [first(7), successor([first(7)], 1).unwrap(), 0, 9];
    let new = successor(old, u64::MAX).unwrap();
    assert!(old
        .iter()
        .all(|h| supersedes(new, *h) && !supersedes(*h, new)));
    assert!(!supersedes(first(1), first(2)) && !supersedes(new, new));
    // Two begun at once, also where nothing of an earlier one was known: one of them supersedes the other.
    for known in [vec![], vec![first(3)], old.to_vec()] {
        let two = [1, 2].map(|random| successor(known.clone(), random).unwrap());
        assert!(
            supersedes(two[1], two[0]) && !supersedes(two[0], two[1]),
            "{known:?}"
        );
    }
    assert!(successor([u64::MAX], 1).is_err());
}
