//! Guards that a test takes out to see that its case falls without them, and faults of a disk that no test can make
//! otherwise. A release build has none of it.

/// Whether the variable `IRONSTAIR_TAKEN_OUT` names it, in a debug build.
pub fn taken_out(what: &str) -> bool {
    cfg!(debug_assertions)
        && std::env::var("IRONSTAIR_TAKEN_OUT")
            .is_ok_and(|all| all.split(',').any(|word| word == what))
}
