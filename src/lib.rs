//! Keeps short and long queries apart on shared engines.
//!
//! [`policy`] holds every decision and does no input or output. A host (a wire adapter, later a
//! socket server) turns ids into indices with [`interner`], calls the module and carries out what it
//! asks for through [`Actions`].

pub mod interner;
pub mod policy;
mod state;
pub mod stats;

/// Milliseconds, with fractions; as a point in time, on the host's monotonic clock.
pub type Ms = f64;

/// What the module asks its host to do, in the order of the calls.
pub trait Actions {
    /// An attempt, whose first byte is written by the time `by` at the latest; an attempt that has not begun by
    /// then never begins, and its outcome is `Unsent`.
    fn attempt(&mut self, request: usize, engine: usize, by: Ms);
    fn withdraw(&mut self, request: usize, nth: u8);
    fn set_priority(&mut self, request: usize, priority: u8, grant_mb: f64);
    fn reject(&mut self, request: usize, retry_after: Ms);
    fn fail(&mut self, request: usize);
    fn subscribe(&mut self);
    /// Asks an engine how it is; what it reports comes by `Gateway::report`.
    fn probe(&mut self, engine: usize);
    fn wake(&mut self, after: Ms);
    fn note(&mut self, text: &str);
    /// Nothing more is expected about this request: its index may be used again.
    fn forget(&mut self, request: usize);
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated(Within),
    #[default]
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Within {
    All,
    Zone,
    /// What the wire calls a cell.
    MarkGroup,
}

/// What a class's requests share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassPolicy {
    pub expected: Ms,
    pub expected_stretch: f64,
    pub value: f64,
    pub threads: f64,
    pub repeat: Effect,
    pub window: Ms,
    pub in_order: bool,
    /// Holds its table group on its engine while it runs.
    pub holds: bool,
    pub zones: Option<Vec<u16>>,
    pub kinds: Option<Vec<u16>>,
    /// Taken out of service: new ones are rejected, those taken before go on.
    pub closed: bool,
}

impl ClassPolicy {
    /// Within which a request of this much work, in ms on a thread, is wanted.
    pub fn latency_objective(&self, work: Ms) -> Ms {
        self.expected + self.expected_stretch * work / self.threads
    }

    /// Whether an engine's place is among those that the class may go to.
    pub fn fits(&self, line: &Endpoint) -> bool {
        self.zones.as_ref().is_none_or(|z| z.contains(&line.zone))
            && self.kinds.as_ref().is_none_or(|k| k.contains(&line.kind))
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    pub cores: f64,
    pub memory_mb: f64,
}

/// Further attempts: a few, and a share of the requests taken in the span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    pub spare: f64,
    pub share: f64,
    pub span: Ms,
}

/// What a gateway is told at start and holds to until it is amended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyConfig {
    pub gateways: f64,
    pub classes: Vec<ClassPolicy>,
    pub kinds: Vec<Kind>,
    pub most_grant: f64,
    pub grants_heeded: bool,
    pub priorities_heeded: bool,
    /// An engine short of memory lets queries wait; elsewhere they run and do more work, or all run slower.
    pub lines_up: bool,
    /// Clients mark their later tries; elsewhere the time left must tell.
    pub tries_marked: bool,
    pub may_withdraw: bool,
    pub may_probe: bool,
    /// What the values of an engine's report tell, in their order.
    pub reports: Vec<Load>,
    pub max_retry_after: Ms,
    pub max_attempts: u8,
    pub must_subscribe: bool,
    pub slow_start_from: f64,
    pub slow_start_duration: Ms,
    pub fall_multiple: f64,
    pub fall_span: Ms,
    pub retry_budget: Option<RetryBudget>,
    pub key_quarantine: Ms,
    pub tick: Ms,
}

/// What one value of an engine's report tells: a share of the engine, or something else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// Of its cores, memory or disks, in use.
    Share,
    /// Queries held, running or in the engine's line.
    Held,
    Other,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One line of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    pub engine: usize,
    /// The engine's id as every gateway knows it.
    pub id: u64,
    pub zone: u16,
    pub kind: u16,
    /// The group within which marks of tagged requests are known.
    pub marks: u16,
    /// Cells that it is in, a bit for each.
    pub cells: u64,
    pub state: EndpointState,
    /// Latest start; zero when long past.
    pub since: Ms,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    pub class: usize,
    pub key: u64,
    pub left: Ms,
    pub work: Option<Ms>,
    pub memory_mb: f64,
    pub tables: u64,
    /// Cells whose engines it may go to, a bit for each; none for anywhere.
    pub cells: u64,
    /// Marked by its client as a later try.
    pub later_try: bool,
}

/// What a request needed: the work of all its threads, and memory; zero where that is not told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    pub work: Ms,
    pub memory_mb: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// With what it needed, where the answer tells.
    Settled(Option<Cost>),
    Error,
    Full,
    TimedOut,
    NoConnection,
    Reset,
    /// Lost with a connection on another attempt's account: it may have run, and says nothing of the engine.
    Swept,
    Withdrawn,
    Unsent,
}
