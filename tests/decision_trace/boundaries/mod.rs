//! Scenarios that bring one comparison of the policy to exact equality, so that `<` in place of
//! `<=` changes the hash. Times and work are chosen so that the compared sums are exact in floating
//! point.

mod engines;
mod requests;
mod script;

use ironstair::PolicyConfig;
use script::Script;

/// Each scenario runs with each of these seeds, so that a random draw falls on either side at least once.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

struct Boundary {
    /// The equality, and what the policy has to do in that case.
    name: &'static str,
    config: fn() -> PolicyConfig,
    play: fn(&mut Script),
    /// The hash in an unoptimized build, and in an optimized one.
    expected: [u64; 2],
}

impl Boundary {
    fn hash(&self) -> u64 {
        let hashes = SEEDS.map(|seed| {
            let mut script = Script::new((self.config)(), seed);
            (self.play)(&mut script);
            script.finish()
        });
        hashes
            .iter()
            .fold(0, |sum: u64, hash| sum.rotate_left(1) ^ hash)
    }
}

#[test]
fn decisions_at_exact_boundaries_have_the_expected_hashes() {
    let mut differences = String::new();
    for boundary in requests::BOUNDARIES.iter().chain(&engines::BOUNDARIES) {
        let hash = boundary.hash();
        println!("{hash:#018x} {}", boundary.name);
        let expected = boundary.expected[usize::from(!cfg!(debug_assertions))];
        if hash != expected {
            differences += &format!(
                "\n{}: {hash:#018x}, expected {expected:#018x}",
                boundary.name
            );
        }
    }
    assert!(
        differences.is_empty(),
        "hashes of scenarios whose decisions differ:{differences}"
    );
}
