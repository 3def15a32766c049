//! What the fleet's decisions require of a policy document.

use serde_json::Value as Json;

/// A policy document that a cluster agrees on.
pub trait Policy: Clone + PartialEq {
    /// The policy with the stricter value of both for each setting. Limits on the sum over all gateways hold while some
    /// gateways apply the intersection and the others apply one of the two policies. `None` if no such policy exists,
    /// or this version can't read one of the two.
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

/// The document in the form in which gateways exchange it. A version that doesn't know one of its fields can still
/// store and report it.
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
