//! Start and drain.

use crate::config::{self, GatewayConfig};
use crate::connection_limiter::Places;
use crate::discovery::{List, Moved};
use crate::dispatcher::{decide, Shown};
use crate::operator_config::{self, Operator};
use crate::snapshot_store::{self, Memory};
use crate::{client, log, management};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{block_on, Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::future::{or, yield_now};
use futures_lite::StreamExt;
use ironstair::policy::Gateway;
use ironstair::Ms;
use ironstair_config_change::RunningConfig;
use ironstair_fleet_agent::fault_injection::taken_out;
use ironstair_runtime::clock::{span, Clock};
use ironstair_runtime::pool::Pool;
use ironstair_runtime::window::{self, Amendment, ManagementCommand};
use ironstair_runtime::{Event, Gauges, Shared};
use ironstair_settings::TransportConfig;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// After the word to end, clients go on opening connections and sending for up to 0.6 s.
const CLIENTS_COME_FOR: f64 = 700.0;
/// After the word to end, a gateway is left the longest hard limit, but not more than this, and `KILLED_AFTER`.
const AT_MOST: f64 = 3000.0;
const KILLED_AFTER: f64 = 700.0;
/// What writing the last answers may take of that.
const LAST_WORDS: f64 = 200.0;
/// What may lie in the module's mailbox before peers wait.
const MAILBOX: usize = 1024;
/// Descriptors that room is made for at the start: half a megabyte of the kernel's memory.
const ROOM_MOST: usize = 1 << 16;
/// How long the fleet may take to hear that this process ends.
const LEAVE_WITHIN: f64 = 80.0;
/// Without a free descriptor: how long until the next try.
const NO_DESCRIPTOR: f64 = 20.0;

/// How long after the word to end every request is to have its answer.
fn left(shared: &Shared) -> f64 {
    shared.longest.get().min(AT_MOST) + KILLED_AFTER - LAST_WORDS
}

/// Where other settings come from while the process serves.
#[derive(Clone, Copy)]
enum Settings {
    File,
    Management,
    Fleet,
}

/// What signals say, for as long as the process lives: also in a drain, none of them ends it at once.
async fn heed(
    mut signals: Signals,
    config: PathBuf,
    moves: Sender<Moved>,
    (renew, settings): (Option<management::Renew>, Settings),
    mut running_config: RunningConfig,
    places: Rc<Places>,
    shared: Rc<Shared>,
) {
    while let Some(signal) = signals.next().await {
        let log = &shared.log;
        match signal {
            Ok(Signal::Hup) => {
                // One word that waits is enough.
                if let Some(r) = &renew {
                    let _ = r.try_send(());
                }
                // All of it or none: settings that can't be leave the list where it is, too.
                let read = config::read(&config).and_then(|t| {
                    let new = running_config.reload(t.file()).map_err(|e| e.to_string())?;
                    Ok((new, t))
                });
                let (new, mut config) = match read {
                    Ok(read) => read,
                    Err(e) => {
                        warn!(log, "the new configuration can't be used, the old one stays"; "why" => e);
                        continue;
                    }
                };
                // What the carrying alone goes by may change as well.
                if new.is_some() || config.transport_config != *shared.transport_config() {
                    match settings {
                        Settings::File => {
                            running_config = new.unwrap_or(running_config);
                            take_over(&running_config, config.transport_config.clone(), &shared)
                                .await;
                        }
                        Settings::Management => {
                            warn!(
                                log,
                                "settings come by management, those of the file are not taken over"
                            );
                        }
                        Settings::Fleet => {
                            warn!(log, "settings are the fleet's, those of the file are not taken over: ironstair set --fleet");
                        }
                    }
                }
                config.under(running_config.name_index());
                let GatewayConfig {
                    names,
                    known,
                    rev,
                    index,
                    ..
                } = config;
                let _ = moves
                    .send(Moved {
                        names,
                        known,
                        rev,
                        index,
                    })
                    .await;
            }
            _ if places.begun() => info!(log, "told to end once more"),
            _ => {
                info!(log, "told to end");
                places.begin();
                let _ = shared
                    .module
                    .send(Event::Ending(shared.clock.now() + left(&shared)))
                    .await;
            }
        }
    }
}

/// Other settings, through the module's mailbox: before the list that may rest on them, which comes after.
async fn take_over(
    running_config: &RunningConfig,
    transport_config: TransportConfig,
    shared: &Shared,
) {
    let policy_config = running_config.policy_config();
    let (classes, longest) = ironstair_management::classes(
        running_config.registry(),
        running_config.document(),
        &policy_config,
    );
    let (done, config) = async_channel::bounded(1);
    let to = Amendment {
        policy_config,
        classes,
        longest,
        cells: None,
        transport_config: Some(transport_config),
        done,
    };
    let _ = shared
        .module
        .send(Event::Command(ManagementCommand::Amend(Box::new(to))))
        .await;
    if config.recv().await.is_ok() {
        let open = shared.classes().iter().filter(|b| b.in_service).count();
        info!(shared.log, "new settings hold"; "bands" => open);
    }
}

/// Has the kernel make room for so many descriptors, or for as many as it allows; tells how many it refused
/// and for how many there is room then.
///
/// Against state still for seconds under load: the table grows by doubling, and once several threads share
/// it, each time a connection is opened that no longer fits waits until all cores have come round
/// (`synchronize_rcu` in Linux). To be called while the process has one thread.
fn make_room(descriptors: usize) -> Option<(usize, usize)> {
    let wanted = descriptors.clamp(1, ROOM_MOST);
    let mut fewer = std::iter::successors(Some(wanted), |n| Some(n / 2)).take_while(|n| *n > 0);
    // One copy with the highest number, given back at once: the table keeps its size.
    let copied =
        |n: &usize| rustix::io::fcntl_dupfd_cloexec(std::io::stderr(), *n as i32 - 1).is_ok();
    let made = fewer.find(copied).unwrap_or(0);
    (made < wanted).then_some((wanted, made))
}

pub fn serve(path: &Path, operator: Option<Operator>, form: log::Form) -> Result<(), String> {
    let mut config = config::read(path)?;
    let refused = make_room(config.descriptors);
    let recovery = operator.as_ref().and_then(|o| o.recovery.as_ref());
    let begun = recovery.map(|r| snapshot_store::begin(&r.state, &mut config));
    let file = config.file();
    let management = operator.as_ref().and_then(|o| o.management.as_ref());
    let cells = operator.as_ref().and_then(|o| o.cells.as_ref());
    let management = match (management, &operator) {
        (Some(m), Some(of)) => Some(management::open(m, &config, of)?),
        _ => None,
    };
    let cells = match &management {
        Some(m) => m.cells(),
        None => cells.map(operator_config::cell_directory).transpose()?,
    };
    let (log, _guard, level) = log::open(&config.name, form);
    if let Some((wanted, made)) = refused {
        warn!(log, "there is room for fewer descriptors than told"; "told" => wanted, "room" => made);
    }
    let executor = Rc::new(LocalExecutor::new());
    let (module, events) = async_channel::bounded(MAILBOX);
    // What was set before the last end comes before what is told.
    let (policy_config, (classes, longest)) = match &management {
        Some(m) => (m.policy_config(), m.classes()),
        None => {
            let classes = config
                .classes
                .iter()
                .cloned()
                .zip(&config.policy_config.classes);
            let classes = classes.map(|(name, b)| window::ClassSummary {
                name,
                expected: b.expected,
                in_service: true,
            });
            let classes = classes.collect();
            (
                config.policy_config,
                (classes, config.transport_config.longest),
            )
        }
    };
    let in_fleet = management.as_ref().is_some_and(|m| m.in_fleet());
    let key_quarantine = policy_config.key_quarantine;
    let gateway = Gateway::new(policy_config, config.seed);
    let running_config = RunningConfig::new(file);
    let shared = Rc::new(Shared {
        clock: Clock::start(),
        // A third: what else there is grows with it, statements joined and answers being written.
        pool: Pool::of((config.memory_mb * 1e6 / 3.0) as usize),
        links_most: config.descriptors / 4,
        listed: Cell::new(0),
        // In a fleet nothing is decided before that has said until when.
        lease_until: Cell::new(if in_fleet && !taken_out("start") {
            0.0
        } else {
            f64::INFINITY
        }),
        classes: RefCell::new(Rc::new(classes)),
        longest: Cell::new(longest),
        gauges: Gauges::default(),
        tenants: operator
            .as_ref()
            .and_then(|o| o.cells.as_ref())
            .is_some_and(|c| c.named_by_clients),
        transport_config: RefCell::new(Rc::new(config.transport_config)),
        log: log.clone(),
        module: module.clone(),
        executor: executor.clone(),
    });
    if let Some(snapshot_store::Begun { rests, notes, .. }) = &begun {
        notes
            .iter()
            .for_each(|n| warn!(log, "of what the last process kept"; "why" => n));
        if *rests {
            shared
                .gauges
                .key_quarantine
                .set(shared.clock.now() + key_quarantine);
        }
    }
    let memory = begun.map(|begun| Memory::start(begun, shared.clone()));
    let fault = |what: &str, e: std::io::Error| format!("{what}: {e}");
    block_on(executor.run(async {
        // Before it listens: who finds it listening may send it a signal, which would end it without a word.
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
        let signals = signals.map_err(|e| fault("signals", e))?;
        let listener = Async::<TcpListener>::bind(config.listen).map_err(|e| fault("listen", e))?;
        module
            .try_send(Event::Endpoints(config.known))
            .map_err(|e| e.to_string())?;
        let shown = management.as_ref().map(|m| Shown {
            window: m.window.clone(),
            zones: config
                .index
                .zones
                .iter()
                .map(|n| n.as_str().into())
                .collect(),
            kinds: config
                .index
                .kinds
                .iter()
                .map(|n| n.as_str().into())
                .collect(),
        });
        executor
            .spawn(decide(gateway, shared.clone(), events, shown, cells))
            .detach();
        let (mut renew, mut leave) = (None, None);
        if let Some(m) = management {
            let running = m.start(&config.name, shared.clock, log.clone(), level)?;
            (renew, leave) = (Some(running.renew), running.leave);
            executor
                .spawn(management::carry(running.asked, module.clone()))
                .detach();
        }
        let settings = match (&renew, &leave) {
            (None, _) => Settings::File,
            (Some(_), None) => Settings::Management,
            (Some(_), Some(_)) => Settings::Fleet,
        };
        let (from, names, index, rev) =
            (config.listen.ip(), config.names, config.index, config.rev);
        let (moves, moved) = async_channel::bounded(1);
        let list = List {
            from,
            names,
            index,
            rev,
            module,
            log: log.clone(),
            shared: shared.clone(),
            memory: memory.clone(),
        };
        executor.spawn(list.follow(moved)).detach();
        // Clients keep to a third of the descriptors.
        shared.gauges.serial.set(config.rev);
        shared
            .gauges
            .connections_most
            .set((config.descriptors / 2) as u32);
        let places = Places::new(config.descriptors / 2, shared.gauges.connections.clone());
        let heeded = heed(
            signals,
            path.into(),
            moves,
            (renew, settings),
            running_config,
            places.clone(),
            shared.clone(),
        );
        executor.spawn(heeded).detach();
        info!(log, "serving"; "on" => config.listen);

        // Accepted, and without a place yet: not dropped with the wait for one.
        let waits = Cell::new(None);
        let accept = async {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        waits.set(Some(stream));
                        let place = places.take(&shared.clock).await;
                        let Some(stream) = waits.take() else { continue };
                        executor
                            .spawn(client::serve(stream, shared.clone(), place))
                            .detach();
                        // Each is heard before the next is let in, which may need its place.
                        yield_now().await;
                    }
                    Err(_) => {
                        let later = async {
                            Timer::after(span(NO_DESCRIPTOR)).await;
                        };
                        or(places.until_given_back(), later).await
                    }
                }
            }
        };
        let ends = Cell::new(Ms::INFINITY);
        let told_to_end = async {
            places.until_begun().await;
            ends.set(shared.clock.now() + left(&shared) + LAST_WORDS / 2.0);
            Timer::after(span(CLIENTS_COME_FOR)).await;
        };
        or(accept, told_to_end).await;
        // What the system has accepted is taken: none of it is left behind when the listener goes.
        let accepted = || {
            listener
                .get_ref()
                .accept()
                .and_then(|(stream, _)| Async::new(stream))
                .ok()
        };
        while let Some(stream) = waits.take().or_else(accepted) {
            let Some(place) = places.last(&shared.clock) else {
                break;
            };
            executor
                .spawn(client::serve(stream, shared.clone(), place))
                .detach();
        }
        drop(listener);
        places.close();
        // What the module gave up is answered by then; who still reads nothing or says half must not hold this up.
        let most = Timer::after(span(ends.get() - shared.clock.now()));
        or(places.until_empty(), async { _ = most.await }).await;
        info!(log, "all is answered");
        if let Some(memory) = memory {
            // A slow disk has what is left of the time, and a little where nothing is.
            memory
                .end((ends.get() - shared.clock.now()).max(LAST_WORDS))
                .await;
        }
        if let Some(leave) = leave {
            // Who says so needs no lease to run out before its fleet goes on without it.
            let (done, config) = tokio::sync::oneshot::channel();
            let said = leave
                .try_send(ironstair_fleet_agent::actor::AgentMessage::Leave(done))
                .is_ok();
            let most = async {
                Timer::after(span(LEAVE_WITHIN)).await;
            };
            or(async { drop(config.await) }, most).await;
            info!(log, "left the fleet"; "said" => said);
        }
        Ok(())
    }))
}
