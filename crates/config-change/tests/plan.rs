//! The plan of a change, and the violations that prevent one.

use ironstair::{ClassPolicy, DedupScope, Effect, MachineType, PolicyConfig, RetryBudget};
use ironstair_config_change::{
    plan, Cells, ClassRegistry, Decimal, Document, NameIndex, Origin, TakesEffect, MAX_CLASSES,
};

fn origin() -> Origin {
    let terms = |expected: f64, repeat| ClassPolicy {
        base_objective: expected,
        value: 1.0 / 3.0,
        threads: 2.0,
        effect: repeat,
        dedup_window: 900.4,
        ..ClassPolicy::default()
    };
    let policy_config = PolicyConfig {
        gateway_count: 3.0,
        classes: vec![
            terms(1000.25, Effect::Idempotent),
            terms(5000.0, Effect::Deduplicated(DedupScope::DedupDomain)),
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

type Tried = Result<(Vec<(String, TakesEffect)>, PolicyConfig), Vec<String>>;
type Change<'a> = &'a dyn Fn(&mut Document);

fn tried(change: impl Fn(&mut Document)) -> Tried {
    let o = origin();
    let mut to = o.document.clone();
    change(&mut to);
    match plan(
        &o.document,
        &to,
        &ClassRegistry::from_document(&o.document),
        &o.name_index,
    ) {
        Ok(p) => Ok((
            p.changes
                .into_iter()
                .map(|s| (s.path, s.takes_effect))
                .collect(),
            o.policy_config(&to, &p.registry),
        )),
        Err(violations) => Err(violations.iter().map(|f| f.to_string()).collect()),
    }
}

#[test]
fn what_is_not_changed_keeps_its_figure_to_the_last_digit() {
    let configured = origin().policy_config;
    let (changes, same) = tried(|_| {}).unwrap();
    assert_eq!(
        (changes.len(), format!("{same:?}")),
        (0, format!("{configured:?}"))
    );
    let (changes, new) = tried(|d| d.classes[0].value = Decimal::rounded(2.0)).unwrap();
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
fn each_field_says_when_it_takes_effect() {
    let (changes, new) = tried(|d| {
        d.classes[0].base_objective = 700;
        d.classes[0].zones = vec!["b".into()];
        d.classes.remove(1);
        d.retry_budget = None;
        d.gateways = 4;
    })
    .unwrap();
    let at = |path: &str| changes.iter().find(|s| s.0.ends_with(path)).map(|s| s.1);
    assert_eq!(
        at("band[name=lookup]/expected"),
        Some(TakesEffect::ForNewRequests)
    );
    assert_eq!(at("band[name=lookup]/zone"), Some(TakesEffect::Immediately));
    assert_eq!(at("band[name=post]"), Some(TakesEffect::AfterOpenRequests));
    assert_eq!(
        (at("gateways"), at("ration/share")),
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
fn what_cannot_change_in_service_is_refused_by_its_path() {
    let cases: [(Change, &str); 8] = [
        (
            &|d| d.classes[0].threads = 3,
            "/settings/band[name=lookup]/threads: cannot change in service",
        ),
        (
            &|d| d.classes[0].preserves_key_order = true,
            "/settings/band[name=lookup]/in-order: cannot",
        ),
        (
            &|d| d.classes[0].hard_limit = 10,
            "/settings/band[name=lookup]/hard-limit: the hard limit is shorter",
        ),
        (
            &|d| d.classes[1].dedup_window = None,
            "/settings/band[name=post]/window: a tagged band needs",
        ),
        (
            &|d| d.classes[0].dedup_window = Some(1),
            "/settings/band[name=lookup]/window: window is for tagged",
        ),
        (
            &|d| d.classes[0].zones = vec!["c".into()],
            "/settings/band[name=lookup]/zone: c is not among",
        ),
        (
            &|d| d.classes[1].name = "lookup".into(),
            "/settings/band[name=lookup]/name: another band has the name \"lookup\"",
        ),
        (
            &|d| d.classes.clear(),
            "/settings/band: at least one band is required",
        ),
    ];
    for (change, reason) in cases {
        let violations = tried(change).unwrap_err();
        assert!(
            violations.iter().any(|f| f.starts_with(reason)),
            "{reason}: {violations:?}"
        );
    }
}

#[test]
fn a_class_comes_back_to_its_place_only_as_it_was_and_new_ones_get_new_places() {
    let o = origin();
    let (mut out, mut back) = (o.document.clone(), o.document.clone());
    let post = out.classes.remove(1);
    let registry = plan(
        &o.document,
        &out,
        &ClassRegistry::from_document(&o.document),
        &o.name_index,
    )
    .unwrap()
    .registry;
    assert_eq!(registry.find("post"), Some(1));
    back.classes.insert(
        0,
        ironstair_config_change::Class {
            name: "audit".into(),
            ..post.clone()
        },
    );
    let p = plan(&out, &back, &registry, &o.name_index).unwrap();
    assert_eq!(
        (p.registry.find("post"), p.registry.find("audit")),
        (Some(1), Some(2))
    );
    let m = o.policy_config(&back, &p.registry);
    assert_eq!(
        (
            m.classes.len(),
            m.classes[1].dedup_window,
            m.classes[2].dedup_window
        ),
        (3, 900.4, 900.0)
    );
    back.classes[2].threads = 9;
    assert!(plan(&out, &back, &p.registry, &o.name_index).is_err());
}

#[test]
fn classes_that_come_and_go_by_other_names_are_bounded() {
    let o = origin();
    let (mut from, mut registry) = (
        o.document.clone(),
        ClassRegistry::from_document(&o.document),
    );
    for nth in 2..=MAX_CLASSES {
        let mut to = o.document.clone();
        to.classes[1].name = format!("b{nth}");
        match plan(&from, &to, &registry, &o.name_index) {
            Ok(p) => (from, registry) = (to, p.registry),
            Err(violations) => {
                assert_eq!((nth, violations.len()), (MAX_CLASSES, 1));
                return;
            }
        }
    }
    panic!("no bound");
}

type Seen = fn(&Document) -> String;

fn changed(change: Change) -> Document {
    let mut document = origin().document;
    change(&mut document);
    document
}

fn assert_intersections(cases: &[(Change, Change, Seen, &str)]) {
    for (one, other, seen, want) in cases {
        let a = changed(*one);
        let b = changed(*other);
        assert_eq!(seen(&a.intersection(&b).unwrap()), *want);
        assert_eq!(
            seen(&b.intersection(&a).unwrap()),
            *want,
            "the other way round"
        );
    }
}

#[test]
fn the_intersection_of_two_is_bound_by_both_whichever_came_first() {
    assert_intersections(&[
        (
            &|d| d.gateways = 5,
            &|d| d.gateways = 4,
            |d| d.gateways.to_string(),
            "5",
        ),
        (
            &|d| d.max_attempts = 3,
            &|_| {},
            |d| d.max_attempts.to_string(),
            "3",
        ),
        (
            &|d| d.slow_start.initial_share = Decimal::rounded(0.1),
            &|_| {},
            |d| d.slow_start.initial_share.to_string(),
            "0.1",
        ),
        (
            &|d| d.slow_start.slow_start_duration = 9,
            &|_| {},
            |d| d.slow_start.slow_start_duration.to_string(),
            "15000",
        ),
        (
            &|d| d.classes[1].dedup_window = Some(7),
            &|_| {},
            |d| format!("{:?}", d.classes[1].dedup_window),
            "Some(7)",
        ),
    ]);
}

#[test]
fn the_intersection_has_only_the_zones_and_retries_of_both() {
    let zones = |zones: &'static [&'static str]| {
        move |d: &mut Document| {
            d.classes[0].zones = zones.iter().map(|z| z.to_string()).collect();
        }
    };
    let retry_budget = |min_retries: u32, window: u32| {
        move |d: &mut Document| {
            d.retry_budget = d
                .retry_budget
                .map(|r| ironstair_config_change::RetryBudget {
                    min_retries,
                    window,
                    ..r
                });
        }
    };
    assert_intersections(&[
        (
            &zones(&["a", "b"]),
            &zones(&["B"]),
            |d| d.classes[0].zones.join(" ").to_lowercase(),
            "b",
        ),
        (
            &zones(&["a"]),
            &zones(&["b"]),
            |d| d.classes[0].name.clone(),
            "post",
        ),
        (
            &retry_budget(3, 10_000),
            &retry_budget(5, 10_000),
            |d| d.retry_budget.unwrap().min_retries.to_string(),
            "3",
        ),
        // Counts over windows of different lengths do not limit each other.
        (
            &retry_budget(3, 100),
            &retry_budget(5, 10_000),
            |d| {
                format!(
                    "{:?}",
                    d.retry_budget.map(|r| (r.min_retries, r.retry_ratio.get()))
                )
            },
            "Some((0, 0.0))",
        ),
    ]);
}

#[test]
fn documents_without_a_class_in_both_have_no_intersection() {
    let a = changed(&|d| drop(d.classes.pop()));
    let b = changed(&|d| drop(d.classes.remove(0)));
    assert!(
        a.intersection(&b).is_none() && b.intersection(&a).is_none(),
        "no band in both"
    );
}

#[test]
fn a_change_of_the_cells_is_shown_in_the_text_it_always_had() {
    // The text dates from when it followed the names in the code; readers of a plan depend on it.
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
