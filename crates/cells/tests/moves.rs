//! Moves, second moves, moves back, crashes, late and doubled revisions, drains and gateways that lag, in every order
//! (model checked).

use ironstair_cells::moves::{may_move, Input, Over, Tenant};
use ironstair_cells::Cells;
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

const A: Cells = Cells(1);
const B: Cells = Cells(2);
const C: Cells = Cells(4);
/// The revisions that an operator makes, the tenant's cells in each: away, on, and back.
const REVISIONS: [Cells; 4] = [A, B, C, A];
/// Nothing of before a move runs for longer than so many ticks.
const OUTLIVED: f64 = 2.0;
const TICKS: u32 = 5;
const ATTEMPTS: u32 = 4;

#[derive(Clone, Debug, PartialEq)]
struct Gateway {
    tenant: Tenant,
    /// The newest revision it knows, and those it was told of.
    knows: usize,
    /// Forwards out: their cells, and when they went.
    out: Vec<(Cells, u32)>,
}

#[derive(Clone, Debug, PartialEq)]
struct World {
    gateways: Vec<Gateway>,
    made: usize,
    now: u32,
    attempts: u32,
    crashes: u32,
    broken: Option<&'static str>,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, to: &mut H) {
        format!("{self:?}").hash(to);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Make,
    /// Gateway, revision; in any order, and twice.
    Learn(usize, usize),
    Attempt(usize),
    End(usize, usize),
    /// All that runs in a cell ends.
    Drain(Cells),
    Tick,
    Crash(usize),
}

struct Days;

impl World {
    fn hand(&mut self, g: usize, input: Input) {
        let now = self.now as f64;
        let tenant = &mut self.gateways[g].tenant;
        let before = tenant.leaving().with(tenant.cells());
        let how = tenant.on(now, OUTLIVED, input);
        let left = before.without(self.gateways[g].tenant.cells());
        if how == Some(Over::Emptied) && self.gateways[g].out.iter().any(|o| left.meets(o.0)) {
            self.broken = Some("over while something runs there");
        }
    }
}

impl Model for Days {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let gateway = Gateway {
            tenant: Tenant::settled(0, A),
            knows: 0,
            out: Vec::new(),
        };
        vec![World {
            gateways: vec![gateway; 2],
            made: 0,
            now: 0,
            attempts: ATTEMPTS,
            crashes: 1,
            broken: None,
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        if w.made + 1 < REVISIONS.len() {
            steps.push(Step::Make);
        }
        for (g, gateway) in w.gateways.iter().enumerate() {
            steps.extend((1..=w.made).map(|r| Step::Learn(g, r)));
            if w.attempts > 0 {
                steps.push(Step::Attempt(g));
            }
            steps.extend((0..gateway.out.len()).map(|o| Step::End(g, o)));
            if w.crashes > 0 {
                steps.push(Step::Crash(g));
            }
        }
        if w.gateways.iter().any(|g| !g.out.is_empty()) {
            steps.push(Step::Drain(A));
        }
        if w.now < TICKS {
            steps.push(Step::Tick);
        }
    }

    fn next_state(&self, was: &World, step: Step) -> Option<World> {
        let mut w = was.clone();
        match step {
            Step::Make => w.made += 1,
            Step::Learn(g, r) => {
                w.gateways[g].knows = w.gateways[g].knows.max(r);
                w.hand(
                    g,
                    Input::Revision {
                        number: r as u64,
                        cells: REVISIONS[r],
                    },
                );
            }
            Step::Attempt(g) => {
                w.attempts -= 1;
                let cells = w.gateways[g].tenant.cells();
                if cells != REVISIONS[w.gateways[g].knows] {
                    w.broken = Some("a new forward outside the newest cells known");
                }
                w.gateways[g].out.push((cells, w.now));
                w.hand(g, Input::Out(cells));
            }
            Step::End(g, o) => {
                let (cell, _) = w.gateways[g].out.remove(o);
                w.hand(g, Input::Ended(cell));
            }
            Step::Drain(cell) => {
                for g in 0..w.gateways.len() {
                    while let Some(o) = w.gateways[g].out.iter().position(|o| o.0 == cell) {
                        w.gateways[g].out.remove(o);
                        w.hand(g, Input::Ended(cell));
                    }
                }
            }
            Step::Tick => {
                w.now += 1;
                for g in 0..w.gateways.len() {
                    // A hard limit ends what is out for so long, as the module does.
                    while let Some(o) = w.gateways[g]
                        .out
                        .iter()
                        .position(|o| w.now - o.1 >= OUTLIVED as u32)
                    {
                        let (cell, _) = w.gateways[g].out.remove(o);
                        w.hand(g, Input::Ended(cell));
                    }
                    w.hand(g, Input::Due);
                }
            }
            Step::Crash(g) => {
                w.crashes -= 1;
                let knows = w.gateways[g].knows;
                let tenant = Tenant::settled(knows as u64, REVISIONS[knows]);
                w.gateways[g] = Gateway {
                    tenant,
                    knows,
                    out: Vec::new(),
                };
            }
        }
        (w != *was).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "new forwards go to the newest cells known, moves end when nothing runs",
                |_, w: &World| w.broken.is_none(),
            ),
            Property::always(
                "what runs does so in the tenant's cells or in those it leaves",
                |_, w: &World| {
                    let known = |g: &Gateway| g.tenant.cells().with(g.tenant.leaving());
                    w.gateways
                        .iter()
                        .all(|g| g.out.iter().all(|o| known(g).meets(o.0)))
                },
            ),
            Property::always(
                "who moves has something running where it was",
                |_, w: &World| {
                    let runs = |g: &Gateway| g.out.iter().any(|o| g.tenant.leaving().meets(o.0));
                    w.gateways.iter().all(|g| !g.tenant.is_moving() || runs(g))
                },
            ),
            Property::always("no move outlasts what can still run", |_, w: &World| {
                let late = |g: &Gateway| g.tenant.due(OUTLIVED).is_some_and(|d| d <= w.now as f64);
                w.gateways.iter().all(|g| !late(g))
            }),
            Property::sometimes("a second move comes during the first", |_, w: &World| {
                w.gateways.iter().any(|g| g.tenant.leaving().count() == 2)
            }),
            Property::sometimes(
                "gateways know of different revisions while one moves",
                |_, w: &World| {
                    w.gateways[0].knows != w.gateways[1].knows
                        && w.gateways.iter().any(|g| g.tenant.is_moving())
                },
            ),
        ]
    }
}

#[test]
fn in_every_order_moves_end_and_nothing_runs_outside_old_and_new() {
    let checked = Days
        .checker()
        .threads(4)
        .target_state_count(400_000)
        .spawn_bfs()
        .join();
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 50_000,
        "{}",
        checked.unique_state_count()
    );
}

#[test]
fn a_move_back_during_a_move_leaves_only_what_is_not_come_back_to() {
    let mut t = Tenant::settled(0, A);
    t.on(0.0, 9.0, Input::Out(A));
    assert_eq!(
        t.on(
            1.0,
            9.0,
            Input::Revision {
                number: 1,
                cells: B
            }
        ),
        None
    );
    t.on(1.0, 9.0, Input::Out(B));
    assert_eq!((t.cells(), t.leaving()), (B, A));
    t.on(
        2.0,
        9.0,
        Input::Revision {
            number: 2,
            cells: A,
        },
    );
    assert_eq!((t.cells(), t.leaving(), t.due(9.0)), (A, B, Some(11.0)));
    assert_eq!(
        t.on(
            3.0,
            9.0,
            Input::Revision {
                number: 1,
                cells: C
            }
        ),
        None,
        "an older one says nothing"
    );
    assert_eq!(t.on(4.0, 9.0, Input::Ended(A)), None);
    assert_eq!(t.on(5.0, 9.0, Input::Ended(B)), Some(Over::Emptied));
    assert!(!t.is_moving());
}

#[test]
fn an_outcome_that_never_comes_does_not_hold_a_move_up_for_good() {
    let mut t = Tenant::settled(0, A);
    t.on(0.0, 9.0, Input::Out(A));
    t.on(
        1.0,
        9.0,
        Input::Revision {
            number: 1,
            cells: B,
        },
    );
    assert_eq!(t.on(9.9, 9.0, Input::Due), None);
    assert_eq!(t.on(10.0, 9.0, Input::Due), Some(Over::Outlived));
}

#[test]
fn moves_to_where_nothing_is_ready_or_a_release_has_halted_are_refused() {
    assert!(may_move(B, A.with(B), Cells::default()).is_ok());
    assert!(
        may_move(B.with(C), C, Cells::default()).is_ok(),
        "one of its cells is enough"
    );
    for (to, ready, halted) in [
        (Cells::default(), A, C),
        (B, A, Cells::default()),
        (B, A.with(B), B),
    ] {
        assert!(may_move(to, ready, halted).is_err());
    }
}
