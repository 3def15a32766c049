//! The manager: an actor with one mailbox, the one owner of a gateway's revisions, of the journal they are kept in
//! and of the tree that is read. It decides nothing: `ironstair-config-change` does.

mod actor;
mod file;
pub mod fleet_channel;
mod start;

pub use actor::{Around, ManagementHandle, Manager, Refused, Scope, Tree, Watch};
pub use file::Journal;
pub use start::{classes, open, Started};
