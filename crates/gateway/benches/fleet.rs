//! CPU time, traffic and duration of changes in a fleet of gateway processes on loopback with stub clients and engines,
//! and the cost of a single voter with up to 300 members: `cargo bench -p ironstair-gateway --bench fleet`

use ironstair_coordination::member::{Action, Input};
use ironstair_coordination::Member;
use ironstair_raft_replica::{Output, Replica, TICK};
use ironstair_test_cluster::cluster::{wait_until, Cluster, Isolation, Plan, StartupFiles};
use ironstair_test_cluster::invariants::AnswerKind;
use serde_json::{json, Value};
use slog::{o, Discard, Logger};
use std::time::{Duration, Instant};

/// The setting that the benchmark changes: the maximum number of attempts per request.
const MAX_ATTEMPTS_PATH: &str = "/settings/forwards-most";
const CHANGE_COUNT: usize = 12;
const LEASE_MS: u32 = 3000;

fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * fraction).round() as usize]
}

/// Makes changes through a gateway, and returns the duration of each in milliseconds.
fn change_durations_ms(cluster: &Cluster, gateway: usize, change_count: usize) -> Vec<f64> {
    let duration_ms = |index: usize| {
        let value = (2 + index % 5).to_string();
        let started_at = Instant::now();
        cluster
            .set(gateway, &[MAX_ATTEMPTS_PATH, &value])
            .assert_success();
        started_at.elapsed().as_secs_f64() * 1000.0
    };
    (0..change_count).map(duration_ms).collect()
}

/// When a gateway applied settings, in milliseconds of the day, read from its log.
fn application_times_ms(log: &str) -> Vec<f64> {
    let lines = log.lines().filter(|line| line.contains("settings changed"));
    let times = lines.filter_map(|line| {
        let clock: Vec<f64> = line
            .split(' ')
            .nth(2)?
            .split(':')
            .filter_map(|part| part.parse().ok())
            .collect();
        Some(clock[0] * 3.6e6 + clock[1] * 6e4 + clock[2] * 1e3)
    });
    times.collect()
}

/// Each change has two steps: first every gateway applies the stricter of the old and the new settings, then the new
/// ones. Of the last changes, returns the longest time between the first and the last gateway that applied a step,
/// and the shortest time from the last gateway that applied the first step to the first that applied the second.
fn step_spread_and_gap_ms(
    cluster: &Cluster,
    gateway_count: usize,
    change_count: usize,
) -> (f64, f64) {
    let times_by_gateway: Vec<Vec<f64>> = (0..gateway_count)
        .map(|gateway| application_times_ms(&cluster.log(gateway)))
        .collect();
    let step_times = |steps_back: usize| -> (f64, f64) {
        let times = times_by_gateway
            .iter()
            .map(|times| times[times.len() - steps_back]);
        times.fold((f64::INFINITY, 0.0), |(first, last), time| {
            (first.min(time), last.max(time))
        })
    };
    let changes: Vec<((f64, f64), (f64, f64))> = (1..=change_count)
        .map(|changes_back| {
            (
                step_times(2 * changes_back),
                step_times(2 * changes_back - 1),
            )
        })
        .collect();
    let max_spread = changes
        .iter()
        .flat_map(|(strict, new)| [strict.1 - strict.0, new.1 - new.0])
        .fold(0.0, f64::max);
    (
        max_spread,
        changes
            .iter()
            .map(|(strict, new)| new.0 - strict.1)
            .fold(f64::INFINITY, f64::min),
    )
}

/// CPU time that a process has used, in seconds. The kernel counts it in ticks of 10 ms.
fn cpu_time_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
}

fn measure_changes_and_idle_fleets() {
    println!("| gateways | duration of a change, p50 / p99, ms | with one gateway isolated: first change, median of three more, ms | longest time from first to last gateway in a step, ms | shortest time between steps, ms |");
    let mut idle_rows = Vec::new();
    for gateway_count in [3, 10, 30] {
        let plan = Plan::default()
            .gateway_count(gateway_count)
            .lease_ms(LEASE_MS);
        let cluster = Cluster::started(&format!("bench-{gateway_count}"), &plan);
        let mut durations_ms = change_durations_ms(&cluster, gateway_count - 1, CHANGE_COUNT);
        let (max_spread_ms, min_gap_ms) =
            step_spread_and_gap_ms(&cluster, gateway_count, CHANGE_COUNT);
        let leader = cluster.leader();
        let voter = (0..3).find(|voter| *voter != leader).unwrap();
        let member = gateway_count - 1;
        let usage = |gateway: usize| {
            (
                cpu_time_seconds(cluster.pid(gateway)),
                cluster.link_bytes(gateway),
            )
        };
        let (before, duration) = (
            [usage(leader), usage(voter), usage(member)],
            Duration::from_secs(10),
        );
        std::thread::sleep(duration);
        let after = [usage(leader), usage(voter), usage(member)];
        for (role, (before, after)) in ["leader", "voter", "member"]
            .iter()
            .zip(before.iter().zip(&after))
        {
            let seconds = duration.as_secs_f64();
            idle_rows.push(format!(
                "| {gateway_count} | {role} | {:.2} | {:.0} |",
                (after.0 - before.0) / seconds * 100.0,
                (after.1 - before.1) as f64 / seconds
            ));
        }
        let isolated = if leader == member { voter } else { member };
        cluster.isolate(isolated, Isolation::Full);
        let first_ms = change_durations_ms(&cluster, leader, 1)[0];
        let mut further_ms = change_durations_ms(&cluster, leader, 3);
        cluster.heal_links();
        println!(
            "| {gateway_count} | {:.0} / {:.0} | {:.0}, {:.0} | {max_spread_ms:.0} | {min_gap_ms:.0} |",
            quantile(&mut durations_ms, 0.5),
            quantile(&mut durations_ms, 0.99),
            first_ms,
            quantile(&mut further_ms, 0.5),
        );
    }
    println!(
        "\n| gateways | idle | CPU, % of a core | bytes per second over the links it opened |"
    );
    idle_rows.iter().for_each(|row| println!("{row}"));
}

/// Empties the operator file, so that the gateway has neither management nor a fleet.
fn clear_operator_file(_: usize, files: &mut StartupFiles) {
    files.operator = json!({});
}

/// Starts three gateways that are configured by files alone.
fn start_without_fleet(test: &str) -> Cluster {
    let plan = Plan::default()
        .gateway_count(3)
        .edit_config(clear_operator_file);
    let mut cluster = Cluster::prepare(test, &plan);
    (0..3).for_each(|gateway| cluster.start(gateway));
    cluster.wait_until_all_fit();
    cluster
}

/// Starts a fleet of three gateways.
fn start_with_fleet(test: &str) -> Cluster {
    let plan = Plan::default().gateway_count(3).lease_ms(LEASE_MS);
    Cluster::started(test, &plan)
}

fn measure_answers_without_rows() {
    let count_without_rows = |cluster: &mut Cluster| {
        cluster.wait_for_answers(AnswerKind::Rows, 100);
        let answers = cluster.stop_load_and_check();
        let total: usize = answers.values().sum();
        (
            total - answers.get(&AnswerKind::Rows).copied().unwrap_or(0),
            total,
        )
    };
    let mut fleet = start_with_fleet("bench-lost");
    fleet.start_load();
    change_durations_ms(&fleet, 1, 5);
    let (without_rows, total) = count_without_rows(&mut fleet);
    println!("\nAnswers without rows during five changes of a fleet: {without_rows} of {total}");
    let mut standalone = start_without_fleet("bench-sighup");
    standalone.start_load();
    for value in 2..7 {
        for gateway in 0..3 {
            standalone.edit_config_and_reload(gateway, |config| {
                config["settings"]["policy_limits"]["max_attempts"] = json!(value);
            });
            let expected_reloads = value as usize - 1;
            wait_until("the gateway has reloaded its configuration", || {
                standalone
                    .log(gateway)
                    .matches("configuration reloaded")
                    .count()
                    >= expected_reloads
            });
        }
    }
    let (without_rows, total) = count_without_rows(&mut standalone);
    println!("With SIGHUP, one gateway after the other: {without_rows} of {total}");
}

fn measure_cpu_time_per_call() {
    let (mut in_fleet, mut standalone) = (
        start_with_fleet("bench-on"),
        start_without_fleet("bench-off"),
    );
    let mut ratios = Vec::new();
    for _ in 0..5 {
        let cpu_time_per_call_us = |cluster: &mut Cluster| {
            cluster.start_load();
            cluster.wait_for_answers(AnswerKind::Rows, 50);
            let (answers_before, cpu_before) = (
                cluster.request_log.answer_counts()[&AnswerKind::Rows],
                cpu_time_seconds(cluster.pid(1)),
            );
            cluster.wait_for_answers(AnswerKind::Rows, 1200);
            let (answers_after, cpu_after) = (
                cluster.request_log.answer_counts()[&AnswerKind::Rows],
                cpu_time_seconds(cluster.pid(1)),
            );
            cluster.stop_load_and_check();
            // The answers are those of three gateways with equal load, the CPU time is that of one.
            (cpu_after - cpu_before) / (answers_after - answers_before) as f64 * 3.0 * 1e6
        };
        let (fleet_us, standalone_us) = (
            cpu_time_per_call_us(&mut in_fleet),
            cpu_time_per_call_us(&mut standalone),
        );
        println!(
            "CPU time per call: {fleet_us:.0} us in a fleet, {standalone_us:.0} us without one"
        );
        ratios.push(fleet_us / standalone_us);
    }
    println!(
        "ratio, median of five pairs: {:.2}",
        quantile(&mut ratios, 0.5)
    );
}

/// Runs a leader without other voters in virtual time, with members that send heartbeats, and prints its CPU time per
/// second of virtual time.
fn measure_single_voter(member_count: usize) {
    let policy = json!({"band": []});
    let image = Replica::bootstrap_image("a", 1, 7, policy, None).unwrap();
    let log = Logger::root(Discard, o!());
    let lease_ms = LEASE_MS as f64;
    let mut replica: Replica<Value> = Replica::open("a", 0, lease_ms, &image, 0.0, &log).unwrap();
    let mut members: Vec<Member> = (0..member_count)
        .map(|index| Member::new(&format!("g{index}"), index as u64 + 1, false, lease_ms))
        .collect();
    let (mut now, mut bytes, mut heartbeats, mut started_at) =
        (0.0, 0usize, 0usize, Instant::now());
    // Measured after a warm-up of 20 seconds.
    let seconds = 60.0;
    while now < 20_000.0 + seconds * 1000.0 {
        if (now - 20_000.0f64).abs() < TICK / 2.0 {
            (bytes, heartbeats, started_at) = (0, 0, Instant::now());
        }
        now += TICK;
        let mut outputs = replica.tick(now);
        for (index, member) in members.iter_mut().enumerate() {
            for action in member.handle::<Value>(now, Input::Due) {
                if let Action::Heartbeat(heartbeat) = action {
                    heartbeats += 1;
                    bytes += serde_json::to_vec(&heartbeat).unwrap().len();
                    outputs.extend(replica.heartbeat(now, index as u64, heartbeat));
                }
            }
        }
        while !outputs.is_empty() {
            let mut next = Vec::new();
            for output in outputs {
                match output {
                    Output::Save(_) => next.extend(replica.save_completed(now)),
                    Output::HeartbeatResponse(index, answer) => {
                        bytes += serde_json::to_vec(&answer).unwrap().len();
                        let member = &mut members[index as usize];
                        for action in member.handle(now, Input::Answered(answer)) {
                            if let Action::Apply { policy_index, .. } = action {
                                member.handle::<Value>(now, Input::Applied { policy_index });
                            }
                        }
                    }
                    _ => {}
                }
            }
            outputs = next;
        }
    }
    let leases = members
        .iter()
        .filter(|member| member.has_lease(now))
        .count();
    let cpu_percent = started_at.elapsed().as_secs_f64() / seconds * 100.0;
    println!(
        "| {member_count} | {leases} | {:.1} | {:.0} | {cpu_percent:.2} |",
        heartbeats as f64 / seconds,
        bytes as f64 / seconds
    );
}

fn main() {
    // An argument selects one measurement. Cargo adds flags of its own, such as `--bench`.
    let selected = std::env::args().skip(1).find(|arg| !arg.starts_with('-'));
    let is_selected = |name: &str| selected.as_ref().is_none_or(|selected| selected == name);
    if is_selected("changes") {
        measure_changes_and_idle_fleets();
    }
    if is_selected("shares") {
        measure_answers_without_rows();
    }
    if is_selected("call") {
        measure_cpu_time_per_call();
    }
    if is_selected("keeper") {
        println!("\n| members | with a lease | heartbeats per second | bytes per second, of heartbeats and responses | CPU, % of a core |");
        [10, 100, 300].into_iter().for_each(measure_single_voter);
    }
}
