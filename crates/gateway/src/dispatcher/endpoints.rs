//! Applies endpoint lists: adds new endpoints, closes missing and restarted ones, and assigns cells.

use super::executor::KnownEndpoint;
use super::Dispatcher;
use ironstair::{Endpoint, EndpointState, Millis};
use ironstair_runtime::{fnv1a_64, DiscoveredEndpoint, EngineMessage};
use slog::info;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Start times that differ by less than this, in ms, count as equal: transmission as text rounds them.
const START_TIME_TOLERANCE: Millis = 1.0;

impl Dispatcher {
    /// Replaces the endpoint list.
    pub(super) fn update_endpoints(&mut self, list: BTreeMap<String, DiscoveredEndpoint>) {
        self.close_missing_endpoints(&list);
        self.release_engine_indices();
        self.executor.shared.endpoint_count.set(list.len());
        let mut endpoints = Vec::with_capacity(list.len());
        for (name, discovered) in list {
            endpoints.push(self.update_endpoint(name, discovered));
        }
        self.pass_endpoints_to_policy(&endpoints);
    }

    /// Applies a change of the cells. New attempts of open requests go to the tenant's current cells; attempts in
    /// flight finish at their engines.
    pub(super) fn reassign_cells(&mut self) {
        for index in 0..self.executor.requests.len() {
            if let Some(cells) = self.cells_of_request(index) {
                self.policy.restrict_to_cells(index, cells);
            }
        }
        let endpoints = self.known_endpoints();
        self.pass_endpoints_to_policy(&endpoints);
    }

    /// The cells that a request may use, one bit each; `None` if no open request has that index. If no cells are
    /// configured, it is 0 for every index, which allows every engine.
    fn cells_of_request(&self, index: usize) -> Option<u64> {
        let Some(directory) = &self.executor.cells else {
            return Some(0);
        };
        let request = self.executor.requests[index].as_ref()?;
        Some(directory.tenant_cells(request.tenant).0)
    }

    /// The cells of an engine, one bit each; 0 if no cells are configured.
    fn cells_of_engine(&self, id: u64) -> u64 {
        let directory = self.executor.cells.as_ref();
        directory.map_or(0, |directory| directory.engine_cells(id).0)
    }

    fn close_missing_endpoints(&mut self, list: &BTreeMap<String, DiscoveredEndpoint>) {
        for known in &mut self.executor.engines {
            if let Some(gone) = known.take_if(|known| !list.contains_key(&known.name)) {
                gone.close();
            }
        }
    }

    /// Releases the indices of engines that are gone, except those that an open request has tried: the policy still
    /// refers to these by their indices.
    fn release_engine_indices(&mut self) {
        let executor = &mut self.executor;
        for index in 0..executor.engines.len() {
            let is_gone = executor.engines[index].is_none();
            let mut requests = executor.requests.iter().flatten();
            if is_gone && !requests.any(|request| request.tried_engines.contains(&index)) {
                executor.engine_ids.release(index);
            }
        }
    }

    /// Applies one entry of the list and returns it as the policy's endpoint.
    fn update_endpoint(&mut self, name: String, discovered: DiscoveredEndpoint) -> Endpoint {
        let id = fnv1a_64(name.as_bytes());
        let cells = self.cells_of_engine(id);
        let executor = &mut self.executor;
        let index = executor.engine_ids.intern(id);
        if executor.engines.len() <= index {
            executor.engines.resize_with(index + 1, || None);
        }
        let endpoint = policy_endpoint(index, id, cells, &discovered);
        let slot = &mut executor.engines[index];
        if let Some(previous) = slot.take_if(|known| is_restarted(known, &discovered)) {
            previous.close();
        }
        if let Some(known) = slot {
            update_state(known, discovered.state);
            known.discovered = discovered;
            return endpoint;
        }
        info!(
            executor.shared.log, "endpoint discovered";
            "id" => format!("{id:012x}"), "name" => &name,
            "zone" => discovered.zone, "kind" => discovered.machine_type
        );
        *slot = Some(KnownEndpoint {
            name,
            state: Rc::new(Cell::new(discovered.state)),
            discovered,
            queue: None,
            connection_count: Rc::default(),
        });
        endpoint
    }

    /// The current endpoint list in the policy's form.
    fn known_endpoints(&self) -> Vec<Endpoint> {
        let executor = &self.executor;
        let engines = executor.engines.iter().enumerate();
        let known = engines.filter_map(|(index, known)| Some((index, known.as_ref()?)));
        let endpoints = known.map(|(index, known)| {
            let id = executor.engine_ids.id(index);
            policy_endpoint(index, id, self.cells_of_engine(id), &known.discovered)
        });
        endpoints.collect()
    }

    fn pass_endpoints_to_policy(&mut self, endpoints: &[Endpoint]) {
        let executor = &mut self.executor;
        if let Some(cells) = &mut executor.cells {
            let is_ready = |endpoint: &&Endpoint| endpoint.state == EndpointState::Ready;
            let ready = endpoints.iter().filter(is_ready);
            cells.update_endpoints(ready.map(|endpoint| endpoint.id));
        }
        let now = executor.now;
        self.policy.update_endpoints(now, true, endpoints, executor);
    }
}

fn policy_endpoint(
    engine: usize,
    id: u64,
    cells: u64,
    discovered: &DiscoveredEndpoint,
) -> Endpoint {
    Endpoint {
        engine,
        id,
        zone: discovered.zone,
        machine_type: discovered.machine_type,
        dedup_domain: discovered.dedup_domain,
        cells,
        state: discovered.state,
        started_at: discovered.started_at,
    }
}

/// Whether the address or the start time shows that another process now serves the endpoint.
fn is_restarted(known: &KnownEndpoint, discovered: &DiscoveredEndpoint) -> bool {
    let start_difference = known.discovered.started_at - discovered.started_at;
    known.discovered.address != discovered.address || start_difference.abs() >= START_TIME_TOLERANCE
}

fn update_state(known: &KnownEndpoint, state: EndpointState) {
    let has_changed = known.state.replace(state) != state;
    if !has_changed || state == EndpointState::Ready {
        return;
    }
    if let Some(queue) = &known.queue {
        // If the queue is full, no message is needed: the attempts in it read the state right before they are written.
        let _ = queue.try_send(EngineMessage::EndpointStateChanged);
    }
}
