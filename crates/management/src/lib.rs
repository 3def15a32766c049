//! The manager: an actor that alone owns the gateway's revisions, their journal, and the tree that clients read. The
//! rules for changes are in `ironstair-config-change`; the manager carries them out.

mod actor;
mod classes;
mod error;
mod fleet;
pub mod fleet_channel;
mod handle;
mod journal;
mod request;
mod revisions;
mod start;
mod tree;
mod tree_view;

pub use actor::{Manager, ManagerContext};
pub use classes::classes;
pub use error::{JournalError, OpenError, PolicyError, Refused};
pub use handle::{ManagementHandle, Watch};
pub use journal::Journal;
pub use request::{Change, Scope};
pub use start::{open, InitialState};
pub use tree::Tree;
