//! The rules, one per file. `policy::RULES` defines the order in which they apply.

mod deadline;
mod eject;
mod lease;
mod overdue;
mod probe;
mod reject;
mod release;
mod subscribe;
mod wake;
