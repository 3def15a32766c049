//! What a change does and when, and what it can't be.

use ironstair::{ClassPolicy, Effect, Kind, PolicyConfig, RetryBudget, Within};
use ironstair_config_change::document::{Document, Frame};
use ironstair_config_change::plan::{plan, Origin, Roll, When, ROLL_MOST};
use ironstair_config_change::Decimal;

fn origin() -> Origin {
    let terms = |expected: f64, repeat| ClassPolicy {
        expected,
        value: 1.0 / 3.0,
        threads: 2.0,
        repeat,
        window: 900.4,
        ..ClassPolicy::default()
    };
    let policy_config = PolicyConfig {
        gateways: 3.0,
        classes: vec![
            terms(1000.25, Effect::Idempotent),
            terms(5000.0, Effect::Deduplicated(Within::MarkGroup)),
        ],
        kinds: vec![Kind {
            cores: 16.0,
            memory_mb: 1.0,
        }],
        max_attempts: 6,
        slow_start_from: 0.123456,
        slow_start_duration: 15e3,
        fall_multiple: 4.0,
        fall_span: 1e3,
        retry_budget: Some(RetryBudget {
            spare: 10.0,
            share: 0.1,
            span: 10e3,
        }),
        ..PolicyConfig::default()
    };
    let frame = Frame {
        zones: vec!["a".into(), "b".into()],
        kinds: vec!["std".into()],
    };
    let names = ["lookup".to_string(), "post".to_string()];
    let document = Document::told(&policy_config, &names, &[5e3, 20e3], &frame);
    Origin {
        policy_config,
        document,
        frame,
    }
}

type Tried = Result<(Vec<(String, When)>, PolicyConfig), Vec<String>>;
type Change<'a> = &'a dyn Fn(&mut Document);

fn tried(change: impl Fn(&mut Document)) -> Tried {
    let o = origin();
    let mut to = o.document.clone();
    change(&mut to);
    match plan(&o.document, &to, &Roll::of(&o.document), &o.frame) {
        Ok(p) => Ok((
            p.steps.into_iter().map(|s| (s.path, s.when)).collect(),
            o.policy_config(&to, &p.roll),
        )),
        Err(faults) => Err(faults.iter().map(|f| f.to_string()).collect()),
    }
}

#[test]
fn what_is_not_changed_keeps_its_figure_to_the_last_digit() {
    let told = origin().policy_config;
    let (steps, same) = tried(|_| {}).unwrap();
    assert_eq!((steps.len(), format!("{same:?}")), (0, format!("{told:?}")));
    let (steps, new) = tried(|d| d.class[0].value = Decimal::of(2.0)).unwrap();
    assert_eq!(
        steps,
        [(
            "/settings/band[name=lookup]/payoff".to_string(),
            When::AtOnce
        )]
    );
    assert_eq!(
        (
            new.classes[0].expected,
            new.classes[1].value,
            new.slow_start_from
        ),
        (1000.25, 1.0 / 3.0, 0.123456)
    );
    assert_eq!(new.classes[0].value, 2.0);
}

#[test]
fn each_field_says_when_it_takes_effect() {
    let (steps, new) = tried(|d| {
        d.class[0].expected = 700;
        d.class[0].zone = vec!["b".into()];
        d.class.remove(1);
        d.retry_budget = None;
        d.gateways = 4;
    })
    .unwrap();
    let at = |path: &str| steps.iter().find(|s| s.0.ends_with(path)).map(|s| s.1);
    assert_eq!(at("band[name=lookup]/expected"), Some(When::NewOnly));
    assert_eq!(at("band[name=lookup]/zone"), Some(When::AtOnce));
    assert_eq!(at("band[name=post]"), Some(When::OpenFirst));
    assert_eq!(
        (at("gateways"), at("ration/share")),
        (Some(When::AtOnce), Some(When::AtOnce))
    );
    assert_eq!(
        (new.classes[0].zones.clone(), new.gateways),
        (Some(vec![1]), 4.0)
    );
    assert!(new.retry_budget.is_none() && new.classes[1].closed && !new.classes[0].closed);
    // Out of service it still tells apart what it takes and what may run again.
    assert_eq!(
        (new.classes[1].repeat, new.classes[1].threads),
        (Effect::Deduplicated(Within::MarkGroup), 2.0)
    );
}

#[test]
fn what_cannot_change_in_service_is_refused_by_its_path() {
    let cases: [(Change, &str); 8] = [
        (
            &|d| d.class[0].threads = 3,
            "/settings/band[name=lookup]/threads: cannot change in service",
        ),
        (
            &|d| d.class[0].in_order = true,
            "/settings/band[name=lookup]/in-order: cannot",
        ),
        (
            &|d| d.class[0].hard_limit = 10,
            "/settings/band[name=lookup]/hard-limit: the hard limit is shorter",
        ),
        (
            &|d| d.class[1].window = None,
            "/settings/band[name=post]/window: a tagged band needs",
        ),
        (
            &|d| d.class[0].window = Some(1),
            "/settings/band[name=lookup]/window: window is for tagged",
        ),
        (
            &|d| d.class[0].zone = vec!["c".into()],
            "/settings/band[name=lookup]/zone: c is not among",
        ),
        (
            &|d| d.class[1].name = "lookup".into(),
            "/settings/band[name=lookup]/name: the name is there twice",
        ),
        (&|d| d.class.clear(), "/settings/band: there must be a band"),
    ];
    for (change, why) in cases {
        let faults = tried(change).unwrap_err();
        assert!(
            faults.iter().any(|f| f.starts_with(why)),
            "{why}: {faults:?}"
        );
    }
}

#[test]
fn a_class_comes_back_to_its_place_only_as_it_was_and_new_ones_get_new_places() {
    let o = origin();
    let (mut out, mut back) = (o.document.clone(), o.document.clone());
    let post = out.class.remove(1);
    let roll = plan(&o.document, &out, &Roll::of(&o.document), &o.frame)
        .unwrap()
        .roll;
    assert_eq!(roll.find("post"), Some(1));
    back.class.insert(
        0,
        ironstair_config_change::Class {
            name: "audit".into(),
            ..post.clone()
        },
    );
    let p = plan(&out, &back, &roll, &o.frame).unwrap();
    assert_eq!(
        (p.roll.find("post"), p.roll.find("audit")),
        (Some(1), Some(2))
    );
    let m = o.policy_config(&back, &p.roll);
    assert_eq!(
        (m.classes.len(), m.classes[1].window, m.classes[2].window),
        (3, 900.4, 900.0)
    );
    back.class[2].threads = 9;
    assert!(plan(&out, &back, &p.roll, &o.frame).is_err());
}

#[test]
fn classes_that_come_and_go_by_other_names_are_bounded() {
    let o = origin();
    let (mut from, mut roll) = (o.document.clone(), Roll::of(&o.document));
    for nth in 2..=ROLL_MOST {
        let mut to = o.document.clone();
        to.class[1].name = format!("b{nth}");
        match plan(&from, &to, &roll, &o.frame) {
            Ok(p) => (from, roll) = (to, p.roll),
            Err(faults) => {
                assert_eq!((nth, faults.len()), (ROLL_MOST, 1));
                return;
            }
        }
    }
    panic!("no bound");
}

#[test]
fn the_stricter_of_two_is_bound_by_both_whichever_came_first() {
    let zones = |zones: &'static [&'static str]| {
        move |d: &mut Document| {
            d.class[0].zone = zones.iter().map(|z| z.to_string()).collect();
        }
    };
    let retry_budget = |spare: u32, span: u32| {
        move |d: &mut Document| {
            d.retry_budget = d
                .retry_budget
                .map(|r| ironstair_config_change::RetryBudget { spare, span, ..r });
        }
    };
    type Seen = fn(&Document) -> String;
    let cases: [(Change, Change, Seen, &str); 9] = [
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
            &|d| d.cold.from = Decimal::of(0.1),
            &|_| {},
            |d| d.cold.from.to_string(),
            "0.1",
        ),
        (
            &|d| d.cold.slow_start_duration = 9,
            &|_| {},
            |d| d.cold.slow_start_duration.to_string(),
            "15000",
        ),
        (
            &|d| d.class[1].window = Some(7),
            &|_| {},
            |d| format!("{:?}", d.class[1].window),
            "Some(7)",
        ),
        (
            &zones(&["a", "b"]),
            &zones(&["B"]),
            |d| d.class[0].zone.join(" ").to_lowercase(),
            "b",
        ),
        (
            &zones(&["a"]),
            &zones(&["b"]),
            |d| d.class[0].name.clone(),
            "post",
        ),
        (
            &retry_budget(3, 10_000),
            &retry_budget(5, 10_000),
            |d| d.retry_budget.unwrap().spare.to_string(),
            "3",
        ),
        // Counts over spans of different length bound nothing of one another.
        (
            &retry_budget(3, 100),
            &retry_budget(5, 10_000),
            |d| format!("{:?}", d.retry_budget.map(|r| (r.spare, r.share.get()))),
            "Some((0, 0.0))",
        ),
    ];
    let changed = |change: Change| {
        let mut d = origin().document;
        change(&mut d);
        d
    };
    for (one, other, seen, want) in cases {
        let (a, b) = (changed(one), changed(other));
        assert_eq!(seen(&a.stricter(&b).unwrap()), want);
        assert_eq!(seen(&b.stricter(&a).unwrap()), want, "the other way round");
    }
    let (a, b) = (
        changed(&|d| drop(d.class.pop())),
        changed(&|d| drop(d.class.remove(0))),
    );
    assert!(
        a.stricter(&b).is_none() && b.stricter(&a).is_none(),
        "no band in both"
    );
}
