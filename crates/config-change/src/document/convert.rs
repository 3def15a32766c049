//! Conversion of the policy config to the settings document.

use super::{
    Class, DeduplicationScope, Document, Log, NameIndex, RepeatSafety, RetryBudget, SlowStart,
};
use crate::decimal::Decimal;
use ironstair::{ClassPolicy, DedupScope, Effect, Millis, PolicyConfig};

impl Document {
    /// The document of a gateway's configuration. Numbers with more digits than the settings tree allows are rounded.
    /// `class_names` and `hard_limits` (in ms) are in the order of the classes of the config.
    pub fn configured(
        config: &PolicyConfig,
        class_names: &[String],
        hard_limits: &[Millis],
        name_index: &NameIndex,
    ) -> Document {
        let classes = config
            .classes
            .iter()
            .zip(class_names)
            .zip(hard_limits)
            .map(|((policy, name), &hard_limit)| {
                Class::configured(policy, name, hard_limit, name_index)
            })
            .collect();
        Document {
            classes,
            gateways: config.gateway_count as u32,
            max_attempts: config.max_attempts,
            max_retry_after: whole_millis(config.max_retry_after),
            retry_budget: config.retry_budget.map(|budget| RetryBudget {
                min_retries: budget.min_retries.round() as u32,
                retry_ratio: Decimal::rounded(budget.retry_ratio),
                window: whole_millis(budget.window),
            }),
            slow_start: SlowStart {
                initial_share: Decimal::rounded(config.slow_start_from),
                slow_start_duration: whole_millis(config.slow_start_duration),
                overload_factor: Decimal::rounded(config.overload_factor),
                overload_window: whole_millis(config.overload_window),
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
        hard_limit: Millis,
        name_index: &NameIndex,
    ) -> Class {
        let is_tagged = matches!(policy.effect, Effect::Deduplicated(_));
        Class {
            name: name.to_owned(),
            base_objective: whole_millis(policy.base_objective),
            objective_per_work: Decimal::rounded(policy.objective_per_work),
            hard_limit: whole_millis(hard_limit),
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
            dedup_window: is_tagged.then(|| whole_millis(policy.dedup_window)),
            preserves_key_order: policy.preserves_key_order,
            zones: names_of(&policy.zones, &name_index.zones),
            machine_types: names_of(&policy.machine_types, &name_index.machine_types),
        }
    }
}

/// Rounds to whole ms.
fn whole_millis(duration: Millis) -> u32 {
    duration.round().clamp(0.0, u32::MAX as f64) as u32
}

fn names_of(indices: &Option<Vec<u16>>, names: &[String]) -> Vec<String> {
    let name = |&index: &u16| {
        names
            .get(index as usize)
            .cloned()
            .unwrap_or_else(|| format!("unknown-{index}"))
    };
    indices.iter().flatten().map(name).collect()
}
