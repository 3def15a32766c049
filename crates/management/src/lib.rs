//! The manager: an actor with one mailbox, the one owner of a gateway's revisions, of the journal they are kept in
//! and of the tree that is read. It decides nothing: `ironstair-config-change` does.

mod actor;
pub mod fleet_channel;
mod journal;
mod start;

pub use actor::{ManagementHandle, Manager, ManagerContext, Refused, Scope, Tree, Watch};
pub use journal::Journal;
pub use start::{classes, open, Started};
