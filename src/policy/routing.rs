//! Routing: which engines a request may go to, and in which order.

use super::pace::WORK_HALF_LIFE;
use super::Gateway;
use crate::random::mix;
use crate::state::{Engine, PendingRequest, PossibleRun};
use crate::{ClassPolicy, DedupScope, Effect};

/// The smallest number of home engines of a table group: those whose caches hold its data. More of
/// them would spread the same data over more caches.
const HOME_ENGINES_PER_GROUP: usize = 2;

/// How suitable an engine is for a request: engines of the lowest tier are chosen.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SelectionTier {
    /// Neither tried nor ejected.
    Untried,
    /// The request was tried there.
    Tried,
    /// Ejected.
    Ejected,
    /// Ejected, and the request was tried there.
    TriedAndEjected,
}

impl Gateway {
    /// Whether the request may run on the engine at all: by the class's settings on arrival and
    /// now, by the request's cells, and, where only some engines recognize a repeat, by the engines
    /// on which earlier attempts may have run.
    fn may_run_on(&self, pending: &PendingRequest, engine: &Engine) -> bool {
        let policy = &self.config.classes[pending.request.class];
        let endpoint = &engine.endpoint;
        let recognizes_repeat = |earlier: &PossibleRun| match policy.effect {
            Effect::Deduplicated(DedupScope::Zone) => earlier.zone == endpoint.zone,
            Effect::Deduplicated(DedupScope::DedupDomain) => {
                earlier.dedup_domain == endpoint.dedup_domain
            }
            Effect::Deduplicated(DedupScope::AllEngines)
            | Effect::Idempotent
            | Effect::NonIdempotent => true,
        };
        let mut runs = pending.possible_runs.iter();
        engine.is_ready()
            && policy.fits(endpoint)
            && pending.class_policy.fits(endpoint)
            && engine.is_in_cells(pending.request.cells)
            && runs.all(recognizes_repeat)
    }

    /// The engines that the request may go to now, in order of preference. The order is a
    /// rendezvous hash of table group and engine id: it is the same at every gateway, and adding or
    /// removing an engine does not reorder the others.
    pub(super) fn engine_order(&self, pending: &PendingRequest) -> Vec<usize> {
        let mut engines = self.hashed_order(pending.request.table_group);
        engines.retain(|&index| self.may_run_on(pending, &self.engines[index]));
        let class_index = pending.request.class;
        if self.config.classes[class_index].pins_table_group {
            avoid_home_engines(&mut engines);
        }
        if self.is_heavy(class_index) {
            self.put_restricted_engines_last(&mut engines, class_index);
        }
        engines.retain(|&index| self.fits_slow_start(pending, &self.engines[index]));
        engines
    }

    /// All engines in the order hashed from the table group.
    fn hashed_order(&self, table_group: u64) -> Vec<usize> {
        let mut orders = self.engine_order_by_table_group.borrow_mut();
        let order = orders.entry(table_group).or_insert_with(|| {
            let group_hash = mix(table_group);
            let mut order: Vec<u32> = (0..self.engines.len() as u32).collect();
            order.sort_by_cached_key(|&index| {
                mix(group_hash ^ self.engines[index as usize].endpoint.id)
            });
            order
        });
        order.iter().map(|&index| index as usize).collect()
    }

    /// Moves the engines to the end that serve other classes restricted by zone or machine type.
    /// Prevents heavy requests from occupying the only engines of such a class.
    fn put_restricted_engines_last(&self, engines: &mut [usize], class_index: usize) {
        let own_policy = &self.config.classes[class_index];
        let is_other_restricted = |policy: &&ClassPolicy| {
            (policy.zones.is_some() || policy.machine_types.is_some()) && *policy != own_policy
        };
        let classes = self.config.classes.iter();
        let restricted = classes.filter(is_other_restricted);
        engines.sort_by_key(|&index| {
            let endpoint = &self.engines[index].endpoint;
            restricted.clone().any(|policy| policy.fits(endpoint))
        });
    }

    /// How many home engines the table group has: of all engines in use, twice the group's share of
    /// the work. With a fixed number, a few large groups would fill their home engines and leave
    /// the others idle.
    fn home_engine_count(&self, table_group: u64) -> usize {
        let engines = self.engines.iter().filter(|engine| engine.is_in_use());
        let work_of_all: f64 = self
            .classes
            .iter()
            .map(|class| class.work.decayed(self.now, WORK_HALF_LIFE).sum)
            .sum();
        let group = self.work_by_table_group.get(&table_group);
        let work = group.map_or(0.0, |work| work.decayed(self.now, WORK_HALF_LIFE).sum);
        let homes = (HOME_ENGINES_PER_GROUP * engines.count()) as f64 * (work / work_of_all);
        homes.round().max(HOME_ENGINES_PER_GROUP as f64) as usize
    }

    /// The engine for the request's next attempt, if one has capacity: the least loaded home engine
    /// of the table group, otherwise the first of the others. An ejected engine that is due for a
    /// recovery probe takes precedence over all.
    pub(super) fn choose_engine(&self, index: usize) -> Option<usize> {
        let pending = &self.requests[index];
        let mut engines = self.engine_order(pending);
        if let Some(ejected) = self.engine_due_for_recovery_probe(pending, &engines) {
            return Some(ejected);
        }
        self.keep_lowest_tier(&mut engines, pending);
        let home_engine_count = self
            .home_engine_count(pending.request.table_group)
            .min(engines.len());
        let (homes, others) = engines.split_at(home_engine_count);
        let has_capacity = |engine: &usize| self.has_capacity(*engine, pending);
        let home = homes
            .iter()
            .copied()
            .filter(has_capacity)
            .min_by(|&left, &right| self.load(left).total_cmp(&self.load(right)));
        home.or_else(|| others.iter().copied().find(has_capacity))
    }

    /// The first ejected engine that is due for a recovery probe. The probe is the first attempt of
    /// a request that is not heavy: little is lost if it fails.
    fn engine_due_for_recovery_probe(
        &self,
        pending: &PendingRequest,
        engines: &[usize],
    ) -> Option<usize> {
        if pending.attempts > 0 || self.is_heavy(pending.request.class) {
            return None;
        }
        let is_due = |index: usize| {
            let ejection = self.engines[index].ejection;
            ejection.is_some_and(|ejection| ejection.next_probe_at <= self.now)
        };
        engines.iter().copied().find(|&index| is_due(index))
    }

    /// Keeps the engines of the lowest tier that occurs.
    fn keep_lowest_tier(&self, engines: &mut Vec<usize>, pending: &PendingRequest) {
        let selection_tier = |index: usize| self.selection_tier(index, pending);
        let lowest = engines.iter().map(|&index| selection_tier(index)).min();
        engines.retain(|&index| Some(selection_tier(index)) == lowest);
    }

    fn selection_tier(&self, index: usize, pending: &PendingRequest) -> SelectionTier {
        let is_ejected = self.engines[index].ejection.is_some();
        match (is_ejected, pending.tried_engines.contains(&index)) {
            (false, false) => SelectionTier::Untried,
            (false, true) => SelectionTier::Tried,
            (true, false) => SelectionTier::Ejected,
            (true, true) => SelectionTier::TriedAndEjected,
        }
    }

    /// The load by which home engines are compared: this gateway's threads per core, plus the
    /// reported share in use.
    fn load(&self, index: usize) -> f64 {
        let engine = &self.engines[index];
        engine.threads / engine.cores + engine.decayed_load(self.now)
    }
}

/// Reverses the order and drops the home engines from its end, but keeps at least two engines. A
/// request that pins its table group makes the group's other requests wait on its engine, so it
/// must not run on the engines that serve them.
fn avoid_home_engines(engines: &mut Vec<usize>) {
    engines.reverse();
    let kept = engines.len().max(2 * HOME_ENGINES_PER_GROUP) - HOME_ENGINES_PER_GROUP;
    engines.truncate(kept);
}
