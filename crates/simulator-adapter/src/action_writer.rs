//! Writes the policy's actions as records of a reply.

use crate::frame::EngineAddress;
use crate::time::to_nanos;
use ironstair::interner::Interner;
use ironstair::{Actions, Millis};

const SET_PRIORITY: u16 = 65;
const SUBSCRIBE: u16 = 66;
const START_ATTEMPT: u16 = 67;
const PROBE: u16 = 68;
const FAIL: u16 = 70;
const WITHDRAW_ATTEMPT: u16 = 71;
const WAKE_AFTER: u16 = 73;
const LOG: u16 = 75;
const REFUSE_START: u16 = 76;
const REJECT: u16 = 77;

/// The expiry field of an attempt without an expiry of its own: the attempt expires when the client gives up.
const NO_EXPIRY: u64 = 0;

/// The token field of a wake-up, which the simulator returns in the timer's record. The policy does not use it.
const NO_TOKEN: u64 = 0;

/// The value of a flag field that is set.
const ON: u8 = 1;

/// Writes the actions of one instance as records.
pub(crate) struct ActionWriter<'a> {
    pub(crate) instance: u16,
    pub(crate) output: &'a mut Vec<u8>,
    pub(crate) engines: &'a Interner<EngineAddress>,
    pub(crate) requests: &'a mut Interner<u64>,
}

impl ActionWriter<'_> {
    fn request_record(&mut self, code: u16, request: usize) {
        write_header(self.output, code, self.instance);
        let id = self.requests.id(request);
        self.output.extend(id.to_le_bytes());
    }

    fn record(&mut self, code: u16) {
        write_header(self.output, code, self.instance);
    }
}

fn write_header(output: &mut Vec<u8>, code: u16, instance: u16) {
    output.extend(code.to_le_bytes());
    output.extend(instance.to_le_bytes());
}

/// Writes a text after its length. A text that is too long for the length field is truncated.
fn write_text(output: &mut Vec<u8>, text: &str) {
    let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
    output.extend((bytes.len() as u16).to_le_bytes());
    output.extend(bytes);
}

/// Writes the record that refuses to start an instance.
pub(crate) fn write_start_refused(output: &mut Vec<u8>, instance: u16, reason: &str) {
    write_header(output, REFUSE_START, instance);
    write_text(output, reason);
}

impl Actions for ActionWriter<'_> {
    fn start_attempt(&mut self, request: usize, engine: usize, _start_before: Millis) {
        self.request_record(START_ATTEMPT, request);
        self.output.extend(self.engines.id(engine));
        self.output.extend(NO_EXPIRY.to_le_bytes());
    }

    fn withdraw_attempt(&mut self, request: usize, nth: u8) {
        self.request_record(WITHDRAW_ATTEMPT, request);
        self.output.push(nth);
    }

    fn set_priority(&mut self, request: usize, priority: u8, grant_mb: f64) {
        self.request_record(SET_PRIORITY, request);
        self.output.push(priority);
        self.output.extend((grant_mb as f32).to_le_bytes());
    }

    fn reject(&mut self, request: usize, retry_after: Millis) {
        self.request_record(REJECT, request);
        self.output.extend(to_nanos(retry_after).to_le_bytes());
    }

    fn fail(&mut self, request: usize) {
        self.request_record(FAIL, request);
    }

    fn subscribe(&mut self) {
        self.record(SUBSCRIBE);
        self.output.push(ON);
    }

    fn probe(&mut self, engine: usize) {
        self.record(PROBE);
        self.output.extend(self.engines.id(engine));
    }

    fn wake_after(&mut self, after: Millis) {
        self.record(WAKE_AFTER);
        self.output.extend(to_nanos(after).to_le_bytes());
        self.output.extend(NO_TOKEN.to_le_bytes());
    }

    fn log(&mut self, text: &str) {
        self.record(LOG);
        write_text(self.output, text);
    }

    fn forget(&mut self, request: usize) {
        self.requests.release(request);
    }
}
