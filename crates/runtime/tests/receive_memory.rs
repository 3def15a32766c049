//! The memory for incomplete messages: which share is released when it is used up.

use futures_lite::future::{block_on, poll_once};
use ironstair_runtime::receive_memory::{ReceiveMemory, ReceiveShare};
use proptest::prelude::*;

const MAX_BYTES: usize = 1000;

fn must_release(share: &ReceiveShare) -> bool {
    block_on(poll_once(share.until_release_requested())).is_some()
}

#[test]
fn largest_share_is_released_and_smaller_ones_are_kept() {
    let memory = ReceiveMemory::with_capacity(MAX_BYTES);
    let shares: Vec<ReceiveShare> = (0..3).map(|_| memory.share()).collect();
    for (share, bytes) in shares.iter().zip([200, 600, 150]) {
        share.set(bytes, true);
        assert!(!must_release(share));
    }
    shares[0].set(300, true);
    let released: Vec<bool> = shares.iter().map(must_release).collect();
    assert_eq!(released, [false, true, false]);
    shares[1].set(0, false);
    assert!(!must_release(&shares[1]));
    assert_eq!(memory.in_use(), 450);
}

#[test]
fn share_that_cannot_be_released_is_not_asked() {
    // The rest of a message can be skipped only once its length is known.
    let memory = ReceiveMemory::with_capacity(MAX_BYTES);
    let (whole, incomplete) = (memory.share(), memory.share());
    whole.set(900, false);
    incomplete.set(200, true);
    assert!(!must_release(&whole) && must_release(&incomplete));
    drop(whole);
    assert_eq!(memory.in_use(), 200);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(57), failure_persistence: None, ..Default::default() })]

    /// A connection that holds no more than an even part is never asked, whatever the others do; and after all
    /// requested releases the limit holds.
    #[test]
    fn even_part_is_kept_and_the_limit_holds(
        changes in prop::collection::vec((0usize..8, 0usize..2 * MAX_BYTES), 1..200),
    ) {
        let memory = ReceiveMemory::with_capacity(MAX_BYTES);
        let shares: Vec<ReceiveShare> = (0..8).map(|_| memory.share()).collect();
        let even_part = MAX_BYTES / shares.len();
        for (index, bytes) in changes {
            shares[index].set(bytes, true);
            for share in &shares {
                if must_release(share) {
                    share.set(0, false);
                }
            }
            prop_assert!(memory.in_use() <= MAX_BYTES);
            if bytes <= even_part {
                prop_assert!(bytes == 0 || memory.in_use() >= bytes);
                prop_assert!(!must_release(&shares[index]));
            }
        }
    }
}
