use super::*;

#[test]
fn an_index_given_back_twice_is_not_taken_from_an_id_that_came_back() {
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
