//! The referee: a slow and simple model of the seven rules. It receives the events that the policy receives and every
//! action of the policy, keeps all of them, and searches all of them for each action.

use crate::common::Action;
use crate::violation::{forbid, CheckResult, Violation};
use ironstair::{
    ClassPolicy, DedupScope, Effect, Endpoint, EndpointState, Millis, Outcome, PolicyConfig,
    Request, RetryBudget,
};
use std::collections::BTreeMap;

/// From this number of gateways on, the share of one gateway in a cold engine is less than one request. The referee sees
/// only one gateway and cannot add the shares up; the tests in `mechanism/cold_engines.rs` do.
const MANY_GATEWAYS: f64 = 100.0;

/// The end of an attempt.
#[derive(Clone, Copy)]
struct AttemptEnd {
    at: Millis,
    outcome: Outcome,
}

struct AttemptRecord {
    engine: usize,
    started_at: Millis,
    end: Option<AttemptEnd>,
}

impl AttemptRecord {
    fn may_have_run(&self) -> bool {
        let never_ran = [Outcome::Rejected, Outcome::ConnectFailed, Outcome::Unsent];
        self.end.is_none_or(|end| !never_ran.contains(&end.outcome))
    }

    /// Whether the attempt may still run on its engine: in flight, or ended without an answer less than the
    /// quarantine ago.
    fn may_still_run(&self, now: Millis, key_quarantine: Millis) -> bool {
        let Some(end) = self.end else { return true };
        let without_answer = matches!(
            end.outcome,
            Outcome::TimedOut
                | Outcome::ConnectionLost
                | Outcome::ConnectionLostByPeerAttempt
                | Outcome::Withdrawn
        );
        without_answer && now < end.at + key_quarantine
    }
}

/// A request, with the settings that applied when it was accepted.
pub(crate) struct RequestRecord {
    class_policy: ClassPolicy,
    max_attempts: u8,
    request: Request,
    accepted_at: Millis,
    is_answered: bool,
    attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    pub(crate) fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Moves the deadline this much later.
    pub(crate) fn extend_deadline(&mut self, time: Millis) {
        self.request.time_remaining += time;
    }

    fn deadline(&self) -> Millis {
        self.accepted_at + self.request.time_remaining
    }

    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::may_have_run)
    }

    fn work(&self) -> Millis {
        self.request.work.unwrap_or(0.0)
    }
}

/// All events that the policy received, and all actions that it took.
#[derive(Default)]
pub(crate) struct Referee {
    pub config: PolicyConfig,
    pub requests: Vec<RequestRecord>,
    index_by_slot: BTreeMap<usize, usize>,
    endpoints: BTreeMap<usize, Endpoint>,
    unavailable_since: BTreeMap<usize, Millis>,
}

impl Referee {
    pub(crate) fn new(config: PolicyConfig) -> Referee {
        Referee {
            config,
            ..Default::default()
        }
    }

    pub(crate) fn on_endpoints(&mut self, now: Millis, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            self.endpoints.insert(endpoint.engine, *endpoint);
            match endpoint.state {
                EndpointState::Ready => self.unavailable_since.remove(&endpoint.engine),
                _ => self.unavailable_since.insert(endpoint.engine, now),
            };
        }
    }

    pub(crate) fn on_request(&mut self, now: Millis, slot: usize, request: Request) {
        self.index_by_slot.insert(slot, self.requests.len());
        self.requests.push(RequestRecord {
            class_policy: self.config.classes[request.class].clone(),
            max_attempts: self.config.max_attempts,
            request,
            accepted_at: now,
            is_answered: false,
            attempts: Vec::new(),
        });
    }

    /// Returns whether this outcome answers the request, or it was answered before.
    pub(crate) fn on_attempt_ended(&mut self, now: Millis, slot: usize, outcome: Outcome) -> bool {
        let record = &mut self.requests[self.index_by_slot[&slot]];
        record.attempts.last_mut().unwrap().end = Some(AttemptEnd { at: now, outcome });
        record.is_answered |= matches!(outcome, Outcome::Completed(_));
        record.is_answered
    }

    /// Checks an action against the rules, and records it if it breaks none.
    pub(crate) fn check_action(&mut self, now: Millis, action: &Action) -> CheckResult {
        match action {
            Action::Attempt(slot, engine) => {
                self.check_attempt(now, self.index_by_slot[slot], *engine)
            }
            Action::Reject(slot, _) => {
                self.check_answer(now, *slot)?;
                self.check_rejection(*slot)?;
                self.mark_answered(*slot);
                Ok(())
            }
            Action::Fail(slot) => {
                self.check_answer(now, *slot)?;
                self.mark_answered(*slot);
                Ok(())
            }
            Action::Other("withdraw") => {
                let is_allowed = self.config.may_withdraw;
                forbid(!is_allowed, Violation::WithdrawalNotAllowed)
            }
            _ => Ok(()),
        }
    }

    /// The number of requests without an answer.
    pub(crate) fn unanswered_count(&self) -> usize {
        self.requests
            .iter()
            .filter(|record| !record.is_answered)
            .count()
    }

    fn record(&self, slot: usize) -> &RequestRecord {
        &self.requests[self.index_by_slot[&slot]]
    }

    fn mark_answered(&mut self, slot: usize) {
        self.requests[self.index_by_slot[&slot]].is_answered = true;
    }

    /// Rule 1: one final answer, by the deadline.
    fn check_answer(&self, now: Millis, slot: usize) -> CheckResult {
        let record = self.record(slot);
        forbid(record.is_answered, Violation::TwoAnswers)?;
        forbid(now > record.deadline(), Violation::LateAnswer)
    }

    /// Rule 2: a rejection asks the client to send the request again, so a request that may have run is rejected only if
    /// it may run twice.
    fn check_rejection(&self, slot: usize) -> CheckResult {
        let record = self.record(slot);
        let may_run_twice = [
            Effect::Idempotent,
            Effect::Deduplicated(DedupScope::AllEngines),
        ]
        .contains(&self.config.classes[record.request.class].effect);
        forbid(
            !may_run_twice && record.may_have_run(),
            Violation::RejectedThoughItMayHaveRun,
        )
    }

    fn check_attempt(&mut self, now: Millis, index: usize, engine: usize) -> CheckResult {
        let record = &self.requests[index];
        let endpoint = self.endpoints[&engine];
        forbid(
            record.class_policy.out_of_service,
            Violation::ClassOutOfService,
        )?;
        self.check_placement(record, &endpoint)?;
        self.check_attempt_limit(record)?;
        forbid(
            record.is_answered || now > record.deadline(),
            Violation::AttemptAfterEnd,
        )?;
        self.check_repetition(now, record, &endpoint)?;
        self.check_readiness(now, engine)?;
        self.check_slow_start_share(now, record, &endpoint)?;
        self.check_key_order(now, index)?;
        self.check_retry_budget(now, record)?;
        self.requests[index].attempts.push(AttemptRecord {
            engine,
            started_at: now,
            end: None,
        });
        Ok(())
    }

    /// Rule 6: the cells, zones and machine types, by the current settings and by those that applied when the request
    /// was accepted.
    fn check_placement(&self, record: &RequestRecord, endpoint: &Endpoint) -> CheckResult {
        let cells = record.request.cells;
        forbid(
            cells != 0 && cells & endpoint.cells == 0,
            Violation::OutsideCells,
        )?;
        let current = &self.config.classes[record.request.class];
        for class in [current, &record.class_policy] {
            let zones = class.zones.as_ref();
            let machine_types = class.machine_types.as_ref();
            let is_allowed = zones.is_none_or(|allowed| allowed.contains(&endpoint.zone))
                && machine_types.is_none_or(|allowed| allowed.contains(&endpoint.machine_type));
            forbid(!is_allowed, Violation::OutsideZonesOrMachineTypes)?;
        }
        Ok(())
    }

    /// Rule 7: the number of attempts, limited by the smaller of the current setting and the one that applied when the
    /// request was accepted.
    fn check_attempt_limit(&self, record: &RequestRecord) -> CheckResult {
        let max_attempts = record.max_attempts.min(self.config.max_attempts);
        forbid(
            record.attempts.len() >= usize::from(max_attempts),
            Violation::TooManyAttempts,
        )
    }

    /// Rule 2: which requests may run again, and where.
    fn check_repetition(
        &self,
        now: Millis,
        record: &RequestRecord,
        endpoint: &Endpoint,
    ) -> CheckResult {
        let in_flight = record.attempts.iter().any(|attempt| attempt.end.is_none());
        forbid(in_flight, Violation::TwoAttemptsInFlight)?;
        let current = &self.config.classes[record.request.class];
        let window = current.dedup_window.min(record.class_policy.dedup_window);
        for earlier in record
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_run())
        {
            let other = self.endpoints[&earlier.engine];
            let is_in_scope = match current.effect {
                Effect::Idempotent => continue,
                Effect::NonIdempotent => return Err(Violation::NonIdempotentRepeated),
                Effect::Deduplicated(DedupScope::AllEngines) => true,
                Effect::Deduplicated(DedupScope::Zone) => other.zone == endpoint.zone,
                Effect::Deduplicated(DedupScope::DedupDomain) => {
                    other.dedup_domain == endpoint.dedup_domain
                }
            };
            forbid(
                !is_in_scope || now > earlier.started_at + window,
                Violation::OutsideDedupScopeOrWindow,
            )?;
        }
        Ok(())
    }

    /// Rule 3: an engine that drains or has left the list gets no attempt after that moment.
    fn check_readiness(&self, now: Millis, engine: usize) -> CheckResult {
        let since = self.unavailable_since.get(&engine);
        forbid(
            since.is_some_and(|since| now > *since),
            Violation::EngineNotReady,
        )
    }

    /// Rule 4: the work that this gateway may send to an engine that has just started.
    fn check_slow_start_share(
        &self,
        now: Millis,
        record: &RequestRecord,
        endpoint: &Endpoint,
    ) -> CheckResult {
        let config = &self.config;
        let is_cold =
            endpoint.started_at > 0.0 && now < endpoint.started_at + config.slow_start_duration;
        if !is_cold || config.gateway_count >= MANY_GATEWAYS {
            return Ok(());
        }
        let window_start = now - config.overload_window;
        let attempts = self
            .requests
            .iter()
            .flat_map(|record| record.attempts.iter().map(move |attempt| (record, attempt)));
        let recent = attempts.filter(|(_, attempt)| {
            attempt.engine == endpoint.engine && attempt.started_at >= window_start
        });
        let sent = recent.map(|(record, _)| record.work()).sum::<f64>() + record.work();
        let cores = config.machine_types[endpoint.machine_type as usize].cores;
        let allowed =
            config.overload_factor * config.slow_start_from * cores * config.overload_window;
        forbid(
            sent > allowed / config.gateway_count,
            Violation::OverSlowStartShare,
        )
    }

    /// Rule 5: a request waits for all earlier ones of its key.
    fn check_key_order(&self, now: Millis, index: usize) -> CheckResult {
        let record = &self.requests[index];
        let preserves_order =
            |record: &RequestRecord| self.config.classes[record.request.class].preserves_key_order;
        if !preserves_order(record) || record.request.key == 0 {
            return Ok(());
        }
        let has_same_key = |other: &&RequestRecord| {
            preserves_order(other) && other.request.key == record.request.key
        };
        for earlier in self.requests[..index].iter().filter(has_same_key) {
            let quarantine = self.config.key_quarantine;
            let may_still_run = earlier
                .attempts
                .iter()
                .any(|attempt| attempt.may_still_run(now, quarantine));
            forbid(
                !earlier.is_answered || may_still_run,
                Violation::OutOfKeyOrder,
            )?;
        }
        Ok(())
    }

    /// Rule 7: the number of further attempts within the window of the retry budget.
    fn check_retry_budget(&self, now: Millis, record: &RequestRecord) -> CheckResult {
        match self.config.retry_budget {
            Some(budget) if !record.attempts.is_empty() => forbid(
                self.exceeds_retry_budget(budget, now),
                Violation::OverRetryBudget,
            ),
            _ => Ok(()),
        }
    }

    fn exceeds_retry_budget(&self, budget: RetryBudget, now: Millis) -> bool {
        let window_start = now - budget.window;
        let is_counted = |attempt: &&AttemptRecord| {
            attempt.end.is_none_or(|end| end.outcome != Outcome::Unsent)
                && attempt.started_at >= window_start
        };
        let further = self
            .requests
            .iter()
            .flat_map(|record| record.attempts.iter().skip(1));
        let further = further.filter(is_counted).count();
        let accepted = self.requests.iter();
        let accepted = accepted
            .filter(|record| record.accepted_at > window_start)
            .count();
        further as f64 + 1.0 > budget.min_retries + budget.retry_ratio * accepted as f64
    }
}
