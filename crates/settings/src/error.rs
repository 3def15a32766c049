//! Errors of reading a settings object.

/// Why a settings object can't be read, with the path of the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A mandatory field is missing.
    #[error("{path} is missing")]
    Missing {
        /// The path of the field.
        path: String,
    },
    /// A field is not a finite number of at least 0.
    #[error("{path} is not a number")]
    NotANumber {
        /// The path of the field.
        path: String,
    },
    /// A field is neither true nor false.
    #[error("{path} is not true or false")]
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
    /// A list of indices contains another item.
    #[error("{path} contains an item that is not an index")]
    NotAnIndex {
        /// The path of the list.
        path: String,
    },
    /// A list of names contains another item.
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
    /// An item of a list is missing, or neither true nor false.
    #[error("{path}[{index}] is missing or not true or false")]
    NotABoolItem {
        /// The path of the list.
        path: String,
        /// The index of the class.
        index: usize,
    },
    /// A field has an unknown value.
    #[error("{path} {value} is unknown")]
    UnknownChoice {
        /// The path of the field.
        path: String,
        /// The value.
        value: String,
    },
    /// An index exceeds the list of names that it refers to.
    #[error("{path} names {index}, and {names} has {count}")]
    IndexOutOfRange {
        /// The path of the field.
        path: String,
        /// The index.
        index: u16,
        /// The list of names.
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
