//! What the replicated decisions need to know of a policy document.

use serde_json::Value as Json;

/// A policy document that a cluster agrees on.
pub trait Policy: Clone + PartialEq {
    /// The strictest of both in each setting: what is safe while some gateways apply one and some the other, summed
    /// over all gateways. None where no such policy exists, or where this version can't read one of them.
    fn intersection(&self, other: &Self) -> Option<Self>;

    /// The number of gateways that the policy was written for.
    fn gateways(&self) -> f64 {
        1.0
    }
}

impl Policy for ironstair_config_change::Document {
    fn intersection(&self, other: &Self) -> Option<Self> {
        ironstair_config_change::Document::intersection(self, other)
    }

    fn gateways(&self) -> f64 {
        self.gateways as f64
    }
}

/// The document as it is sent between gateways: a version that can't read one of its fields can still report that.
impl Policy for Json {
    fn intersection(&self, other: &Self) -> Option<Self> {
        let parse = |document: &Json| {
            serde_json::from_value::<ironstair_config_change::Document>(document.clone()).ok()
        };
        serde_json::to_value(parse(self)?.intersection(&parse(other)?)?).ok()
    }

    fn gateways(&self) -> f64 {
        self["gateways"].as_f64().unwrap_or(1.0)
    }
}
