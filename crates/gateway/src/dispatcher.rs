//! The dispatcher: the only caller of the policy. It passes each message to the policy, owns the policy's timer and the
//! state of all open requests, and never waits for another actor.

mod config_update;
mod departed_requests;
mod endpoints;
mod executor;
mod requests;
mod view;

pub(crate) use view::StatePublisher;

use async_channel::Receiver;
use executor::ActionExecutor;
use ironstair::policy::Gateway;
use ironstair_cells::CellDirectory;
use ironstair_runtime::state_watch::ManagementCommand;
use ironstair_runtime::wait::recv_until;
use ironstair_runtime::{DispatcherMessage, Shared};
use std::rc::Rc;

/// The dispatcher's actor: the policy, and the executor that holds the state of its requests and engines.
pub(crate) struct Dispatcher {
    policy: Gateway,
    executor: ActionExecutor,
    state_publisher: Option<StatePublisher>,
}

impl Dispatcher {
    /// Creates the dispatcher of a policy. `state_publisher` is set if management is enabled, `cells` if the operator's
    /// file names cells.
    pub(crate) fn new(
        policy: Gateway,
        shared: Rc<Shared>,
        state_publisher: Option<StatePublisher>,
        cells: Option<CellDirectory>,
    ) -> Self {
        Dispatcher {
            policy,
            executor: ActionExecutor::new(shared, cells),
            state_publisher,
        }
    }

    /// Runs until the queue is closed.
    pub(crate) async fn run(mut self, messages: Receiver<DispatcherMessage>) {
        let shared = self.executor.shared.clone();
        // In a fleet the initial lease has already expired: the policy decides nothing before the fleet grants one.
        self.renew_lease(shared.lease_until.get(), None);
        let key_quarantine = shared.metrics.key_quarantine.get();
        self.policy.quarantine_keys(key_quarantine);
        loop {
            let next_wake_at = self.executor.next_wake_at;
            let Ok(message) = recv_until(&shared.clock, &messages, next_wake_at).await else {
                return;
            };
            self.executor.now = shared.clock.now();
            match message {
                Some(message) => self.handle(message),
                None => self.on_timer(),
            }
        }
    }

    fn on_timer(&mut self) {
        self.executor.next_wake_at = None;
        let now = self.executor.now;
        self.policy.on_timer(now, &mut self.executor);
    }

    fn handle(&mut self, message: DispatcherMessage) {
        match message {
            DispatcherMessage::NewRequest(new) => self.on_request(*new),
            DispatcherMessage::Cancelled { id, reply_to } => self.on_cancel(id, &reply_to),
            DispatcherMessage::ClientClosed { id, reply_to } => {
                self.on_client_closed(id, &reply_to);
            }
            DispatcherMessage::AttemptEnded { id, outcome, rows } => {
                self.on_attempt_ended(id, outcome, rows);
            }
            DispatcherMessage::LoadReport { engine, values } => {
                let now = self.executor.now;
                self.policy
                    .on_load_report(now, engine, &values, &mut self.executor);
            }
            DispatcherMessage::ShutdownRequested(shutdown_at) => {
                let now = self.executor.now;
                self.executor.shutdown_at = shutdown_at;
                self.policy
                    .begin_shutdown(now, shutdown_at, &mut self.executor);
            }
            DispatcherMessage::Endpoints(list) => self.update_endpoints(list),
            DispatcherMessage::Command(command) => self.on_command(command),
        }
    }

    fn on_command(&mut self, command: ManagementCommand) {
        match command {
            ManagementCommand::PublishState => self.publish_state(),
            ManagementCommand::UpdateConfig(update) => self.update_config(*update),
            ManagementCommand::RenewLease { until, share } => self.renew_lease(until, share),
        }
    }
}

#[cfg(test)]
#[path = "dispatcher_tests.rs"]
mod tests;
