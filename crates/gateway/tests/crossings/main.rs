//! Races between two events, such as the close of a connection and the start of an attempt. The tests run the built
//! gateway over real connections, and force the unfavourable order on every run. The tables of docs/design/crossings.md
//! refer to these tests by name.

#[path = "../support/mod.rs"]
mod support;

mod client_close;
mod client_hangup;
mod connection_limits;
mod departed_clients;
mod engine_connection;
mod late_replies;
mod name_service;
mod patient_gateway;
mod random_replies;
mod replaced_engines;
mod shutdown;
