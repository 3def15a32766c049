//! Tests of the gateway's management over gNMI, under load and faults. The gateway is the built binary; engines,
//! clients and the name service are stubs on the loopback interface.

#[path = "../managed/mod.rs"]
mod managed;

mod arbitration;
mod certificate_rotation;
mod change_under_load;
mod class_removal;
mod confirmed_commit;
mod malformed_messages;
mod persistence;
mod process;
mod refused_calls;
mod stalled_subscribers;
mod subscription_modes;
mod support;
