//! What a gateway keeps for its next process ([`kept`]), what that process may rest on ([`start`]), and how far it has
//! come back ([`stage`]): without I/O, clock or thread. The promises stand in `docs/design/recovery.md`.

pub mod kept;
pub mod stage;
pub mod start;

pub use kept::{Engine, Kept};
pub use start::{begin, Begun};
