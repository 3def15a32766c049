use super::*;
use futures_lite::future::{block_on, poll_once};

#[test]
fn new_work_waits_while_what_is_under_way_still_gets_buffers() {
    let pool = Pool::of(100 * SIZE);
    let mut lent: Vec<Buffer> = (0..50).filter_map(|_| pool.lend()).collect();
    assert!(block_on(poll_once(pool.spare())).is_none());
    lent.extend((0..50).filter_map(|_| pool.lend()));
    assert_eq!((lent.len(), pool.lend().is_none()), (100, true));
    lent.truncate(49);
    assert!(block_on(poll_once(pool.spare())).is_some());
}

#[test]
fn a_buffer_that_is_used_up_from_the_front_has_its_room_again() {
    let mut b = Pool::of(SIZE).lend().unwrap();
    assert_eq!(b.append(&[1; SIZE + 1]), SIZE);
    b.consume(SIZE - 1);
    assert_eq!(
        (b.append(&[2; 9]), b.bytes()),
        (9, &[1, 2, 2, 2, 2, 2, 2, 2, 2, 2][..])
    );
    let chain = Chain(vec![b, Pool::of(SIZE).lend().unwrap()]);
    assert_eq!((chain.size(), chain.joined().len()), (10, 10));
}
