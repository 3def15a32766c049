use super::*;

#[test]
fn each_kind_of_breach_is_caught_and_a_clean_run_is_none() {
    let ask = |call| Seen::Requested {
        client: 0,
        connection: 1,
        call,
        class: "post",
    };
    let answer = |call| Seen::Answered {
        client: 0,
        connection: 1,
        call,
        what: What::Settled,
    };
    let attempt = |id: &str, engine| Seen::Attempt {
        gateway: 2,
        engine,
        id: id.into(),
        class: "post".into(),
    };
    let (bar, free) = (
        Seen::Barred {
            engine: 1,
            class: "post",
        },
        Seen::Free {
            engine: 1,
            class: "post",
        },
    );
    let closed = Seen::Closed {
        client: 0,
        connection: 1,
    };
    let left = Breach::Left {
        gateway: 2,
        at: 3.0,
        after: 1.0,
    };
    for (seen, want) in [
        (vec![ask(1), attempt("x", 1), answer(1)], vec![]),
        (
            vec![ask(1), answer(1), answer(1)],
            vec![Breach::TwoAnswers { client: 0, call: 1 }],
        ),
        (
            vec![answer(7)],
            vec![Breach::TwoAnswers { client: 0, call: 7 }],
        ),
        (
            vec![ask(1), ask(2), answer(2)],
            vec![Breach::NoAnswer { client: 0, call: 1 }],
        ),
        (
            vec![ask(1), Seen::Killed { gateway: 0 }, closed.clone()],
            vec![],
        ),
        (
            vec![ask(1), closed],
            vec![Breach::NoAnswer { client: 0, call: 1 }],
        ),
        (
            vec![attempt("x", 0), attempt("x", 1)],
            vec![Breach::TwiceOut { id: "x".into() }],
        ),
        (
            vec![
                attempt("x", 0),
                bar.clone(),
                attempt("y", 0),
                attempt("z", 1),
            ],
            vec![left],
        ),
        (vec![bar, free, attempt("z", 1)], vec![]),
    ] {
        let lines: Vec<(f64, Seen)> = seen
            .into_iter()
            .enumerate()
            .map(|(i, s)| (i as f64, s))
            .collect();
        assert_eq!(breaches(&lines, &["post"]), want, "{lines:?}");
    }
}
