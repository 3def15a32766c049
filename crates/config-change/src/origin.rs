//! Conversion of a settings document to the policy config, relative to the configured one.

use crate::document::{Class, DeduplicationScope, Document, NameIndex, RepeatSafety};
use crate::registry::{ClassRegistry, ClassSlot};
use ironstair::{ClassPolicy, DedupScope, Effect, Millis, PolicyConfig, RetryBudget};

/// The configured policy config and the document made from it. Every policy config is derived from both: a setting that
/// the running document does not change keeps the exact number of the configuration, which is rounded in the document.
#[derive(Clone)]
pub struct Origin {
    /// The configured policy config.
    pub policy_config: PolicyConfig,
    /// The document made from it.
    pub document: Document,
    /// The names of zones and machine types by index.
    pub name_index: NameIndex,
}

impl Origin {
    /// The policy config of a document that [`crate::plan()`] has accepted, with the classes in the registry's order.
    pub fn policy_config(&self, to: &Document, registry: &ClassRegistry) -> PolicyConfig {
        let configured = &self.policy_config;
        let before = &self.document;
        let slow_start = &to.slow_start;
        let slow_start_before = &before.slow_start;
        let classes = registry.0.iter().map(|slot| self.class_policy(slot, to));
        PolicyConfig {
            gateway_count: if to.gateways == before.gateways {
                configured.gateway_count
            } else {
                to.gateways as f64
            },
            classes: classes.collect(),
            max_retry_after: if to.max_retry_after == before.max_retry_after {
                configured.max_retry_after
            } else {
                to.max_retry_after as f64
            },
            max_attempts: to.max_attempts,
            slow_start_from: if slow_start.initial_share == slow_start_before.initial_share {
                configured.slow_start_from
            } else {
                slow_start.initial_share.get()
            },
            slow_start_duration: if slow_start.slow_start_duration
                == slow_start_before.slow_start_duration
            {
                configured.slow_start_duration
            } else {
                slow_start.slow_start_duration as f64
            },
            overload_factor: if slow_start.overload_factor == slow_start_before.overload_factor {
                configured.overload_factor
            } else {
                slow_start.overload_factor.get()
            },
            overload_window: if slow_start.overload_window == slow_start_before.overload_window {
                configured.overload_window
            } else {
                slow_start.overload_window as f64
            },
            retry_budget: self.retry_budget(to),
            ..configured.clone()
        }
    }

    fn retry_budget(&self, to: &Document) -> Option<RetryBudget> {
        if to.retry_budget == self.document.retry_budget {
            return self.policy_config.retry_budget;
        }
        to.retry_budget.map(|budget| RetryBudget {
            min_retries: budget.min_retries as f64,
            retry_ratio: budget.retry_ratio.get(),
            window: budget.window as f64,
        })
    }

    fn class_policy(&self, slot: &ClassSlot, to: &Document) -> ClassPolicy {
        let is_slot = |class: &&Class| ClassSlot::from_class(class) == *slot;
        let configured = self
            .document
            .classes
            .iter()
            .zip(&self.policy_config.classes)
            .find(|(class, _)| is_slot(class));
        let Some(class) = to.classes.iter().find(is_slot) else {
            return out_of_service_policy(slot, configured.map(|(_, policy)| policy));
        };
        let mut policy = self.converted_policy(class);
        if let Some((before, configured)) = configured {
            keep_configured_values(&mut policy, class, before, configured);
        }
        policy
    }

    fn converted_policy(&self, class: &Class) -> ClassPolicy {
        ClassPolicy {
            base_objective: class.base_objective as f64,
            objective_per_work: class.objective_per_work.get(),
            value: class.value.get(),
            threads: class.threads as f64,
            effect: effect(class.repeat_safety, class.dedup_scope),
            dedup_window: class.dedup_window.unwrap_or(0) as f64,
            preserves_key_order: class.preserves_key_order,
            zones: indices(&class.zones, &self.name_index.zones),
            machine_types: indices(&class.machine_types, &self.name_index.machine_types),
            pins_table_group: false,
            out_of_service: false,
        }
    }
}

/// The policy of a class that is out of service. It applies to no new request; open requests keep the policy under
/// which they were accepted.
fn out_of_service_policy(slot: &ClassSlot, configured: Option<&ClassPolicy>) -> ClassPolicy {
    let before = configured.cloned().unwrap_or_default();
    ClassPolicy {
        out_of_service: true,
        threads: slot.threads as f64,
        effect: effect(slot.repeat_safety, slot.dedup_scope),
        dedup_window: Millis::INFINITY,
        zones: None,
        machine_types: None,
        base_objective: before.base_objective.max(1.0),
        value: if before.value > 0.0 {
            before.value
        } else {
            1.0
        },
        preserves_key_order: slot.preserves_key_order,
        ..before
    }
}

/// Keeps the configured values of settings for which the document has no field, and of those that it does not change.
fn keep_configured_values(
    policy: &mut ClassPolicy,
    class: &Class,
    before: &Class,
    configured: &ClassPolicy,
) {
    policy.pins_table_group = configured.pins_table_group;
    if class.base_objective == before.base_objective {
        policy.base_objective = configured.base_objective;
    }
    if class.objective_per_work == before.objective_per_work {
        policy.objective_per_work = configured.objective_per_work;
    }
    if class.value == before.value {
        policy.value = configured.value;
    }
    if class.dedup_window == before.dedup_window {
        policy.dedup_window = configured.dedup_window;
    }
    if class.zones == before.zones {
        policy.zones = configured.zones.clone();
    }
    if class.machine_types == before.machine_types {
        policy.machine_types = configured.machine_types.clone();
    }
}

fn indices(names: &[String], known: &[String]) -> Option<Vec<u16>> {
    let indices = names
        .iter()
        .filter_map(|name| NameIndex::index(known, name))
        .collect();
    (!names.is_empty()).then_some(indices)
}

fn effect(repeat: RepeatSafety, within: DeduplicationScope) -> Effect {
    match repeat {
        RepeatSafety::Repeatable => Effect::Idempotent,
        RepeatSafety::OnceOnly => Effect::NonIdempotent,
        RepeatSafety::Tagged => Effect::Deduplicated(match within {
            DeduplicationScope::All => DedupScope::AllEngines,
            DeduplicationScope::Zone => DedupScope::Zone,
            DeduplicationScope::DedupDomain => DedupScope::DedupDomain,
        }),
    }
}
