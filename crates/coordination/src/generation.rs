//! Numbers of cluster generations: which of two generations of a cluster is the later one. A disaster recovery, after
//! most of the voters' disks were lost, begins a generation that supersedes what is left of the earlier one
//! (`docs/design/recovery.md`, promise 6).

#[cfg(test)]
mod tests;

/// The lower bits of a generation's number are drawn at random, the 16 bits above them count the generations.
const RANDOM_BITS: u32 = 48;
const RANDOM_MASK: u64 = (1 << RANDOM_BITS) - 1;

/// Why no number for a further generation exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fleet has used up its {} generations", 1_u32 << (u64::BITS - RANDOM_BITS))]
pub struct GenerationsExhausted;

fn compose(ordinal: u64, random: u64) -> u64 {
    ordinal << RANDOM_BITS | random & RANDOM_MASK
}

fn ordinal(generation: u64) -> u64 {
    generation >> RANDOM_BITS
}

/// The number of a cluster's first generation, begun by a bootstrap; `random` tells it from those of other clusters.
pub fn first(random: u64) -> u64 {
    compose(1, random)
}

/// The number of a generation that supersedes all the known ones, begun by a disaster recovery.
///
/// # Errors
/// The ordinals of generations are used up.
pub fn successor(
    known: impl IntoIterator<Item = u64>,
    random: u64,
) -> Result<u64, GenerationsExhausted> {
    // Never the first ordinal: of two recoveries run at the same time, one has to supersede the other.
    let next = known.into_iter().map(ordinal).fold(1, u64::max) + 1;
    if next >> (u64::BITS - RANDOM_BITS) != 0 {
        return Err(GenerationsExhausted);
    }
    Ok(compose(next, random))
}

/// Whether a generation supersedes another: the one with the larger ordinal does, and of two recoveries run at the same
/// time the one with the larger number. Two first generations belong to different clusters: neither does.
pub fn supersedes(generation: u64, other: u64) -> bool {
    let own_ordinal = ordinal(generation);
    let other_ordinal = ordinal(other);
    own_ordinal > other_ordinal
        || own_ordinal == other_ordinal && own_ordinal > 1 && generation > other
}
