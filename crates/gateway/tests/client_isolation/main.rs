//! Requests of one client, and of one connection, beside faulty or overloading messages. The tests run the built gateway
//! over real connections.

#[path = "../support/mod.rs"]
mod support;

mod connection_ends;
mod long_messages;
