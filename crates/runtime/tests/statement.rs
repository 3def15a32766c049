//! The memory for statements of open requests.

use ironstair_runtime::{Statement, StatementMemory};

#[test]
fn statements_hold_as_much_memory_as_they_have_bytes_until_they_are_dropped() {
    let memory = StatementMemory::with_capacity(20);
    let first = Statement::store(b"select 1".to_vec(), &memory).unwrap();
    let second = Statement::store(b"select a, b".to_vec(), &memory).unwrap();
    assert_eq!((first.bytes(), memory.in_use()), (&b"select 1"[..], 19));
    assert!(memory.has_room_for(1) && !memory.has_room_for(2));
    assert!(Statement::store(vec![0; 2], &memory).is_none());
    drop(second);
    assert_eq!(memory.in_use(), 8);
}
