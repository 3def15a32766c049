//! The event handlers, one event or a group of related ones per file. Each handler ends by applying
//! the rules.

mod attempt_ended;
mod config;
mod endpoints;
mod load_report;
mod progress;
mod request;
mod shutdown;
