//! Reads the settings object that each host of the policy receives. A number on which a rule of the policy depends has
//! no default: the host can't start without it.

mod class;
mod error;
mod fields;
mod policy;
mod transport;

pub use class::{class_names, hard_limits};
pub use error::SettingsError;
pub use fields::required_string;
pub use policy::{machine_type_names, policy_config, read_policy_config, zone_names};
pub use transport::{transport_config, TransportConfig};
