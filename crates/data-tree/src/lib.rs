//! The gateway's settings and state as one tree, modelled by its YANG module.
//!
//! At start the program parses the YANG module ([`yang`]) into a schema ([`schema`]), which checks values ([`value`])
//! and resolves paths ([`path`]). A tree is a persistent map from paths to leaves ([`leaves`]). Its leaves come from
//! the settings document and from snapshots of the gateway's state ([`state`]). [`Edit`]s change the settings.

mod document;
mod edit;
mod encoding;
pub mod leaves;
pub mod path;
pub mod schema;
pub mod state;
pub mod value;
pub mod yang;

pub use edit::Edit;
pub use leaves::LeafMap;
pub use path::{Path, Pattern};
pub use schema::Schema;
pub use value::Value;

/// The text of the YANG module that is compiled into the program.
pub const MODULE: &str = include_str!("../../../yang/ironstair-gateway.yang");
