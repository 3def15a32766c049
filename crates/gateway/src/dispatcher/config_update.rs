//! Applies new settings, cells and leases of the fleet, each between two messages.

use super::Dispatcher;
use ironstair::{Millis, PolicyConfig};
use ironstair_cells::CellDirectory;
use ironstair_coordination::Share;
use ironstair_runtime::state_watch::ConfigUpdate;
use slog::info;
use std::rc::Rc;

impl Dispatcher {
    /// Applies new settings. Requests that were accepted under the previous settings keep the index of their class.
    pub(super) fn update_config(&mut self, update: ConfigUpdate) {
        let shared = self.executor.shared.clone();
        shared.classes.replace(Rc::new(update.classes));
        shared.set_max_deadline(update.max_deadline);
        if let Some(transport_config) = update.transport_config {
            shared.transport_config.replace(Rc::new(transport_config));
        }
        if let Some(cells) = update.cells {
            self.replace_cells(cells);
        }
        let share = self.executor.share;
        let own_share = share.map(|share| share.apply_to(&update.policy_config));
        // Only a lease of a fleet is finite. The fleet can change the share without new settings: the settings are kept
        // to compute the limits of a later share.
        if shared.lease_until.get().is_finite() {
            self.executor.policy_config = Some(update.policy_config.clone());
        }
        self.update_policy(own_share.unwrap_or(update.policy_config));
        // Fails only if management no longer waits for the update.
        let _ = update.done.try_send(());
    }

    fn update_policy(&mut self, config: PolicyConfig) {
        let now = self.executor.now;
        self.policy.update_config(now, config, &mut self.executor);
    }

    fn replace_cells(&mut self, cells: Option<CellDirectory>) {
        let executor = &mut self.executor;
        if executor.cells.is_none() && cells.is_none() {
            return;
        }
        let previous = std::mem::replace(&mut executor.cells, cells);
        if let (Some(cells), Some(previous)) = (&mut executor.cells, &previous) {
            let requests = executor.requests.iter().flatten();
            let attempts = requests.filter_map(|request| {
                let sent = request.sent_attempt.as_ref()?;
                Some((request.tenant, sent.cells))
            });
            cells.inherit_migrations(executor.now, previous, attempts);
            let migrations = cells.migration_count();
            if migrations > 0 {
                info!(executor.shared.log, "tenant migrations started"; "tenants" => migrations);
            }
        }
        self.reassign_cells();
    }

    /// Applies a lease of the fleet. `share` is this gateway's share of fleet-wide limits, if the fleet counts its
    /// members.
    pub(super) fn renew_lease(&mut self, until: Millis, share: Option<Share>) {
        self.executor.shared.lease_until.set(until);
        if let Some(share) = share {
            self.adopt_share(share);
        }
        let now = self.executor.now;
        self.policy.renew_lease(now, until, &mut self.executor);
    }

    fn adopt_share(&mut self, share: Share) {
        let previous = self.executor.share;
        if previous.is_some_and(|previous| !share.differs(previous)) {
            return;
        }
        self.executor.share = Some(share);
        let config = self.executor.policy_config.as_ref();
        if let Some(own_share) = config.map(|config| share.apply_to(config)) {
            self.update_policy(own_share);
        }
    }
}
