//! A run of faults drawn from a seed: the same seed plays the same schedule.

use crate::cluster::{name, until, Cluster, Said, CLASSES};
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

fn ask(cluster: &Cluster, at: usize, ask: Ask) -> Option<JoinHandle<Said>> {
    match ask {
        Ask::Nothing => None,
        Ask::Bar(class) => Some(cluster.bar_meanwhile(at, class)),
        Ask::Free(class) => Some(cluster.free_meanwhile(at, class)),
        Ask::MaxAttempts(n) => Some(cluster.cli_meanwhile(
            at,
            &["set", "/settings/forwards-most", &n.to_string(), "--fleet"],
        )),
    }
}

/// Plays a schedule under load; how many of the changes asked for were made. What it breaks ends it.
pub fn play(cluster: &mut Cluster, steps: &[Step]) -> usize {
    let (mut made, mut lost) = (0, None);
    for step in steps {
        let (lasts, asks) = (Duration::from_millis(step.lasts), |cluster: &Cluster| {
            ask(cluster, step.at, step.ask)
        });
        // Half of it lies before what is asked, half after.
        let meanwhile = |cluster: &Cluster| {
            thread::sleep(lasts / 2);
            let requested = asks(cluster);
            thread::sleep(lasts / 2);
            requested
        };
        let requested = match &step.fault {
            Fault::Kill(g) => {
                cluster.kill(*g);
                let requested = meanwhile(cluster);
                cluster.start(*g);
                requested
            }
            Fault::Stop(g) => {
                // What was about to be written when it is stopped is written later, and not promised.
                cluster.quiet(*g);
                cluster.stop(*g);
                cluster.queue_at(*g);
                let requested = meanwhile(cluster);
                cluster.go_on(*g);
                requested
            }
            Fault::CutOff(g, sends, hears) => {
                cluster.cut_off(*g, *sends, *hears);
                meanwhile(cluster)
            }
            Fault::Slow(g, ms) => {
                cluster.slow(*g, *ms);
                meanwhile(cluster)
            }
            Fault::Wipe(k) => {
                // A further disk, lost before the last one's voter has a vote again, is one too many.
                let votes = |cluster: &Cluster, k: usize| {
                    cluster.log(k).matches("this voter has a vote").count()
                };
                until("the keeper whose disk was lost has a vote", || {
                    lost.is_none_or(|(lost, before)| votes(cluster, lost) > before)
                });
                until("no keeper is being replaced", || {
                    let at = (0..VOTERS as usize).find(|o| o != k).unwrap_or(0);
                    let shown = cluster.shown(at);
                    shown["joining"] == json!([]) && shown["replacing"] == json!(false)
                });
                lost = Some((*k, votes(cluster, *k)));
                cluster.kill(*k);
                cluster.wipe(*k);
                let requested = meanwhile(cluster);
                cluster.start(*k);
                requested
            }
            Fault::KillVoters => {
                (0..VOTERS as usize).for_each(|k| cluster.kill(k));
                let requested = meanwhile(cluster);
                (0..VOTERS as usize).for_each(|k| cluster.start(k));
                requested
            }
        };
        cluster.heal();
        made += requested.is_some_and(|a| a.join().is_ok_and(|s| s.code == 0)) as usize;
    }
    settled(cluster);
    made
}

/// All of it has healed: one policy at every gateway, and every gateway serves.
fn settled(cluster: &mut Cluster) {
    until("no change is under way", || {
        let shown = cluster.shown(3);
        shown["revision"].is_u64() && shown["change"].is_null()
    });
    let revision = cluster.shown(3)["revision"].as_u64();
    for g in 0..GATEWAYS as usize {
        until(&format!("{} holds revision {revision:?}", name(g)), || {
            cluster.revision(g) == revision && cluster.fit(g)
        });
    }
    let of = |g: usize| -> Vec<Value> { SETTINGS.iter().map(|s| cluster.setting(g, s)).collect() };
    let first = of(0);
    (1..GATEWAYS as usize).for_each(|g| assert_eq!(of(g), first, "{} and {}", name(g), name(0)));
}

const SETTINGS: [&str; 3] = [
    "/settings/forwards-most",
    "/settings/band[name=lookup]/zone",
    "/settings/band[name=post]/zone",
];
