//! What a fleet costs and how long its changes take, with processes of the built gateway on loopback between
//! stand-ins: `cargo bench -p ironstair-gateway --bench fleet`. Its voters' part alone at 100 and 300 members, too.

use ironstair_coordination::member::{Action, Input};
use ironstair_coordination::Member;
use ironstair_raft_replica::{Output, Replica, TICK};
use ironstair_test_cluster::cluster::{wait_until, Cluster, Isolation, Plan, StartupFiles};
use ironstair_test_cluster::invariants::AnswerKind;
use serde_json::{json, Value};
use slog::{o, Discard, Logger};
use std::time::{Duration, Instant};

const ATTEMPTS: &str = "/settings/forwards-most";
const CHANGES: usize = 12;
const LEASE: u32 = 3000;

fn quantile(all: &mut [f64], q: f64) -> f64 {
    all.sort_by(f64::total_cmp);
    all[((all.len() - 1) as f64 * q).round() as usize]
}

fn timed(cluster: &Cluster, at: usize, changes: usize) -> Vec<f64> {
    let one = |nth: usize| {
        let value = (2 + nth % 5).to_string();
        let since = Instant::now();
        cluster.set(at, &[ATTEMPTS, &value]).assert_success();
        since.elapsed().as_secs_f64() * 1000.0
    };
    (0..changes).map(one).collect()
}

/// When a gateway took over settings, in ms of the day, by its log.
fn taken_over(log: &str) -> Vec<f64> {
    let lines = log.lines().filter(|l| l.contains("settings changed"));
    let at = lines.filter_map(|l| {
        let clock: Vec<f64> = l
            .split(' ')
            .nth(2)?
            .split(':')
            .filter_map(|p| p.parse().ok())
            .collect();
        Some(clock[0] * 3.6e6 + clock[1] * 6e4 + clock[2] * 1e3)
    });
    at.collect()
}

/// Of the last changes: the longest between the first and the last that took a step over, and the least time by
/// which the last that took over the stricter of both was before the first that took over the new.
fn side_by_side(cluster: &Cluster, gateways: usize, changes: usize) -> (f64, f64) {
    let all: Vec<Vec<f64>> = (0..gateways).map(|g| taken_over(&cluster.log(g))).collect();
    let step = |back: usize| -> (f64, f64) {
        let at = all.iter().map(|t| t[t.len() - back]);
        at.fold((f64::INFINITY, 0.0), |a, t| (a.0.min(t), a.1.max(t)))
    };
    let steps: Vec<((f64, f64), (f64, f64))> = (1..=changes)
        .map(|c| (step(2 * c), step(2 * c - 1)))
        .collect();
    let widest = steps
        .iter()
        .flat_map(|s| [s.0 .1 - s.0 .0, s.1 .1 - s.1 .0])
        .fold(0.0, f64::max);
    (
        widest,
        steps
            .iter()
            .map(|s| s.1 .0 - s.0 .1)
            .fold(f64::INFINITY, f64::min),
    )
}

/// Seconds of processor that a process has used.
fn processor(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
}

fn changes_and_idle() {
    println!("| processes | set to held everywhere, p50 / p99, ms | one cut off: the first, the middle of three more, ms | a step's first to last, ms | last old to first new, ms |");
    let mut idle = Vec::new();
    for gateways in [3, 10, 30] {
        let plan = Plan::default().gateway_count(gateways).lease_ms(LEASE);
        let cluster = Cluster::started(&format!("bench-{gateways}"), &plan);
        let mut took = timed(&cluster, gateways - 1, CHANGES);
        let (widest, between) = side_by_side(&cluster, gateways, CHANGES);
        let leader = cluster.leader();
        let replica = (0..3).find(|k| *k != leader).unwrap();
        let member = gateways - 1;
        let of = |g: usize| (processor(cluster.pid(g)), cluster.link_bytes(g));
        let (before, span) = (
            [of(leader), of(replica), of(member)],
            Duration::from_secs(10),
        );
        std::thread::sleep(span);
        let after = [of(leader), of(replica), of(member)];
        for (who, (a, b)) in ["chair", "keeper", "member"]
            .iter()
            .zip(before.iter().zip(&after))
        {
            let s = span.as_secs_f64();
            idle.push(format!(
                "| {gateways} | {who} | {:.2} | {:.0} |",
                (b.0 - a.0) / s * 100.0,
                (b.1 - a.1) as f64 / s
            ));
        }
        let isolated = if leader == member { replica } else { member };
        cluster.isolate(isolated, Isolation::Full);
        let first = timed(&cluster, leader, 1)[0];
        let mut cut = timed(&cluster, leader, 3);
        cluster.heal_links();
        println!(
            "| {gateways} | {:.0} / {:.0} | {:.0}, {:.0} | {widest:.0} | {between:.0} |",
            quantile(&mut took, 0.5),
            quantile(&mut took, 0.99),
            first,
            quantile(&mut cut, 0.5),
        );
    }
    println!(
        "\n| processes | idle | processor, % of a core | bytes a second over the links it opened |"
    );
    idle.iter().for_each(|l| println!("{l}"));
}

/// No operator's section at all.
fn without_operator_file(_: usize, files: &mut StartupFiles) {
    files.operator = json!({});
}

fn without_fleet(test: &str) -> Cluster {
    let plan = Plan::default()
        .gateway_count(3)
        .edit_config(without_operator_file);
    let mut cluster = Cluster::prepare(test, &plan);
    (0..3).for_each(|g| cluster.start(g));
    cluster.wait_until_all_fit();
    cluster
}

fn with_fleet(test: &str) -> Cluster {
    let plan = Plan::default().gateway_count(3).lease_ms(LEASE);
    Cluster::started(test, &plan)
}

fn shares() {
    let share = |cluster: &mut Cluster| {
        cluster.wait_for_answers(AnswerKind::Rows, 100);
        let answers = cluster.stop_load_and_check();
        let all: usize = answers.values().sum();
        (
            all - answers.get(&AnswerKind::Rows).copied().unwrap_or(0),
            all,
        )
    };
    let mut fleet = with_fleet("bench-lost");
    fleet.start_load();
    timed(&fleet, 1, 5);
    let (back, all) = share(&mut fleet);
    println!("\nNot settled of all while five changes were made: a fleet {back} of {all}");
    let mut alone = without_fleet("bench-sighup");
    alone.start_load();
    for value in 2..7 {
        for g in 0..3 {
            alone.edit_config_and_reload(g, |config| {
                config["settings"]["policy_limits"]["max_attempts"] = json!(value);
            });
            let seen = value as usize - 1;
            wait_until("it holds", || {
                alone.log(g).matches("configuration reloaded").count() >= seen
            });
        }
    }
    let (back, all) = share(&mut alone);
    println!("SIGHUP, one gateway after the other: {back} of {all}");
}

fn cost_of_a_call() {
    let (mut on, mut off) = (with_fleet("bench-on"), without_fleet("bench-off"));
    let mut ratios = Vec::new();
    for _ in 0..5 {
        let cost = |cluster: &mut Cluster| {
            cluster.start_load();
            cluster.wait_for_answers(AnswerKind::Rows, 50);
            let (had, used) = (
                cluster.request_log.answer_counts()[&AnswerKind::Rows],
                processor(cluster.pid(1)),
            );
            cluster.wait_for_answers(AnswerKind::Rows, 1200);
            let (has, uses) = (
                cluster.request_log.answer_counts()[&AnswerKind::Rows],
                processor(cluster.pid(1)),
            );
            cluster.stop_load_and_check();
            // Three gateways serve alike.
            (uses - used) / (has - had) as f64 * 3.0 * 1e6
        };
        let (with, without) = (cost(&mut on), cost(&mut off));
        println!("processor for a call: {with:.0} us in a fleet, {without:.0} us alone");
        ratios.push(with / without);
    }
    println!(
        "ratio, median of five pairs: {:.2}",
        quantile(&mut ratios, 0.5)
    );
}

/// A leader alone with so many members that heartbeat, in virtual time: its processor for a second of that.
fn single_voter(members: usize) {
    let policy = json!({"band": []});
    let image = Replica::bootstrap_image("a", 1, 7, policy, None).unwrap();
    let log = Logger::root(Discard, o!());
    let lease = LEASE as f64;
    let mut replica: Replica<Value> = Replica::open("a", 0, lease, &image, 0.0, &log).unwrap();
    let mut all: Vec<Member> = (0..members)
        .map(|m| Member::new(&format!("g{m}"), m as u64 + 1, false, lease))
        .collect();
    let (mut now, mut bytes, mut heartbeats, mut since) = (0.0, 0usize, 0usize, Instant::now());
    let seconds = 60.0;
    while now < 20_000.0 + seconds * 1000.0 {
        if (now - 20_000.0f64).abs() < TICK / 2.0 {
            (bytes, heartbeats, since) = (0, 0, Instant::now());
        }
        now += TICK;
        let mut outs = replica.tick(now);
        for (m, member) in all.iter_mut().enumerate() {
            for action in member.handle::<Value>(now, Input::Due) {
                if let Action::Heartbeat(heartbeat) = action {
                    heartbeats += 1;
                    bytes += serde_json::to_vec(&heartbeat).unwrap().len();
                    outs.extend(replica.heartbeat(now, m as u64, heartbeat));
                }
            }
        }
        while !outs.is_empty() {
            let mut next = Vec::new();
            for out in outs {
                match out {
                    Output::Save(_) => next.extend(replica.save_completed(now)),
                    Output::HeartbeatResponse(m, answer) => {
                        bytes += serde_json::to_vec(&answer).unwrap().len();
                        let member = &mut all[m as usize];
                        for action in member.handle(now, Input::Answered(answer)) {
                            if let Action::Apply { policy_index, .. } = action {
                                member.handle::<Value>(now, Input::Applied { policy_index });
                            }
                        }
                    }
                    _ => {}
                }
            }
            outs = next;
        }
    }
    let held = all.iter().filter(|m| m.has_lease(now)).count();
    let used = since.elapsed().as_secs_f64() / seconds * 100.0;
    println!(
        "| {members} | {held} | {:.1} | {:.0} | {used:.2} |",
        heartbeats as f64 / seconds,
        bytes as f64 / seconds
    );
}

fn main() {
    // Cargo hands flags of its own to a bench.
    let only = std::env::args().skip(1).find(|a| !a.starts_with('-'));
    let wanted = |name: &str| only.as_ref().is_none_or(|o| o == name);
    if wanted("changes") {
        changes_and_idle();
    }
    if wanted("shares") {
        shares();
    }
    if wanted("call") {
        cost_of_a_call();
    }
    if wanted("keeper") {
        println!("\n| members | with a lease | beats a second | bytes a second, of beats and answers | processor, % of a core |");
        [10, 100, 300].into_iter().for_each(single_voter);
    }
}
