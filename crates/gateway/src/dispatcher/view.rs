//! Publishes the gateway's state to readers in other threads.

use super::Dispatcher;
use ironstair_data_tree::state::{self, RecoveryStage, Snapshot};
use ironstair_recovery::{stage, StageInputs};
use ironstair_runtime::state_watch::StateWatch;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The name of a zone or machine type that the settings do not name.
const UNKNOWN_NAME: &str = "unknown";

/// Publishes the state as snapshots, in which zones and machine types appear by name.
pub(crate) struct StatePublisher {
    /// Holds the latest snapshot.
    pub(crate) watch: Arc<StateWatch>,
    /// Names of the zones, by index.
    pub(crate) zones: Vec<Arc<str>>,
    /// Names of the machine types, by index.
    pub(crate) machine_types: Vec<Arc<str>>,
}

impl Dispatcher {
    /// Publishes a snapshot of the state; does nothing if management is disabled.
    pub(super) fn publish_state(&mut self) {
        let Some(publisher) = self.state_publisher.take() else {
            return;
        };
        let snapshot = self.snapshot(&publisher);
        publisher.watch.publish(snapshot);
        self.state_publisher = Some(publisher);
    }

    fn snapshot(&mut self, publisher: &StatePublisher) -> Snapshot {
        let engines = self.engine_views(publisher);
        let classes = self.class_views();
        let executor = &self.executor;
        let shared = &executor.shared;
        let metrics = &shared.metrics;
        let buffers = shared.pool.usage();
        let inputs = StageInputs {
            has_lease: shared.holds_lease(),
            has_received_list: metrics.last_heard_at.get() > 0.0,
            key_quarantine_until: metrics.key_quarantine.get(),
            has_slow_start_share: executor.share.map(|share| share.is_granted),
        };
        let (stage, reason) = stage(executor.now, &inputs);
        Snapshot {
            at: executor.now,
            engines,
            classes,
            discovery_source: metrics.discovery_source.borrow().clone(),
            endpoint_list_serial: metrics.endpoint_list_serial.get(),
            last_heard_at: metrics.last_heard_at.get(),
            connections: metrics.client_connections.get(),
            max_client_connections: metrics.max_client_connections.get(),
            open_requests: executor.open_requests as u32,
            buffers_in_use: buffers.in_use as u32,
            max_buffers: buffers.max_buffers as u32,
            started_at: shared.clock.started_at(),
            shutting_down: executor.shutdown_at.is_finite(),
            stage: RecoveryStage {
                name: stage.as_str(),
                held_back_by: reason.unwrap_or_default(),
            },
        }
    }

    /// The engines by name. Unchanged engines keep the entry of the previous snapshot: the maps of both snapshots share
    /// it, so that a reader finds the changed entries quickly.
    fn engine_views(&self, publisher: &StatePublisher) -> state::EngineMap {
        let known = self.executor.engines.iter().enumerate();
        let known = known.filter_map(|(index, known)| Some((known.as_ref()?.name.as_str(), index)));
        let known: BTreeMap<&str, usize> = known.collect();
        let previous = publisher.watch.current();
        let mut engines = previous.engines.clone();
        for name in previous.engines.keys() {
            if !known.contains_key(&**name) {
                engines.remove(name);
            }
        }
        let in_flight = self.in_flight_by_engine();
        for (name, index) in known {
            let Some(engine) = self.engine_view(publisher, index, in_flight[index]) else {
                continue;
            };
            if engines.get(name) != Some(&engine) {
                engines.insert(name.into(), engine);
            }
        }
        engines
    }

    fn in_flight_by_engine(&self) -> Vec<u32> {
        let mut in_flight = vec![0; self.executor.engines.len()];
        let requests = self.executor.requests.iter().flatten();
        for sent in requests.filter_map(|request| request.sent_attempt.as_ref()) {
            in_flight[sent.engine] += 1;
        }
        in_flight
    }

    fn engine_view(
        &self,
        publisher: &StatePublisher,
        index: usize,
        in_flight: u32,
    ) -> Option<state::Engine> {
        let executor = &self.executor;
        let known = executor.engines[index].as_ref()?;
        let discovered = &known.discovered;
        let view = self.policy.engine_view(index)?;
        let id = executor.engine_ids.id(index);
        let cells = match &executor.cells {
            Some(directory) => directory.names(directory.engine_cells(id)).into(),
            None => "".into(),
        };
        Some(state::Engine {
            id,
            address: discovered.address.to_string(),
            zone: name_at(&publisher.zones, discovered.zone),
            machine_type: name_at(&publisher.machine_types, discovered.machine_type),
            dedup_domain: discovered.dedup_domain,
            cells,
            started_at: discovered.started_at,
            in_flight,
            connections: known.connection_count.get(),
            view,
        })
    }

    fn class_views(&mut self) -> Vec<state::Class> {
        let classes = self.executor.shared.classes();
        let classes = classes.iter().enumerate();
        let views = classes.map(|(index, class)| state::Class {
            name: class.name.clone(),
            in_service: class.in_service,
            counts: *self.executor.counts(index),
            view: self.policy.class_view(index).unwrap_or_default(),
        });
        views.collect()
    }
}

fn name_at(names: &[Arc<str>], index: u16) -> Arc<str> {
    let name = names.get(index as usize).cloned();
    name.unwrap_or_else(|| UNKNOWN_NAME.into())
}
