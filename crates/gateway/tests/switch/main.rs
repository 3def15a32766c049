//! A running gateway reloads other settings from its configuration file, and then the former ones again. Engines,
//! clients and the name service are stubs on loopback.

#[path = "../support/mod.rs"]
mod support;

mod closed_class;
mod invalid_files;
mod reload;
mod reload_under_load;
mod scope_of_a_reload;
mod unanswered_requests;
