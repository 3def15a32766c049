//! Numbers that the environment of a test may override, such as the seeds of a long run started by hand.

/// The number in an environment variable, or `default` if the variable is not set to a number.
pub fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    let number = text.and_then(|text| text.parse().ok());
    number.unwrap_or(default)
}
