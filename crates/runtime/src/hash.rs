//! The hash of names, which is the same in every gateway.

const OFFSET_BASIS: u64 = 0xCBF2_9CE4_8422_2325;
const PRIME: u64 = 0x100_0000_01B3;

/// The 64-bit FNV-1a hash of a name.
///
/// Engines, tenants and cells are identified by the hash of their names, so all gateways of all versions must agree on
/// it.
pub fn fnv1a_64(name: &[u8]) -> u64 {
    name.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
