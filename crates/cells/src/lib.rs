//! Cells: which engines a tenant is confined to, how it is moved under traffic, and what holds when a cell is in
//! trouble. Decided without input, output, clock or thread; see docs/design/cells.md.

pub mod assign;
pub mod directory;
pub mod moves;
pub mod trouble;

pub use assign::{Assignment, Cells};
pub use directory::CellDirectory;
pub use trouble::{Choice, Goes};
