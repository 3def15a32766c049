//! The actor that connects a gateway to its fleet. It runs on the management thread and is the only owner of the
//! connections to the voters and, on a voter, of the log's disk. It passes heartbeats, Raft messages, commands and
//! completed writes to the decision logic (`ironstair-coordination`, `ironstair-raft-replica`) and carries out the
//! resulting actions. The only decision of its own is which voter to send to next.
//!
//! [`config`] is the operator's section `fleet`. [`prepared`] opens the listener and the disk before the gateway
//! serves. [`actor`] owns the state; other tasks reach it through [`handle`] with the messages in [`message`].
//! [`server`] is the listener for other gateways, [`peer`] a connection to one voter, [`leader_search`] the search for
//! the leader, [`envelope`] the envelope of every message, [`status`] the view for operators, and [`fault_injection`]
//! the guards that tests can disable.

pub mod actor;
pub mod config;
pub mod envelope;
pub mod error;
pub mod fault_injection;
pub mod handle;
mod incoming;
pub mod leader_search;
pub mod message;
mod outcome;
pub mod peer;
pub mod prepared;
pub mod server;
pub mod status;

pub use actor::{Actor, AgentChannels};
pub use config::FleetConfig;
pub use handle::AgentHandle;
pub use prepared::PreparedAgent;

/// The generated code of the messages and the service in `proto/`.
pub mod proto {
    #![allow(
        clippy::all,
        clippy::missing_errors_doc,
        clippy::too_many_lines,
        clippy::min_ident_chars,
        missing_docs,
        reason = "generated code"
    )]
    tonic::include_proto!("ironstair.fleet");
}
