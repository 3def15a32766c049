//! Tests of the built gateway process against stub clients, stub engines and a stub name service on loopback.

#[path = "../support/mod.rs"]
mod support;

mod client_calls;
mod client_connections;
mod engine_answers;
mod name_service;
mod process;
