use super::*;

#[test]
fn releasing_an_index_twice_keeps_the_newer_index_of_its_id() {
    let mut interner = Interner::default();
    assert_eq!((interner.intern('a'), interner.intern('b')), (0, 1));
    interner.release(0);
    interner.release(1);
    assert_eq!(interner.intern('a'), 1);
    interner.release(0);
    assert_eq!(
        (interner.find('a'), interner.intern('c'), interner.id(0)),
        (Some(1), 0, 'c')
    );
}
