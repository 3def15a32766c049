//! Parsers and writers of the gateway's wire formats, without I/O.
//!
//! The parsers borrow from the buffer that holds a message and limit the length of everything that they accept. They
//! only decode: whether the values of a request are acceptable is decided by the caller.

mod call_id;
pub mod dns;
pub mod json;
pub mod lines;
pub mod message_decoder;
pub mod rpc;
pub mod statement;
