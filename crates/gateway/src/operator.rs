//! The operator's file: all that the platform does not give, off without it. Decoded once, at start.

use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// All that an operator turns on for one gateway.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Settings and state over gNMI.
    pub management: Option<Management>,
}

/// Where and for whom settings and state are served.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Management {
    /// Address and port for gNMI. Without TLS it must be of the loopback.
    pub listen: SocketAddr,
    /// A folder in which revisions of the settings outlive the process; without it they live as long as that.
    pub state: Option<PathBuf>,
    /// Subscriptions that may be open at once.
    #[serde(default = "streams")]
    #[schemars(range(min = 1, max = 10000))]
    pub streams: usize,
    /// Keys and who may do what; without it the listener is of the loopback, and open to all there.
    pub tls: Option<Tls>,
}

/// Keys, read anew when their files change and at SIGHUP, and roles by the names in clients' certificates.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// The gateway's certificate with what leads to its authority, as PEM.
    pub certificate: PathBuf,
    /// The key of that, as PEM.
    pub key: PathBuf,
    /// The authority of clients' certificates, as PEM.
    pub clients: PathBuf,
    /// Names that may change settings, and read; * at the end stands for any more.
    #[serde(default)]
    pub change: Vec<String>,
    /// Names that may read.
    #[serde(default)]
    pub read: Vec<String>,
}

fn streams() -> usize {
    64
}

/// The file, or the one sentence on what is wrong with it.
///
/// # Errors
/// It can't be read, is no JSON, or a field of it is unknown, missing or out of range.
pub fn read(path: &Path) -> Result<Operator, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    decode(&text).map_err(|e| format!("{}: {e}", path.display()))
}

pub fn decode(json: &[u8]) -> Result<Operator, String> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let found: Operator = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
        let at = e.path().to_string();
        let at = if at == "." { "the file".into() } else { at };
        format!("{at}: {}", e.into_inner())
    })?;
    reader.end().map_err(|e| e.to_string())?;
    if let Some(m) = &found.management {
        if m.tls.is_none() && !m.listen.ip().is_loopback() {
            return Err(format!(
                "management.listen: without TLS it must be of the loopback, not {}",
                m.listen
            ));
        }
        if m.tls.as_ref().is_some_and(|t| t.change.is_empty() && t.read.is_empty()) {
            return Err("management.tls: neither change nor read names anybody".into());
        }
        if !(1..=10_000).contains(&m.streams) {
            return Err(format!("management.streams: {} is outside 1 to 10000", m.streams));
        }
    }
    Ok(found)
}

/// The file's JSON Schema.
pub fn schema() -> String {
    let schema = schemars::schema_for!(Operator);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_example_under_deploy_is_read() {
        let example = include_bytes!("../../../deploy/operator.json");
        assert!(decode(example).unwrap().management.is_some());
        assert!(decode(b"{}").unwrap().management.is_none());
    }

    #[test]
    fn what_is_wrong_is_told_by_its_field() {
        for (text, why) in [
            ("", "the file: EOF"),
            ("[]", "the file: invalid length 0"),
            (r#"{"managment": {}}"#, "managment: unknown field `managment`"),
            (r#"{"management": {}}"#, "management: missing field `listen`"),
            (r#"{"management": {"listen": 5}}"#, "management.listen: invalid type"),
            (r#"{"management": {"listen": "here"}}"#, "management.listen: invalid socket address"),
            (r#"{"management": {"listen": "0.0.0.0:1"}}"#, "management.listen: without TLS"),
            (r#"{"management": {"listen": "[::1]:1", "streams": 0}}"#, "management.streams: 0"),
            (r#"{"management": {"listen": "[::1]:1", "state": 1}}"#, "management.state: invalid type"),
            (
                r#"{"management": {"listen": "[::1]:1", "tls": {}}}"#,
                "management.tls: missing field `certificate`",
            ),
            (
                r#"{"management": {"listen": "0.0.0.0:1", "tls": {"certificate": "", "key": "", "clients": ""}}}"#,
                "management.tls: neither",
            ),
            ("{} {}", "trailing characters"),
        ] {
            let told = decode(text.as_bytes()).unwrap_err();
            assert!(told.starts_with(why), "{text}: {told}");
        }
    }

    #[test]
    fn the_schema_names_every_field() {
        let schema = schema();
        for field in ["management", "listen", "state", "streams", "tls", "change", "read", "clients"] {
            assert!(schema.contains(&format!("\"{field}\"")), "{field}");
        }
    }
}
