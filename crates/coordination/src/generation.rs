//! Which history of a fleet is the later one, where there are two: one begun anew after most of the voters' disks
//! were lost goes before what is left of the earlier (`docs/design/recovery.md`, promise 6).

/// A history's number is 16 bits of which generation it is, and 48 that are drawn.
const DRAWN_BITS: u32 = 48;

fn of(generation: u64, drawn: u64) -> u64 {
    generation << DRAWN_BITS | drawn & ((1 << DRAWN_BITS) - 1)
}

/// The number of a fleet's first history.
pub fn first(drawn: u64) -> u64 {
    of(1, drawn)
}

/// The number of one that goes before all these.
///
/// # Errors
/// There were too many.
pub fn successor(known: impl IntoIterator<Item = u64>, drawn: u64) -> Result<u64, String> {
    // Never of the first generation: two operators who begin anew at once draw numbers of which one goes before.
    let next = known.into_iter().map(|h| h >> DRAWN_BITS).fold(1, u64::max) + 1;
    (next < 1 << (64 - DRAWN_BITS))
        .then(|| of(next, drawn))
        .ok_or("no further history can begin".into())
}

/// Whether a history goes before another: of a later generation, or, where two were begun anew at once, with the larger
/// number. Two of the first generation are strangers: neither does.
pub fn supersedes(generation: u64, other: u64) -> bool {
    let (its, others) = (generation >> DRAWN_BITS, other >> DRAWN_BITS);
    its > others || its == others && its > 1 && generation > other
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_one_begun_anew_goes_before_all_that_were_known_and_none_before_it() {
        let old = [first(7), successor([first(7)], 1).unwrap(), 0, 9];
        let new = successor(old, u64::MAX).unwrap();
        assert!(old
            .iter()
            .all(|h| supersedes(new, *h) && !supersedes(*h, new)));
        assert!(!supersedes(first(1), first(2)) && !supersedes(new, new));
        // Two begun anew at once, also where nothing of an earlier one was known: one of them goes before.
        for known in [vec![], vec![first(3)], old.to_vec()] {
            let two = [1, 2].map(|drawn| successor(known.clone(), drawn).unwrap());
            assert!(
                supersedes(two[1], two[0]) && !supersedes(two[0], two[1]),
                "{known:?}"
            );
        }
        assert!(successor([u64::MAX], 1).is_err());
    }
}
