//! The hash of a trace.

use crate::recorded_actions::Action;
use ironstair::policy::{ClassView, EngineView};

/// FNV-1a over the bytes of all that is folded in.
pub(crate) struct Hash(pub(crate) u64);

impl Hash {
    pub(crate) fn fold_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ *byte as u64).wrapping_mul(0x0100_0000_01B3);
        }
    }
    pub(crate) fn fold_words(&mut self, words: &[u64]) {
        for word in words {
            self.fold_bytes(&word.to_le_bytes());
        }
    }
    pub(crate) fn fold_optional_float(&mut self, value: Option<f64>) {
        self.fold_words(&value.map_or([0, 0], |float| [1, float.to_bits()]));
    }

    /// Folds in an action that the policy took at this time.
    pub(crate) fn fold_action(&mut self, now: f64, action: &Action) {
        self.fold_words(&[now.to_bits()]);
        match action {
            Action::Attempt(request, engine, start_before) => {
                self.fold_words(&[1, *request as u64, *engine as u64, start_before.to_bits()]);
            }
            Action::Withdraw(request, nth) => {
                self.fold_words(&[2, *request as u64, *nth as u64]);
            }
            Action::SetPriority(request, priority, grant_mb) => {
                self.fold_words(&[3, *request as u64, *priority as u64, grant_mb.to_bits()]);
            }
            Action::Reject(request, retry_after) => {
                self.fold_words(&[4, *request as u64, retry_after.to_bits()]);
            }
            Action::Fail(request) => self.fold_words(&[5, *request as u64]),
            Action::Subscribe => self.fold_words(&[6]),
            Action::Probe(engine) => self.fold_words(&[7, *engine as u64]),
            Action::WakeAfter(after) => self.fold_words(&[8, after.to_bits()]),
            Action::Log(text) => {
                // The expected hashes were computed when this log line read " set aside: ". Mapping
                // the text back shows that nothing else in the line has changed.
                assert!(!text.contains(" set aside: "), "{text}");
                let text = text.replace(" ejected: ", " set aside: ");
                self.fold_words(&[9, text.len() as u64]);
                self.fold_bytes(text.as_bytes());
            }
            Action::Forget(request) => self.fold_words(&[10, *request as u64]),
        }
    }

    /// Folds in the view of the engine with this index.
    pub(crate) fn fold_engine_view(&mut self, index: usize, view: &EngineView) {
        self.fold_words(&[
            100,
            index as u64,
            view.state as u64,
            view.failures as u64,
            view.outcomes_seen as u64,
        ]);
        self.fold_words(
            &[view.cores, view.threads, view.slowdown, view.full_until].map(f64::to_bits),
        );
        self.fold_optional_float(view.last_report.map(|report| report.at));
        self.fold_optional_float(view.last_report.map(|report| report.share));
        self.fold_optional_float(view.next_probe_at);
        self.fold_optional_float(view.slow_start_allowance);
    }

    /// Folds in the view of the class with this index.
    pub(crate) fn fold_class_view(&mut self, index: usize, view: &ClassView) {
        self.fold_words(&[101, index as u64, view.waiting as u64]);
        self.fold_words(
            &[
                view.threads,
                view.charged_work,
                view.weight,
                view.typical_work,
            ]
            .map(f64::to_bits),
        );
    }
}
