//! Reads the settings of connections to engines.

use crate::class::hard_limits;
use crate::error::SettingsError;
use crate::fields::{duration, names, number, number_or};
use ironstair::Millis;
use serde_json::Value;

/// The settings of the gateway's connections, on which no decision of the policy depends.
#[derive(Clone, Debug, PartialEq)]
pub struct TransportConfig {
    /// The timeout for establishing a connection, in ms.
    pub connect_timeout: Millis,
    /// The time after which an idle connection is closed, in ms.
    pub idle_timeout: Millis,
    /// The limit on attempts that share a connection at a time.
    pub max_attempts_per_connection: usize,
    /// The limit on open requests.
    pub max_open_requests: usize,
    /// The longest deadline that a request may have: the longest hard limit of the classes, in ms.
    pub max_deadline: Millis,
    /// The names of the values in an engine's load report, in order.
    pub report_fields: Vec<String>,
}

/// Reads the settings of connections from a settings object.
///
/// # Errors
/// Fails if a field is missing or invalid.
pub fn transport_config(settings: &Value) -> Result<TransportConfig, SettingsError> {
    Ok(TransportConfig {
        connect_timeout: duration(settings, "policy_limits.connect_timeout_ns")?,
        idle_timeout: duration(settings, "policy_limits.keepalive_ns")?,
        max_attempts_per_connection: number(settings, "policy_limits.multiplex")?.max(1.0) as usize,
        max_open_requests: number_or(settings, "policy_limits.max_open", f64::MAX)? as usize,
        report_fields: names(settings, "report.fields").unwrap_or_default(),
        max_deadline: hard_limits(settings)?.into_iter().fold(0.0, Millis::max),
    })
}
