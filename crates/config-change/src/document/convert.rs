//! Conversion of the policy config to the settings document.

use super::{
    Class, DeduplicationScope, Document, Log, NameIndex, RepeatSafety, RetryBudget, SlowStart,
};
use crate::decimal::Decimal;
use ironstair::{ClassPolicy, DedupScope, Effect, Millis, PolicyConfig};

impl Document {
    /// The document of a gateway's configuration. Numbers with more digits than the tree allows are rounded. `limits`
    /// are the hard limits of the classes in ms.
    pub fn configured(
        config: &PolicyConfig,
        names: &[String],
        limits: &[Millis],
        name_index: &NameIndex,
    ) -> Document {
        let classes = config
            .classes
            .iter()
            .zip(names)
            .zip(limits)
            .map(|((policy, name), &limit)| Class::configured(policy, name, limit, name_index))
            .collect();
        Document {
            classes,
            gateways: config.gateway_count as u32,
            max_attempts: config.max_attempts,
            max_retry_after: whole(config.max_retry_after),
            retry_budget: config.retry_budget.map(|budget| RetryBudget {
                min_retries: budget.min_retries.round() as u32,
                retry_ratio: Decimal::rounded(budget.retry_ratio),
                window: whole(budget.window),
            }),
            slow_start: SlowStart {
                initial_share: Decimal::rounded(config.slow_start_from),
                slow_start_duration: whole(config.slow_start_duration),
                overload_factor: Decimal::rounded(config.overload_factor),
                overload_window: whole(config.overload_window),
            },
            cells: None,
            log: Log::default(),
        }
    }
}

impl Class {
    fn configured(
        policy: &ClassPolicy,
        name: &str,
        limit: Millis,
        name_index: &NameIndex,
    ) -> Class {
        let is_tagged = matches!(policy.effect, Effect::Deduplicated(_));
        Class {
            name: name.to_owned(),
            base_objective: whole(policy.base_objective),
            objective_per_work: Decimal::rounded(policy.objective_per_work),
            hard_limit: whole(limit),
            value: Decimal::rounded(policy.value),
            threads: policy.threads as u16,
            repeat_safety: match policy.effect {
                Effect::Idempotent => RepeatSafety::Repeatable,
                Effect::Deduplicated(_) => RepeatSafety::Tagged,
                Effect::NonIdempotent => RepeatSafety::OnceOnly,
            },
            dedup_scope: match policy.effect {
                Effect::Deduplicated(DedupScope::Zone) => DeduplicationScope::Zone,
                Effect::Deduplicated(DedupScope::DedupDomain) => DeduplicationScope::DedupDomain,
                _ => DeduplicationScope::All,
            },
            dedup_window: is_tagged.then(|| whole(policy.dedup_window)),
            preserves_key_order: policy.preserves_key_order,
            zones: named(&policy.zones, &name_index.zones),
            machine_types: named(&policy.machine_types, &name_index.machine_types),
        }
    }
}

/// Rounds to whole ms.
fn whole(x: Millis) -> u32 {
    x.round().clamp(0.0, u32::MAX as f64) as u32
}

fn named(indices: &Option<Vec<u16>>, names: &[String]) -> Vec<String> {
    let name = |&i: &u16| {
        names
            .get(i as usize)
            .cloned()
            .unwrap_or_else(|| format!("unknown-{i}"))
    };
    indices.iter().flatten().map(name).collect()
}
