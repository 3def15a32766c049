//! gNMI before a gateway's tree.
//!
//! [`service`] answers Capabilities, Get and Set, [`subscribe`] streams; [`follow`] decides what a subscriber is sent
//! and when it is cut off, [`arbitration`] and [`roles`] who may change, all three without input or output.

pub mod arbitration;
mod codec;
pub mod follow;
pub mod roles;
pub mod server;
pub mod service;
pub mod subscribe;
pub mod tls;

pub use codec::FLEET;
pub use service::{Service, Who};

/// The messages and the service, from `proto/`.
pub mod proto {
    #![allow(clippy::all, missing_docs)]
    pub mod gnmi {
        tonic::include_proto!("gnmi");
    }
    pub mod gnmi_ext {
        tonic::include_proto!("gnmi_ext");
    }
}
