//! Cluster generations and their order. A disaster recovery, which follows the loss of a majority of the voters' disks,
//! begins a generation that supersedes what is left of the earlier ones (`docs/design/recovery.md`, promise 6).

#[cfg(test)]
mod tests;

/// A generation's number has this many random low bits; the 16 bits above them are its ordinal.
const RANDOM_BITS: u32 = 48;
const RANDOM_MASK: u64 = (1 << RANDOM_BITS) - 1;

/// All ordinals of generations have been used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fleet has used up its {} generations", 1_u32 << (u64::BITS - RANDOM_BITS))]
pub struct GenerationsExhausted;

fn compose(ordinal: u64, random: u64) -> u64 {
    ordinal << RANDOM_BITS | random & RANDOM_MASK
}

fn ordinal(generation: u64) -> u64 {
    generation >> RANDOM_BITS
}

/// The number of a cluster's first generation, which a bootstrap begins. `random` distinguishes it from those of other
/// clusters.
pub fn first(random: u64) -> u64 {
    compose(1, random)
}

/// The number of a generation that supersedes all the known ones. A disaster recovery begins it.
///
/// # Errors
/// Fails if all ordinals are used.
pub fn successor(
    known: impl IntoIterator<Item = u64>,
    random: u64,
) -> Result<u64, GenerationsExhausted> {
    // The result's ordinal is at least 2: generations with ordinal 1 don't supersede each other, but of two recoveries
    // that run at the same time one must supersede the other.
    let next = known.into_iter().map(ordinal).fold(1, u64::max) + 1;
    if next >> (u64::BITS - RANDOM_BITS) != 0 {
        return Err(GenerationsExhausted);
    }
    Ok(compose(next, random))
}

/// Whether a generation supersedes another: its ordinal is larger, or both come from recoveries that ran at the same
/// time and its number is larger. Two first generations belong to different clusters, and neither supersedes the other.
pub fn supersedes(generation: u64, other: u64) -> bool {
    let own_ordinal = ordinal(generation);
    let other_ordinal = ordinal(other);
    own_ordinal > other_ordinal
        || own_ordinal == other_ordinal && own_ordinal > 1 && generation > other
}
