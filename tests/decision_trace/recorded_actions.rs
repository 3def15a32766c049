//! The actions of the policy, recorded in the order of their calls.

use ironstair::Actions;

/// An action of the policy, with the arguments in the order of [`Actions`].
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Attempt(usize, usize, f64),
    Withdraw(usize, u8),
    SetPriority(usize, u8, f64),
    Reject(usize, f64),
    Fail(usize),
    Subscribe,
    Probe(usize),
    WakeAfter(f64),
    Log(String),
    Forget(usize),
}

#[derive(Default)]
pub(crate) struct RecordedActions(pub(crate) Vec<Action>);

impl Actions for RecordedActions {
    fn start_attempt(&mut self, request: usize, engine: usize, start_before: f64) {
        self.0.push(Action::Attempt(request, engine, start_before));
    }
    fn withdraw_attempt(&mut self, request: usize, nth: u8) {
        self.0.push(Action::Withdraw(request, nth));
    }
    fn set_priority(&mut self, request: usize, priority: u8, grant_mb: f64) {
        self.0
            .push(Action::SetPriority(request, priority, grant_mb));
    }
    fn reject(&mut self, request: usize, retry_after: f64) {
        self.0.push(Action::Reject(request, retry_after));
    }
    fn fail(&mut self, request: usize) {
        self.0.push(Action::Fail(request));
    }
    fn subscribe(&mut self) {
        self.0.push(Action::Subscribe);
    }
    fn probe(&mut self, engine: usize) {
        self.0.push(Action::Probe(engine));
    }
    fn wake_after(&mut self, after: f64) {
        self.0.push(Action::WakeAfter(after));
    }
    fn log(&mut self, text: &str) {
        self.0.push(Action::Log(text.into()));
    }
    fn forget(&mut self, request: usize) {
        self.0.push(Action::Forget(request));
    }
}
