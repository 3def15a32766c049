use super::*;

#[test]
fn successor_supersedes_all_known_generations_and_none_supersedes_it() {
    let old = [first(7), successor([first(7)], 1).unwrap(), 0, 9];
    let new = successor(old, u64::MAX).unwrap();
    assert!(old
        .iter()
        .all(|known| supersedes(new, *known) && !supersedes(*known, new)));
    assert!(!supersedes(first(1), first(2)) && !supersedes(new, new));
    // Of two successors created at the same time one supersedes the other, even if no earlier generation was known.
    for known in [vec![], vec![first(3)], old.to_vec()] {
        let concurrent = [1, 2].map(|random| successor(known.clone(), random).unwrap());
        assert!(
            supersedes(concurrent[1], concurrent[0]) && !supersedes(concurrent[0], concurrent[1]),
            "{known:?}"
        );
    }
    assert!(successor([u64::MAX], 1).is_err());
}
