use super::{Buffer, BufferChain, BufferPool, BUFFER_SIZE};
use futures_lite::future::{block_on, poll_once};

#[test]
fn exhausted_pool_makes_readers_wait_until_a_buffer_is_released() {
    let pool = BufferPool::with_capacity(100 * BUFFER_SIZE);
    let mut in_use: Vec<Buffer> = (0..100).filter_map(|_| pool.try_acquire()).collect();
    assert_eq!((in_use.len(), pool.try_acquire().is_none()), (100, true));
    assert!(block_on(poll_once(pool.acquire())).is_none());
    in_use.truncate(99);
    assert!(block_on(poll_once(pool.acquire())).is_some());
}

#[test]
fn consumed_space_of_a_buffer_is_reused() {
    let mut buffer = BufferPool::with_capacity(BUFFER_SIZE)
        .try_acquire()
        .unwrap();
    assert_eq!(buffer.append(&[1; BUFFER_SIZE + 1]), BUFFER_SIZE);
    buffer.consume(BUFFER_SIZE - 1);
    assert_eq!(
        (buffer.append(&[2; 9]), buffer.bytes()),
        (9, &[1, 2, 2, 2, 2, 2, 2, 2, 2, 2][..])
    );
    let empty = BufferPool::with_capacity(BUFFER_SIZE)
        .try_acquire()
        .unwrap();
    let chain = BufferChain(vec![buffer, empty]);
    assert_eq!(chain.byte_count(), 10);
}
