//! The gNMI service for a gateway's tree of settings and state.
//!
//! [`Service`] answers Capabilities, Get, Set and Subscribe; [`server`] accepts its connections. Three modules contain
//! decisions only and do no I/O: [`update_queue`] decides what a subscriber receives and when it is disconnected,
//! [`arbitration`] and [`roles`] decide who may change settings.

pub mod arbitration;
mod codec;
mod connection;
mod context;
mod get;
pub mod roles;
pub mod server;
mod service;
mod set;
mod subscribe;
pub mod tls_files;
mod tls_keys;
pub mod update_queue;

pub use codec::FLEET;
pub use roles::Identity;
pub use service::Service;
pub use tls_keys::TlsKeys;

/// The messages and the service trait, generated from `proto/`.
pub mod proto {
    #![allow(
        clippy::all,
        clippy::missing_errors_doc,
        clippy::too_many_lines,
        clippy::min_ident_chars,
        missing_docs,
        unreachable_pub,
        reason = "generated code"
    )]
    pub mod gnmi {
        tonic::include_proto!("gnmi");
    }
    pub mod gnmi_ext {
        tonic::include_proto!("gnmi_ext");
    }
}
