//! Which history of a fleet is the later one, where there are two: one begun anew after most of the keepers' disks
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
pub fn anew(known: impl IntoIterator<Item = u64>, drawn: u64) -> Result<u64, String> {
    let last = known.into_iter().map(|h| h >> DRAWN_BITS).max().unwrap_or(0);
    let next = last + 1;
    (next < 1 << (64 - DRAWN_BITS)).then(|| of(next, drawn)).ok_or("no further history can begin".into())
}

/// Whether a history goes before another. Two of one generation are strangers: neither does.
pub fn supersedes(history: u64, other: u64) -> bool {
    history >> DRAWN_BITS > other >> DRAWN_BITS
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_one_begun_anew_goes_before_all_that_were_known_and_none_before_it() {
        let old = [first(7), anew([first(7)], 1).unwrap(), 0, 9];
        let new = anew(old, u64::MAX).unwrap();
        assert!(old.iter().all(|h| supersedes(new, *h) && !supersedes(*h, new)));
        assert!(!supersedes(first(1), first(2)) && !supersedes(new, new));
        assert!(anew([u64::MAX], 1).is_err());
    }
}
