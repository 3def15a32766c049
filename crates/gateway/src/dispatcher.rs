//! The module's actor: the only caller of the decisions. It carries out what they ask for, owns their timer
//! and what is known of each request, and never waits on a peer.

use crate::engine::Engine;
use async_channel::{Receiver, Sender};
use ironstair::interner::Interner;
use ironstair::policy::Gateway;
use ironstair::{Actions, Endpoint, EndpointState, Ms, Outcome, PolicyConfig, Request};
use ironstair_cells::{CellDirectory, Cells, Goes};
use ironstair_coordination::Share;
use ironstair_data_tree::state::{self, Counts, Snapshot};
use ironstair_recovery::{stage, Facts};
use ironstair_runtime::pool::Chain;
use ironstair_runtime::wait::next;
use ironstair_runtime::window::{Amendment, ManagementCommand, Window};
use ironstair_runtime::{
    number, Attempt, DiscoveredEndpoint, Event, Id, NewRequest, Order, Reply, Shared,
};
use slog::info;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// What may lie in an engine's mailbox: beyond that nothing is sent there, and the module is told so.
const MAILBOX: usize = 1024;

struct Held {
    call: u64,
    class: usize,
    at: Ms,
    tenant: u64,
    limit: Ms,
    statement: Rc<Chain>,
    once: Option<Rc<str>>,
    priority: Option<u8>,
    client: Option<Sender<Reply>>,
    waits: Rc<Cell<bool>>,
    engine: Option<usize>,
    /// The attempt that is out.
    out: Option<Rc<Attempt>>,
    /// The cells of that when it was forwarded there.
    cells: u64,
    /// Engines it was forwarded to: the module remembers them as long as it is held.
    met: Vec<usize>,
}

struct Known {
    name: String,
    place: DiscoveredEndpoint,
    /// Its actor's mailbox, once it was asked for something: one that never is costs no more than its line.
    orders: Option<Sender<Order>>,
    connections: Rc<Cell<u32>>,
    state: Rc<Cell<EndpointState>>,
}

impl Known {
    /// This process of the engine is over: its actor ends with what it holds. What still lies in its mailbox must not
    /// begin on the way there.
    fn close(&self) {
        self.state.set(EndpointState::Gone);
        if let Some(orders) = &self.orders {
            orders.close();
        }
    }
}

struct ActionExecutor {
    shared: Rc<Shared>,
    now: Ms,
    subs: Interner<Id>,
    held: Vec<Option<Held>>,
    open: usize,
    names: Interner<u64>,
    engines: Vec<Option<Known>>,
    wake: Option<Ms>,
    ends: Ms,
    /// By class, since the start.
    counts: Vec<Counts>,
    /// Which cells engines and tenants are in, where there are any.
    cells: Option<CellDirectory>,
    /// In a fleet that counts its members: the terms, and the share that goes before what they say of all gateways.
    policy_config: Option<PolicyConfig>,
    share: Option<Share>,
}

impl ActionExecutor {
    fn new(shared: Rc<Shared>, cells: Option<CellDirectory>) -> Self {
        ActionExecutor {
            now: shared.clock.now(),
            shared,
            subs: Interner::default(),
            held: Vec::new(),
            open: 0,
            names: Interner::default(),
            engines: Vec::new(),
            wake: None,
            ends: Ms::INFINITY,
            counts: Vec::new(),
            cells,
            policy_config: None,
            share: None,
        }
    }

    fn held(&mut self, request: usize) -> Option<&mut Held> {
        self.held.get_mut(request).and_then(Option::as_mut)
    }

    /// The one final answer: whoever asks for a second finds no client any more.
    fn answer(&mut self, request: usize, reply: impl FnOnce(u64) -> Reply) -> bool {
        let Some(h) = self.held(request) else {
            return false;
        };
        let Some(client) = h.client.take() else {
            return false;
        };
        // A client whose connection is gone needs no answer; one that reads none of so many loses its connection.
        if client.try_send(reply(h.call)).is_err() {
            client.close();
        }
        true
    }

    fn count(&mut self, class: usize) -> &mut Counts {
        if self.counts.len() <= class {
            self.counts.resize(class + 1, Counts::default());
        }
        &mut self.counts[class]
    }

    /// Counts what becomes of a request whose client still waits.
    fn counted(&mut self, request: usize, add: impl FnOnce(&mut Counts)) {
        let waited = self
            .held(request)
            .filter(|h| h.client.is_some())
            .map(|h| h.class);
        if let Some(class) = waited {
            add(self.count(class));
        }
    }

    fn order(&mut self, engine: usize, order: Order) -> bool {
        let Some(e) = self.engines.get_mut(engine).and_then(Option::as_mut) else {
            return false;
        };
        let orders = e.orders.get_or_insert_with(|| {
            let (orders, mailbox) = async_channel::bounded(MAILBOX);
            let (shared, own) = (self.shared.clone(), orders.clone());
            let actor = Engine::new(engine, e.place.address, shared, own, e.connections.clone());
            self.shared.executor.spawn(actor.run(mailbox)).detach();
            orders
        });
        orders.try_send(order).is_ok()
    }
}

impl ActionExecutor {
    /// An attempt has ended; its tenant's move may be over with it.
    fn left_its_cell(&mut self, request: usize) {
        let (now, Some(h)) = (self.now, self.held.get(request).and_then(Option::as_ref)) else {
            return;
        };
        let (tenant, cells) = (h.tenant, Cells(h.cells));
        if self
            .cells
            .as_mut()
            .is_some_and(|k| h.engine.is_some() && k.ended(now, tenant, cells))
        {
            info!(self.shared.log, "tenant {:012x} has moved", tenant);
        }
    }

    /// Settled, in time or not, its client still there.
    fn settled(&mut self, request: usize) {
        let (now, classes) = (self.now, self.shared.classes());
        let Some((class, at)) = self.held(request).map(|h| (h.class, h.at)) else {
            return;
        };
        let late = classes.get(class).is_some_and(|b| now - at > b.expected);
        let counts = self.count(class);
        counts.settled += 1;
        counts.late += late as u64;
    }
}

impl Actions for ActionExecutor {
    fn attempt(&mut self, request: usize, engine: usize, by: Ms) {
        let id = self.subs.id(request);
        let cells = self
            .cells
            .as_ref()
            .map_or(0, |k| k.engine(self.names.id(engine)).0);
        let known = self.engines.get(engine).and_then(Option::as_ref);
        let state = known.map_or_else(Rc::default, |e| e.state.clone());
        let Some(h) = self.held(request) else {
            return;
        };
        (h.engine, h.cells) = (Some(engine), cells);
        h.met.push(engine);
        let (class, statement, once, waits) = (
            h.class,
            h.statement.clone(),
            h.once.clone(),
            h.waits.clone(),
        );
        let (priority, begun, by) = (Cell::new(h.priority), Cell::new(false), Cell::new(by));
        let of = Attempt {
            id,
            class,
            statement,
            once,
            priority,
            limit: h.limit,
            by,
            waits,
            state,
            begun,
        };
        let of = Rc::new(of);
        h.out = Some(of.clone());
        self.count(class).released += 1;
        if !self.order(engine, Order::Attempt(of)) {
            // Nobody is there to tell how it ended.
            let ended = Event::Ended {
                id,
                what: Outcome::Unsent,
                rows: None,
            };
            let module = self.shared.module.clone();
            self.shared
                .executor
                .spawn(async move { module.send(ended).await.unwrap_or(()) })
                .detach();
        }
    }
    fn withdraw(&mut self, request: usize, _nth: u8) {
        let Some(h) = self.held(request) else {
            return;
        };
        let (Some(engine), Some(of)) = (h.engine, h.out.clone()) else {
            return;
        };
        of.withdraw();
        if !self.order(engine, Order::Withdraw(of.clone())) {
            // A full mailbox must not swallow it: what it withdraws would stay out until its time is up.
            let known = self.engines.get(engine).and_then(Option::as_ref);
            if let Some(orders) = known.and_then(|e| e.orders.clone()) {
                let late = async move { orders.send(Order::Withdraw(of)).await.unwrap_or(()) };
                self.shared.executor.spawn(late).detach();
            }
        }
    }
    fn set_priority(&mut self, request: usize, priority: u8, _grant_mb: f64) {
        // The engines' lines have no word for memory.
        let id = self.subs.id(request);
        let Some(h) = self.held(request) else {
            return;
        };
        h.priority = Some(priority);
        if let Some(engine) = h.engine {
            self.order(engine, Order::Priority(id, priority));
        }
    }
    fn reject(&mut self, request: usize, retry_after: Ms) {
        self.counted(request, |c| c.rejected += 1);
        self.answer(request, |call| Reply::Rejected(call, retry_after));
    }
    fn fail(&mut self, request: usize) {
        self.counted(request, |c| c.failed += 1);
        self.answer(request, Reply::Failed);
    }
    fn subscribe(&mut self) {
        // The list's actor always follows.
    }
    fn probe(&mut self, engine: usize) {
        self.order(engine, Order::Report);
    }
    fn wake(&mut self, after: Ms) {
        // In the place of one that is due by now: that would find nothing due yet, and nobody would ask again.
        self.wake = Some(self.now + after);
    }
    fn note(&mut self, text: &str) {
        info!(self.shared.log, "{}", text);
    }
    fn forget(&mut self, request: usize) {
        if self
            .held
            .get_mut(request)
            .is_some_and(|held| held.take().is_some())
        {
            self.open -= 1;
            self.shared.gauges.open.set(self.open);
        }
        self.subs.release(request);
    }
}

/// Where to show what is known, and the names of zones and kinds.
pub struct Shown {
    pub window: Arc<Window>,
    pub zones: Vec<Arc<str>>,
    pub kinds: Vec<Arc<str>>,
}

pub async fn decide(
    mut gateway: Gateway,
    shared: Rc<Shared>,
    events: Receiver<Event>,
    shown: Option<Shown>,
    cells: Option<CellDirectory>,
) {
    let mut executor = ActionExecutor::new(shared, cells);
    // In a fleet nothing is decided before it has said until when.
    gateway.renew_lease(
        executor.now,
        executor.shared.lease_until.get(),
        &mut executor,
    );
    gateway.quarantine_keys(executor.shared.gauges.key_quarantine.get());
    loop {
        let Ok(event) = next(&executor.shared.clock, &events, executor.wake).await else {
            return;
        };
        let now = executor.shared.clock.now();
        executor.now = now;
        match event {
            None => {
                executor.wake = None;
                gateway.due(now, &mut executor);
            }
            Some(Event::NewRequest(t)) => take(&mut gateway, &mut executor, *t),
            Some(Event::Left(id, client)) => {
                let Some(s) = executor.subs.find(id) else {
                    continue;
                };
                // Only its own client takes it back, not who sent another under the same id.
                let own =
                    |h: &&mut Held| h.client.as_ref().is_some_and(|c| c.same_channel(&client));
                if let Some(h) = executor.held[s].as_mut().filter(own) {
                    h.client = None;
                    let class = h.class;
                    executor.count(class).left += 1;
                    gateway.left(now, s, &mut executor);
                }
            }
            Some(Event::Closed(id, client)) => {
                let Some(s) = executor.subs.find(id) else {
                    continue;
                };
                let own = |h: &Held| h.client.as_ref().is_some_and(|c| c.same_channel(&client));
                if executor.held[s].as_ref().is_some_and(own) {
                    gateway.closed(now, s, &mut executor);
                }
            }
            Some(Event::Ended { id, what, rows }) => {
                let Some(s) = executor.subs.find(id) else {
                    continue;
                };
                executor.left_its_cell(s);
                let open = executor.held[s].as_mut().is_some_and(|h| {
                    (h.engine, h.out) = (None, None);
                    h.client.is_some()
                });
                if open && rows.is_some() {
                    executor.settled(s);
                }
                let settled =
                    rows.is_some_and(|rows| executor.answer(s, |call| Reply::Settled(call, rows)));
                gateway.outcome(now, s, what, settled || !open, &mut executor);
            }
            Some(Event::Report { engine, values }) => {
                gateway.report(now, engine, &values, &mut executor)
            }
            Some(Event::Ending(at)) => {
                executor.ends = at;
                gateway.ending(now, at, &mut executor);
            }
            Some(Event::Endpoints(lines)) => update_endpoints(&mut gateway, &mut executor, lines),
            Some(Event::Command(request)) => match (request, &shown) {
                (ManagementCommand::Show, Some(shown)) => show(&gateway, &mut executor, shown),
                (ManagementCommand::Amend(to), _) => amend(&mut gateway, &mut executor, *to),
                (ManagementCommand::Lease(until, share), _) => {
                    executor.shared.lease_until.set(until);
                    if let Some(share) =
                        share.filter(|s| executor.share.is_none_or(|was| s.differs(was)))
                    {
                        executor.share = Some(share);
                        let policy_config = executor.policy_config.as_ref().map(|m| share.of(m));
                        policy_config
                            .into_iter()
                            .for_each(|m| gateway.amend(now, m, &mut executor));
                    }
                    gateway.renew_lease(now, until, &mut executor);
                }
                (ManagementCommand::Show, None) => {}
            },
        }
    }
}

/// Other terms: what is open was taken under the old ones and is counted under its class's index.
fn amend(gateway: &mut Gateway, executor: &mut ActionExecutor, to: Amendment) {
    executor.shared.classes.replace(Rc::new(to.classes));
    executor.shared.longest.set(to.longest);
    if let Some(transport_config) = to.transport_config {
        executor
            .shared
            .transport_config
            .replace(Rc::new(transport_config));
    }
    if let Some(cells) = to
        .cells
        .filter(|cells| executor.cells.is_some() || cells.is_some())
    {
        let was = std::mem::replace(&mut executor.cells, cells);
        if let (Some(is), Some(was)) = (&mut executor.cells, &was) {
            let out = executor
                .held
                .iter()
                .flatten()
                .filter(|h| h.engine.is_some());
            is.succeeds(executor.now, was, out.map(|h| (h.tenant, Cells(h.cells))));
            if is.moving() > 0 {
                info!(executor.shared.log, "tenants move to other cells"; "tenants" => is.moving());
            }
        }
        move_tenants(gateway, executor);
    }
    let shared = executor.share.map(|s| s.of(&to.policy_config));
    // In a fleet the share changes while the terms stay.
    if executor.shared.lease_until.get().is_finite() {
        executor.policy_config = Some(to.policy_config.clone());
    }
    gateway.amend(executor.now, shared.unwrap_or(to.policy_config), executor);
    let _ = to.done.try_send(());
}

/// Engines and tenants go by other cells from now on. New attempts of what is open go where its tenant is now; what
/// runs finishes where it is.
fn move_tenants(gateway: &mut Gateway, executor: &mut ActionExecutor) {
    let Some(cell_directory) = &mut executor.cells else {
        (0..executor.held.len()).for_each(|s| gateway.confine(s, 0));
        let cells = |_: u64| 0;
        let lines = lines(&executor.engines, &executor.names, cells);
        return gateway.update_endpoints(executor.now, true, &lines, executor);
    };
    let lines = lines(&executor.engines, &executor.names, |id| {
        cell_directory.engine(id).0
    });
    cell_directory.update_endpoints(
        lines
            .iter()
            .filter(|l| l.state == EndpointState::Ready)
            .map(|l| l.id),
    );
    for (s, held) in executor.held.iter().enumerate() {
        if let Some(h) = held {
            gateway.confine(s, cell_directory.tenant(h.tenant).0);
        }
    }
    gateway.update_endpoints(executor.now, true, &lines, executor);
}

/// The endpoint list as it stands, for the module.
fn lines(
    engines: &[Option<Known>],
    names: &Interner<u64>,
    cells: impl Fn(u64) -> u64,
) -> Vec<Endpoint> {
    let known = engines
        .iter()
        .enumerate()
        .filter_map(|(i, e)| e.as_ref().map(|e| (i, &e.place)));
    let line = |(engine, p): (usize, &DiscoveredEndpoint)| {
        let (
            id,
            DiscoveredEndpoint {
                zone,
                kind,
                marks,
                state,
                since,
                ..
            },
        ) = (names.id(engine), p.clone());
        Endpoint {
            engine,
            id,
            zone,
            kind,
            marks,
            cells: cells(id),
            state,
            since,
        }
    };
    known.map(line).collect()
}

/// Engines whose figures are as they were keep their entry, so that who reads finds quickly what has changed.
fn show(gateway: &Gateway, executor: &mut ActionExecutor, shown: &Shown) {
    let (window, shared) = (&shown.window, executor.shared.clone());
    let was = window.latest();
    let mut inflight = vec![0u32; executor.engines.len()];
    executor
        .held
        .iter()
        .flatten()
        .filter_map(|h| h.engine)
        .for_each(|e| inflight[e] += 1);
    let named = |names: &[Arc<str>], i: u16| {
        names
            .get(i as usize)
            .cloned()
            .unwrap_or_else(|| "unknown".into())
    };
    let mut engines = was.engines.clone();
    let listed: BTreeMap<&str, usize> = executor
        .engines
        .iter()
        .enumerate()
        .filter_map(|(i, e)| e.as_ref().map(|e| (e.name.as_str(), i)))
        .collect();
    let gone = was
        .engines
        .keys()
        .filter(|name| !listed.contains_key(&***name));
    gone.for_each(|name| drop(engines.remove(name)));
    for (name, i) in listed {
        let (Some(e), Some(view)) = (&executor.engines[i], gateway.engine_view(i)) else {
            continue;
        };
        let is = state::Engine {
            id: executor.names.id(i),
            address: e.place.address.to_string(),
            zone: named(&shown.zones, e.place.zone),
            kind: named(&shown.kinds, e.place.kind),
            marks: e.place.marks,
            cells: executor.cells.as_ref().map_or("".into(), |k| {
                k.names(k.engine(executor.names.id(i))).into()
            }),
            since: e.place.since,
            inflight: inflight[i],
            connections: e.connections.get(),
            view,
        };
        if engines.get(name) != Some(&is) {
            engines.insert(name.into(), is);
        }
    }
    let config = shared.classes();
    let classes = config.iter().enumerate().map(|(b, t)| state::Class {
        name: t.name.clone(),
        in_service: t.in_service,
        counts: *executor.count(b),
        view: gateway.class_view(b).unwrap_or_default(),
    });
    let classes = classes.collect();
    let (lent, most) = shared.pool.lent();
    let facts = Facts {
        has_lease: shared.holds_lease(),
        has_heard_list: shared.gauges.heard.get() > 0.0,
        key_quarantine: shared.gauges.key_quarantine.get(),
        has_slow_start_share: executor.share.map(|s| s.taken),
    };
    let (stage, why) = stage(executor.now, &facts);
    let view = Snapshot {
        at: executor.now,
        engines,
        classes,
        source: shared.gauges.source.borrow().clone(),
        serial: shared.gauges.serial.get(),
        heard: shared.gauges.heard.get(),
        connections: shared.gauges.connections.get(),
        connections_most: shared.gauges.connections_most.get(),
        open: executor.open as u32,
        lent: lent as u32,
        buffers_most: most as u32,
        started: shared.clock.started(),
        ending: executor.ends.is_finite(),
        stage: (stage.as_str(), why.unwrap_or_default()),
    };
    window.show(view);
}

fn take(gateway: &mut Gateway, executor: &mut ActionExecutor, t: NewRequest) {
    if executor.subs.find(t.id).is_some() {
        // An id in use: its first bearer keeps it.
        let _ = t.client.try_send(Reply::Unusable(t.call));
        return;
    }
    if executor.open >= executor.shared.transport_config().max_open_requests {
        // The bound on open requests that the settings name: at the door, before it is the module's.
        let _ = t.client.try_send(Reply::Rejected(t.call, 0.0));
        return;
    }
    let (now, tenant) = (executor.now, t.tenant.unwrap_or(t.of.tables));
    let cells = match executor.cells.as_mut().map(|k| k.goes(now, tenant)) {
        None => 0,
        Some(Goes::To(cells)) => cells.0,
        Some(Goes::Rejected { retry_after }) => {
            // Its cells have no ready engine: at the door, as the operator chose.
            let _ = t.client.try_send(Reply::Rejected(t.call, retry_after));
            return;
        }
    };
    executor.open += 1;
    executor.shared.gauges.open.set(executor.open);
    let s = executor.subs.admit(t.id);
    if executor.held.len() <= s {
        executor.held.resize_with(s + 1, || None);
    }
    let limit = (t.at + t.of.left).min(executor.ends);
    executor.count(t.of.class).taken += 1;
    executor.held[s] = Some(Held {
        call: t.call,
        class: t.of.class,
        at: t.at,
        tenant,
        limit,
        statement: Rc::new(t.statement),
        once: t.once,
        priority: None,
        client: Some(t.client),
        waits: t.waits,
        engine: None,
        out: None,
        cells: 0,
        met: Vec::new(),
    });
    gateway.take(
        executor.now,
        s,
        Request {
            left: limit - executor.now,
            cells,
            ..t.of
        },
        executor,
    );
}

fn update_endpoints(
    gateway: &mut Gateway,
    executor: &mut ActionExecutor,
    lines: BTreeMap<String, DiscoveredEndpoint>,
) {
    for at in 0..executor.engines.len() {
        if let Some(e) = executor.engines[at].take_if(|e| !lines.contains_key(&e.name)) {
            e.close();
        }
    }
    // The one place where an engine's index is given back: once it is gone and no request held met it.
    for at in 0..executor.engines.len() {
        if executor.engines[at].is_none()
            && !executor.held.iter().flatten().any(|h| h.met.contains(&at))
        {
            executor.names.release(at);
        }
    }
    executor.shared.listed.set(lines.len());
    let mut listed = Vec::new();
    for (name, place) in lines {
        let id = number(name.as_bytes());
        let engine = executor.names.admit(id);
        if executor.engines.len() <= engine {
            executor.engines.resize_with(engine + 1, || None);
        }
        let cells = executor.cells.as_ref().map_or(0, |k| k.engine(id).0);
        let DiscoveredEndpoint {
            zone,
            kind,
            marks,
            state,
            since,
            address,
        } = place;
        listed.push(Endpoint {
            engine,
            id,
            zone,
            kind,
            marks,
            cells,
            state,
            since,
        });
        let known = &mut executor.engines[engine];
        // Another process by now, maybe elsewhere.
        let anew = |e: &Known| e.place.address != address || (e.place.since - since).abs() >= 1.0;
        if let Some(e) = known.take_if(|e| anew(e)) {
            e.close();
        }
        if let Some(e) = known {
            e.place = place;
            if e.state.replace(state) != state && state != EndpointState::Ready {
                // Where the mailbox is full, what lies in it is looked at before its write all the same.
                e.orders
                    .iter()
                    .for_each(|orders| drop(orders.try_send(Order::EndpointStateChanged)));
            }
            continue;
        }
        info!(executor.shared.log, "engine {:012x} is {}", id, name; "zone" => zone, "kind" => kind);
        let state = Rc::new(Cell::new(state));
        *known = Some(Known {
            name,
            place,
            orders: None,
            connections: Rc::default(),
            state,
        });
    }
    if let Some(cell_directory) = &mut executor.cells {
        cell_directory.update_endpoints(
            listed
                .iter()
                .filter(|l| l.state == EndpointState::Ready)
                .map(|l| l.id),
        );
    }
    gateway.update_endpoints(executor.now, true, &listed, executor);
}

#[cfg(test)]
#[path = "dispatcher_tests.rs"]
mod tests;
