//! The plan of a change, the violations that prevent one, and the intersection of two documents.

use ironstair::{ClassPolicy, DedupScope, Effect, MachineType, PolicyConfig, RetryBudget};
use ironstair_config_change::{
    plan, Cells, ClassRegistry, Decimal, Document, NameIndex, Origin, TakesEffect, MAX_CLASSES,
};

fn origin() -> Origin {
    let class = |base_objective: f64, effect| ClassPolicy {
        base_objective,
        value: 1.0 / 3.0,
        threads: 2.0,
        effect,
        dedup_window: 900.4,
        ..ClassPolicy::default()
    };
    let policy_config = PolicyConfig {
        gateway_count: 3.0,
        classes: vec![
            class(1000.25, Effect::Idempotent),
            class(5000.0, Effect::Deduplicated(DedupScope::DedupDomain)),
        ],
        machine_types: vec![MachineType {
            cores: 16.0,
            memory_mb: 1.0,
        }],
        max_attempts: 6,
        slow_start_from: 0.123456,
        slow_start_duration: 15e3,
        overload_factor: 4.0,
        overload_window: 1e3,
        retry_budget: Some(RetryBudget {
            min_retries: 10.0,
            retry_ratio: 0.1,
            window: 10e3,
        }),
        ..PolicyConfig::default()
    };
    let name_index = NameIndex {
        zones: vec!["a".into(), "b".into()],
        machine_types: vec!["std".into()],
    };
    let names = ["lookup".to_owned(), "post".to_owned()];
    let document = Document::configured(&policy_config, &names, &[5e3, 20e3], &name_index);
    Origin {
        policy_config,
        document,
        name_index,
    }
}

/// The changes and the new policy config, or the violations.
type PlanResult = Result<(Vec<(String, TakesEffect)>, PolicyConfig), Vec<String>>;
type Change<'a> = &'a dyn Fn(&mut Document);

/// Plans a change of the configured document.
fn plan_change(change: impl Fn(&mut Document)) -> PlanResult {
    let origin = origin();
    let mut to = origin.document.clone();
    change(&mut to);
    match plan(
        &origin.document,
        &to,
        &ClassRegistry::from_document(&origin.document),
        &origin.name_index,
    ) {
        Ok(plan) => Ok((
            plan.changes
                .into_iter()
                .map(|change| (change.path, change.takes_effect))
                .collect(),
            origin.policy_config(&to, &plan.registry),
        )),
        Err(violations) => Err(violations
            .iter()
            .map(|violation| violation.to_string())
            .collect()),
    }
}

#[test]
fn unchanged_settings_keep_their_exact_configured_numbers() {
    let configured = origin().policy_config;
    let (changes, same) = plan_change(|_| {}).unwrap();
    assert_eq!(
        (changes.len(), format!("{same:?}")),
        (0, format!("{configured:?}"))
    );
    let (changes, new) =
        plan_change(|document| document.classes[0].value = Decimal::rounded(2.0)).unwrap();
    assert_eq!(
        changes,
        [(
            "/settings/band[name=lookup]/payoff".to_owned(),
            TakesEffect::Immediately
        )]
    );
    assert_eq!(
        (
            new.classes[0].base_objective,
            new.classes[1].value,
            new.slow_start_from
        ),
        (1000.25, 1.0 / 3.0, 0.123456)
    );
    assert_eq!(new.classes[0].value, 2.0);
}

#[test]
fn each_changed_field_states_when_it_takes_effect() {
    let (changes, new) = plan_change(|document| {
        document.classes[0].base_objective = 700;
        document.classes[0].zones = vec!["b".into()];
        document.classes.remove(1);
        document.retry_budget = None;
        document.gateways = 4;
    })
    .unwrap();
    let takes_effect = |path: &str| {
        let change = changes.iter().find(|change| change.0.ends_with(path));
        change.map(|change| change.1)
    };
    assert_eq!(
        takes_effect("band[name=lookup]/expected"),
        Some(TakesEffect::ForNewRequests)
    );
    assert_eq!(
        takes_effect("band[name=lookup]/zone"),
        Some(TakesEffect::Immediately)
    );
    assert_eq!(
        takes_effect("band[name=post]"),
        Some(TakesEffect::AfterOpenRequests)
    );
    assert_eq!(
        (takes_effect("gateways"), takes_effect("ration/share")),
        (
            Some(TakesEffect::Immediately),
            Some(TakesEffect::Immediately)
        )
    );
    assert_eq!(
        (new.classes[0].zones.clone(), new.gateway_count),
        (Some(vec![1]), 4.0)
    );
    assert!(
        new.retry_budget.is_none()
            && new.classes[1].out_of_service
            && !new.classes[0].out_of_service
    );
    // A class out of service keeps its effect and its threads.
    assert_eq!(
        (new.classes[1].effect, new.classes[1].threads),
        (Effect::Deduplicated(DedupScope::DedupDomain), 2.0)
    );
}

#[test]
fn invalid_changes_are_refused_with_the_path_of_the_field() {
    let cases: [(Change, &str); 8] = [
        (
            &|document| document.classes[0].threads = 3,
            "/settings/band[name=lookup]/threads: cannot change in service",
        ),
        (
            &|document| document.classes[0].preserves_key_order = true,
            "/settings/band[name=lookup]/in-order: cannot",
        ),
        (
            &|document| document.classes[0].hard_limit = 10,
            "/settings/band[name=lookup]/hard-limit: the hard limit is shorter",
        ),
        (
            &|document| document.classes[1].dedup_window = None,
            "/settings/band[name=post]/window: a tagged band needs",
        ),
        (
            &|document| document.classes[0].dedup_window = Some(1),
            "/settings/band[name=lookup]/window: window is for tagged",
        ),
        (
            &|document| document.classes[0].zones = vec!["c".into()],
            "/settings/band[name=lookup]/zone: c is not among",
        ),
        (
            &|document| document.classes[1].name = "lookup".into(),
            "/settings/band[name=lookup]/name: another band has the name \"lookup\"",
        ),
        (
            &|document| document.classes.clear(),
            "/settings/band: at least one band is required",
        ),
    ];
    for (change, reason) in cases {
        let violations = plan_change(change).unwrap_err();
        assert!(
            violations
                .iter()
                .any(|violation| violation.starts_with(reason)),
            "{reason}: {violations:?}"
        );
    }
}

#[test]
fn class_regains_its_index_only_if_unchanged_and_new_classes_get_new_indices() {
    let origin = origin();
    let (mut without_post, mut with_post) = (origin.document.clone(), origin.document.clone());
    let post = without_post.classes.remove(1);
    let registry = plan(
        &origin.document,
        &without_post,
        &ClassRegistry::from_document(&origin.document),
        &origin.name_index,
    )
    .unwrap()
    .registry;
    assert_eq!(registry.find("post"), Some(1));
    with_post.classes.insert(
        0,
        ironstair_config_change::Class {
            name: "audit".into(),
            ..post.clone()
        },
    );
    let new_plan = plan(&without_post, &with_post, &registry, &origin.name_index).unwrap();
    assert_eq!(
        (
            new_plan.registry.find("post"),
            new_plan.registry.find("audit")
        ),
        (Some(1), Some(2))
    );
    let policy_config = origin.policy_config(&with_post, &new_plan.registry);
    assert_eq!(
        (
            policy_config.classes.len(),
            policy_config.classes[1].dedup_window,
            policy_config.classes[2].dedup_window
        ),
        (3, 900.4, 900.0)
    );
    with_post.classes[2].threads = 9;
    assert!(plan(
        &without_post,
        &with_post,
        &new_plan.registry,
        &origin.name_index
    )
    .is_err());
}

#[test]
fn classes_added_and_removed_under_new_names_are_limited() {
    let origin = origin();
    let (mut from, mut registry) = (
        origin.document.clone(),
        ClassRegistry::from_document(&origin.document),
    );
    for nth in 2..=MAX_CLASSES {
        let mut to = origin.document.clone();
        to.classes[1].name = format!("b{nth}");
        match plan(&from, &to, &registry, &origin.name_index) {
            Ok(plan) => (from, registry) = (to, plan.registry),
            Err(violations) => {
                assert_eq!((nth, violations.len()), (MAX_CLASSES, 1));
                return;
            }
        }
    }
    panic!("no limit");
}

type View = fn(&Document) -> String;

fn changed_document(change: Change) -> Document {
    let mut document = origin().document;
    change(&mut document);
    document
}

/// Asserts the intersection of each two changed documents, in both orders.
fn assert_intersections(cases: &[(Change, Change, View, &str)]) {
    for (left, right, view, expected) in cases {
        let left = changed_document(*left);
        let right = changed_document(*right);
        assert_eq!(view(&left.intersection(&right).unwrap()), *expected);
        assert_eq!(
            view(&right.intersection(&left).unwrap()),
            *expected,
            "in the other order"
        );
    }
}

#[test]
fn intersection_has_the_stricter_limit_of_both_in_either_order() {
    assert_intersections(&[
        (
            &|document| document.gateways = 5,
            &|document| document.gateways = 4,
            |document| document.gateways.to_string(),
            "5",
        ),
        (
            &|document| document.max_attempts = 3,
            &|_| {},
            |document| document.max_attempts.to_string(),
            "3",
        ),
        (
            &|document| document.slow_start.initial_share = Decimal::rounded(0.1),
            &|_| {},
            |document| document.slow_start.initial_share.to_string(),
            "0.1",
        ),
        (
            &|document| document.slow_start.slow_start_duration = 9,
            &|_| {},
            |document| document.slow_start.slow_start_duration.to_string(),
            "15000",
        ),
        (
            &|document| document.classes[1].dedup_window = Some(7),
            &|_| {},
            |document| format!("{:?}", document.classes[1].dedup_window),
            "Some(7)",
        ),
    ]);
}

#[test]
fn intersection_has_only_the_zones_and_retries_that_both_allow() {
    let zones = |zones: &'static [&'static str]| {
        move |document: &mut Document| {
            document.classes[0].zones = zones.iter().map(|zone| zone.to_string()).collect();
        }
    };
    let retry_budget = |min_retries: u32, window: u32| {
        move |document: &mut Document| {
            document.retry_budget =
                document
                    .retry_budget
                    .map(|budget| ironstair_config_change::RetryBudget {
                        min_retries,
                        window,
                        ..budget
                    });
        }
    };
    assert_intersections(&[
        (
            &zones(&["a", "b"]),
            &zones(&["B"]),
            |document| document.classes[0].zones.join(" ").to_lowercase(),
            "b",
        ),
        (
            &zones(&["a"]),
            &zones(&["b"]),
            |document| document.classes[0].name.clone(),
            "post",
        ),
        (
            &retry_budget(3, 10_000),
            &retry_budget(5, 10_000),
            |document| document.retry_budget.unwrap().min_retries.to_string(),
            "3",
        ),
        // Budgets over windows of different lengths cannot be compared.
        (
            &retry_budget(3, 100),
            &retry_budget(5, 10_000),
            |document| {
                format!(
                    "{:?}",
                    document
                        .retry_budget
                        .map(|budget| (budget.min_retries, budget.retry_ratio.get()))
                )
            },
            "Some((0, 0.0))",
        ),
    ]);
}

#[test]
fn documents_without_a_class_in_both_have_no_intersection() {
    let left = changed_document(&|document| drop(document.classes.pop()));
    let right = changed_document(&|document| drop(document.classes.remove(0)));
    assert!(
        left.intersection(&right).is_none() && right.intersection(&left).is_none(),
        "no class in both"
    );
}

#[test]
fn change_of_the_cells_is_shown_in_a_fixed_form() {
    // Readers of a plan depend on this form, which once followed the names in the code.
    let cells = |json: &str| serde_json::from_str::<Cells>(json).unwrap();
    let full = cells(
        r#"{"shard": 2, "cell": [{"name": "n", "weight": "1.5"}, {"name": "s"}],
            "engine": [{"name": "e\"1", "cell": "n"}],
            "tenant": [{"name": "t 1", "cell": ["s", "n"]}, {"name": "t 2"}], "turn-back": 500}"#,
    );
    let lend = cells(r#"{"cell": [{"name": "n"}], "lend": "0.25"}"#);
    let origin = origin();
    let from = Document {
        cells: Some(full),
        ..origin.document.clone()
    };
    let to = Document {
        cells: Some(lend),
        ..origin.document.clone()
    };
    let registry = ClassRegistry::from_document(&from);
    let changes = plan(&from, &to, &registry, &origin.name_index)
        .unwrap()
        .changes;
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].path, "/settings/cells");
    assert_eq!(
        changes[0].from.as_deref().unwrap(),
        r#"Cells { shard: 2, cell: [Cell { name: "n", weight: Decimal(1.5) }, Cell { name: "s", weight: Decimal(1.0) }], engine: [EnginePin { name: "e\"1", cell: "n" }], tenant: [TenantPin { name: "t 1", cell: ["s", "n"] }, TenantPin { name: "t 2", cell: [] }], turn_back: Some(500), lend: None }"#
    );
    assert_eq!(
        changes[0].to.as_deref().unwrap(),
        r#"Cells { shard: 1, cell: [Cell { name: "n", weight: Decimal(1.0) }], engine: [], tenant: [], turn_back: None, lend: Some(Decimal(0.25)) }"#
    );
}
