//! A run of faults drawn from a seed: the same seed plays the same schedule.

use crate::rig::{name, until, Rig, Said, CLASSES};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const GATEWAYS: u64 = 5;
const VOTERS: u64 = 3;
/// Faults in a schedule; how long one lasts, in ms: about a lease, from well below to beyond.
const STEPS: usize = 6;
const LASTS: std::ops::Range<u64> = 200..2600;

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Kill(usize),
    /// SIGSTOP, with clients that queue meanwhile.
    Stop(usize),
    /// From all others: what it sends, what it hears.
    CutOff(usize, bool, bool),
    /// All that it says and hears comes late, in ms.
    Slow(usize, u64),
    /// A voter comes back without its disk.
    Wipe(usize),
    /// All voters at once.
    KillVoters,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ask {
    Bar(&'static str),
    Free(&'static str),
    MaxAttempts(u64),
    Nothing,
}

/// A fault, how long it lasts, and what is asked of the fleet at which gateway meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub fault: Fault,
    pub lasts: u64,
    pub ask: Ask,
    pub at: usize,
}

pub fn drawn(seed: u64) -> Vec<Step> {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut below = |n: u64| chance.next_u64() % n;
    let step = |_| {
        let (g, voter) = (below(GATEWAYS) as usize, below(VOTERS) as usize);
        let fault = match below(9) {
            0 | 1 => Fault::Kill(g),
            2 | 3 => Fault::Stop(g),
            4 => Fault::CutOff(g, true, true),
            5 => [Fault::CutOff(g, true, false), Fault::CutOff(g, false, true)][below(2) as usize]
                .clone(),
            6 => Fault::Slow(g, 50 + below(400)),
            7 => Fault::Wipe(voter),
            _ => Fault::KillVoters,
        };
        let lasts = LASTS.start + below(LASTS.end - LASTS.start);
        let class = CLASSES[below(2) as usize];
        let ask = [
            Ask::Bar(class),
            Ask::Bar(class),
            Ask::Free(class),
            Ask::MaxAttempts(2 + below(5)),
            Ask::Nothing,
        ];
        let ask = ask[below(5) as usize];
        Step {
            fault,
            lasts,
            ask,
            at: below(GATEWAYS) as usize,
        }
    };
    (0..STEPS).map(step).collect()
}

fn ask(rig: &Rig, at: usize, ask: Ask) -> Option<JoinHandle<Said>> {
    match ask {
        Ask::Nothing => None,
        Ask::Bar(class) => Some(rig.bar_meanwhile(at, class)),
        Ask::Free(class) => Some(rig.free_meanwhile(at, class)),
        Ask::MaxAttempts(n) => Some(rig.cli_meanwhile(
            at,
            &["set", "/settings/forwards-most", &n.to_string(), "--fleet"],
        )),
    }
}

/// Plays a schedule under load; how many of the changes asked for were made. What it breaks ends it.
pub fn play(rig: &mut Rig, steps: &[Step]) -> usize {
    let (mut made, mut lost) = (0, None);
    for step in steps {
        let (lasts, asks) = (Duration::from_millis(step.lasts), |rig: &Rig| {
            ask(rig, step.at, step.ask)
        });
        // Half of it lies before what is asked, half after.
        let meanwhile = |rig: &Rig| {
            thread::sleep(lasts / 2);
            let asked = asks(rig);
            thread::sleep(lasts / 2);
            asked
        };
        let asked = match &step.fault {
            Fault::Kill(g) => {
                rig.kill(*g);
                let asked = meanwhile(rig);
                rig.start(*g);
                asked
            }
            Fault::Stop(g) => {
                // What was about to be written when it is stopped is written later, and not promised.
                rig.quiet(*g);
                rig.stop(*g);
                rig.queue_at(*g);
                let asked = meanwhile(rig);
                rig.go_on(*g);
                asked
            }
            Fault::CutOff(g, sends, hears) => {
                rig.cut_off(*g, *sends, *hears);
                meanwhile(rig)
            }
            Fault::Slow(g, ms) => {
                rig.slow(*g, *ms);
                meanwhile(rig)
            }
            Fault::Wipe(k) => {
                // A further disk, lost before the last one's voter has a vote again, is one too many.
                let votes =
                    |rig: &Rig, k: usize| rig.log(k).matches("this keeper has a vote").count();
                until("the keeper whose disk was lost has a vote", || {
                    lost.is_none_or(|(lost, before)| votes(rig, lost) > before)
                });
                until("no keeper is being replaced", || {
                    let at = (0..VOTERS as usize).find(|o| o != k).unwrap_or(0);
                    let shown = rig.shown(at);
                    shown["joining"] == json!([]) && shown["replacing"] == json!(false)
                });
                lost = Some((*k, votes(rig, *k)));
                rig.kill(*k);
                rig.wipe(*k);
                let asked = meanwhile(rig);
                rig.start(*k);
                asked
            }
            Fault::KillVoters => {
                (0..VOTERS as usize).for_each(|k| rig.kill(k));
                let asked = meanwhile(rig);
                (0..VOTERS as usize).for_each(|k| rig.start(k));
                asked
            }
        };
        rig.heal();
        made += asked.is_some_and(|a| a.join().is_ok_and(|s| s.code == 0)) as usize;
    }
    settled(rig);
    made
}

/// All of it has healed: one policy at every gateway, and every gateway serves.
fn settled(rig: &mut Rig) {
    until("no change is under way", || {
        let shown = rig.shown(3);
        shown["revision"].is_u64() && shown["change"].is_null()
    });
    let revision = rig.shown(3)["revision"].as_u64();
    for g in 0..GATEWAYS as usize {
        until(&format!("{} holds revision {revision:?}", name(g)), || {
            rig.revision(g) == revision && rig.fit(g)
        });
    }
    let of = |g: usize| -> Vec<Value> { SETTINGS.iter().map(|s| rig.setting(g, s)).collect() };
    let first = of(0);
    (1..GATEWAYS as usize).for_each(|g| assert_eq!(of(g), first, "{} and {}", name(g), name(0)));
}

const SETTINGS: [&str; 3] = [
    "/settings/forwards-most",
    "/settings/band[name=lookup]/zone",
    "/settings/band[name=post]/zone",
];
