//! Parsers and writers, sans-I/O: they borrow from the buffer that holds a message, bound what they take in,
//! and hand each decoded field straight to a call. Nothing here decides anything.

pub mod dns;
pub mod json;
pub mod lines;
pub mod rpc;
pub mod statement;
