//! Days of faults for hundreds of gateways in virtual time. The decisions are the built ones (the module, a fleet's
//! leader and members); engines, name service, clients and the ways between them are stand-ins after `docs/design`,
//! with constants of their own. The same seed plays the same day.
//!
//! [`day`] is what is played, [`engine`] a stand-in engine, [`clients`] who asks, [`fleet`] the gateways among
//! themselves, [`world`] the clock and what happens, [`figures`] what was seen, [`report`] tables and charts.

pub mod clients;
pub mod day;
pub mod engine;
pub mod figures;
pub mod fleet;
pub mod report;
pub mod world;

pub use day::Day;
pub use figures::Figures;
