//! Errors in a settings object.

/// Why a settings object can't be used, with the path of the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("the settings object is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A mandatory field is missing.
    #[error("{path} is missing")]
    Missing {
        /// The path of the field.
        path: String,
    },
    /// A field is not a finite number of at least 0.
    #[error("{path} is not a number of at least 0")]
    NotANumber {
        /// The path of the field.
        path: String,
    },
    /// A field is neither true nor false.
    #[error("{path} is neither true nor false")]
    NotABool {
        /// The path of the field.
        path: String,
    },
    /// A field is missing or not a string.
    #[error("{path} is missing or not a string")]
    NotAString {
        /// The path of the field.
        path: String,
    },
    /// A field is missing or not a list.
    #[error("{path} is missing or not a list")]
    NotAList {
        /// The path of the field.
        path: String,
    },
    /// A list of indices contains an item that is not an index.
    #[error("{path} contains an item that is not an integer from 0 to 65535")]
    NotAnIndex {
        /// The path of the list.
        path: String,
    },
    /// A list of names contains an item that is not a string.
    #[error("{path} contains an item that is not a string")]
    NotAStringItem {
        /// The path of the list.
        path: String,
    },
    /// An item of a list is not a number of at least 1.
    #[error("{path}[{index}] is not a number of at least 1")]
    BelowOne {
        /// The path of the list.
        path: String,
        /// The index of the item.
        index: usize,
    },
    /// A class's item of a list is missing, or neither true nor false.
    #[error("{path}[{index}] is missing, or neither true nor false")]
    NotABoolItem {
        /// The path of the list.
        path: String,
        /// The index of the class.
        index: usize,
    },
    /// A field has an unknown value.
    #[error("{path}: unknown value {value}, expected one of {allowed}")]
    UnknownChoice {
        /// The path of the field.
        path: String,
        /// The value.
        value: String,
        /// The values that are allowed.
        allowed: &'static str,
    },
    /// An index is beyond the end of the list that it refers to.
    #[error("{path} contains index {index}, but {names} has {count} entries")]
    IndexOutOfRange {
        /// The path of the field.
        path: String,
        /// The index.
        index: u16,
        /// The path of the list that the index refers to.
        names: String,
        /// The length of that list.
        count: usize,
    },
    /// A field of a class is invalid.
    #[error("classes[{index}]: {source}")]
    Class {
        /// The index of the class.
        index: usize,
        /// The error of that field.
        source: Box<SettingsError>,
    },
}
