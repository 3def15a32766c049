//! Validates calls: turns each into a message for the dispatcher, or answers it directly.

use super::{Client, OpenCall, MAX_OPEN_CALLS, START_AFTER_HALF_CLOSE};
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use ironstair::{Millis, Request};
use ironstair_protocol::rpc::{self, Call, CallError, ErrorCode, Params};
use ironstair_protocol::statement;
use ironstair_runtime::state_watch::ClassSummary;
use ironstair_runtime::{fnv1a_64, DispatcherMessage, NewRequest, RequestId, Statement};
use std::cell::Cell;
use std::rc::Rc;

/// The names of a request's parameters.
const REQUEST_PARAMS: [&str; 8] = [
    "id", "wait", "retry", "cost", "ram", "once", "bytes", "tenant",
];
/// Longest idempotency key that is accepted, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 64;
/// Largest memory estimate that is accepted, in MB; no request needs so much.
const MAX_MEMORY_MB: f64 = 1e8;
/// Largest retry count that is accepted; no client retries so often.
const MAX_RETRY_COUNT: f64 = 1e4;
/// Largest remaining time that is accepted, as a multiple of the longest hard limit since the start: clients may compute it
/// differently.
const MAX_TIME_REMAINING_FACTOR: f64 = 2.0;
/// Characters and bytes of a group in base64 text.
const BASE64_GROUP_CHARACTERS: usize = 4;
const BASE64_GROUP_BYTES: usize = 3;

/// The validated parameters of a call.
struct RequestParams {
    id: RequestId,
    time_remaining: Millis,
    work: Option<Millis>,
    memory_mb: Option<f64>,
    retry_count: Option<f64>,
    idempotency_key: Option<Rc<str>>,
    tenant: Option<u64>,
    statement: Statement,
}

/// Why a call does not become a request.
enum RequestError {
    /// The call is invalid; the client receives the error code.
    Call(CallError),
    /// No memory is free for the statement. The call is rejected, since its request was not sent anywhere yet.
    NoMemory,
}

impl From<CallError> for RequestError {
    fn from(error: CallError) -> Self {
        RequestError::Call(error)
    }
}

impl Client {
    /// Handles a call. Returns the message for the dispatcher; `None` if there is none because the call was answered
    /// here or cancels nothing.
    ///
    /// # Errors
    /// The call is not valid on this connection, or a parameter is missing or out of range.
    pub(super) fn on_call(
        &self,
        received_at: Millis,
        call: &Call,
    ) -> Result<Option<DispatcherMessage>, CallError> {
        if &*call.method == b"interrupt" {
            return Ok(self.cancel_call(call.params.unsigned("id")));
        }
        let call_id = call.id.filter(|id| *id > 0);
        let call_id = call_id.ok_or(CallError {
            call_id: None,
            code: ErrorCode::InvalidRequest,
        })?;
        if &*call.method == b"check" {
            self.reply_health(call_id);
            return Ok(None);
        }
        if self.open_calls.borrow().contains_key(&call_id) {
            return Ok(self.cancel_ambiguous_call(call_id));
        }
        if self.accepts_no_requests(received_at) {
            self.reply_overloaded(Some(call_id));
            return Ok(None);
        }
        match self.new_request(received_at, call_id, call) {
            Ok(request) => Ok(Some(DispatcherMessage::NewRequest(Box::new(request)))),
            Err(RequestError::Call(error)) => Err(error),
            Err(RequestError::NoMemory) => {
                self.reply_overloaded(Some(call_id));
                Ok(None)
            }
        }
    }

    /// Refuses a call with the number of an open call, and cancels that one: the client could not tell which of the two a
    /// reply belongs to. The connection ends once its other open calls have their replies.
    fn cancel_ambiguous_call(&self, call_id: u64) -> Option<DispatcherMessage> {
        self.is_ending.set(true);
        self.protocol_error(CallError {
            call_id: None,
            code: ErrorCode::InvalidRequest,
        });
        self.cancel_call(Some(call_id))
    }

    fn cancel_call(&self, call_id: Option<u64>) -> Option<DispatcherMessage> {
        let open_calls = self.open_calls.borrow();
        let call = call_id.and_then(|call_id| open_calls.get(&call_id).cloned());
        drop(open_calls);
        self.finish_call(call_id, false);
        let call = call?;
        call.client_is_waiting.set(false);
        Some(DispatcherMessage::Cancelled {
            id: call.id,
            reply_to: self.replies.clone(),
        })
    }

    fn reply_health(&self, call_id: u64) {
        let is_healthy = !self.permit.limiter.is_shutting_down() && self.shared.holds_lease();
        self.reply_encoded(|output| rpc::write_health(output, call_id, is_healthy));
    }

    /// Whether a request arrives too late: it might not end before the process does, the connection has to end, or the
    /// request was received more than [`START_AFTER_HALF_CLOSE`] after a half-close by the client was detected.
    fn accepts_no_requests(&self, received_at: Millis) -> bool {
        let half_closed_at = self.half_closed_at.get();
        let is_late = |closed_at| received_at - closed_at > START_AFTER_HALF_CLOSE;
        let is_ending = self.permit.limiter.is_closing() || self.is_ending.get();
        is_ending || half_closed_at.is_some_and(is_late)
    }

    fn new_request(
        &self,
        received_at: Millis,
        call_id: u64,
        call: &Call,
    ) -> Result<NewRequest, RequestError> {
        let class = self.class_index(call_id, &call.method)?;
        self.check_open_calls(call_id)?;
        let params = self.request_params(call_id, call.params)?;
        let table_group = statement::table_group(params.statement.bytes());
        let request = Request {
            class,
            time_remaining: params.time_remaining,
            work: params.work.filter(|work| *work > 0.0),
            memory_mb: params.memory_mb.unwrap_or(0.0),
            table_group: table_group.unwrap_or(0),
            is_retry: params
                .retry_count
                .is_some_and(|retry_count| retry_count > 0.0),
            ..Request::default()
        };
        let client_is_waiting = Rc::new(Cell::new(true));
        let open_call = OpenCall {
            id: params.id,
            client_is_waiting: client_is_waiting.clone(),
        };
        self.open_calls.borrow_mut().insert(call_id, open_call);
        self.permit.call_opened();
        Ok(NewRequest {
            id: params.id,
            call_id,
            request,
            tenant: params.tenant,
            received_at,
            statement: params.statement,
            idempotency_key: params.idempotency_key,
            reply_to: self.replies.clone(),
            client_is_waiting,
        })
    }

    /// The index of the class with the method's name. After a change of the settings two classes may have that name,
    /// one of them out of service since the earlier settings: the one in service is preferred.
    fn class_index(&self, call_id: u64, method: &[u8]) -> Result<usize, CallError> {
        let classes = self.shared.classes();
        let has_name = |class: &ClassSummary| class.name.as_bytes() == method;
        let in_service = classes
            .iter()
            .position(|class| has_name(class) && class.in_service);
        let class = in_service.or_else(|| classes.iter().position(has_name));
        class.ok_or(CallError {
            call_id: Some(call_id),
            code: ErrorCode::MethodNotFound,
        })
    }

    fn check_open_calls(&self, call_id: u64) -> Result<(), CallError> {
        let open_calls = self.open_calls.borrow();
        if open_calls.len() >= MAX_OPEN_CALLS {
            return Err(CallError {
                call_id: Some(call_id),
                code: ErrorCode::InvalidRequest,
            });
        }
        Ok(())
    }

    fn request_params(&self, call_id: u64, params: Params) -> Result<RequestParams, RequestError> {
        let params = params.select(REQUEST_PARAMS);
        let invalid_params = || CallError {
            call_id: Some(call_id),
            code: ErrorCode::InvalidParams,
        };
        let number = |name, max| {
            params
                .bounded_number(name, max)
                .map_err(|_| invalid_params())
        };
        let id = params.string("id").as_deref().and_then(parse_request_id);
        let id = id.ok_or_else(invalid_params)?;
        let max_time_remaining = MAX_TIME_REMAINING_FACTOR * self.shared.longest_deadline.get();
        let time_remaining = number("wait", max_time_remaining)?;
        let time_remaining = time_remaining.filter(|time| *time > 0.0);
        let time_remaining = time_remaining.ok_or_else(invalid_params)?;
        let work = number("cost", self.shared.max_work())?;
        let memory_mb = number("ram", MAX_MEMORY_MB)?;
        let retry_count = number("retry", MAX_RETRY_COUNT)?;
        let key = params.string("once");
        let key = key.map(|text| parse_idempotency_key(&text).ok_or_else(invalid_params));
        let idempotency_key = key.transpose()?;
        let encoded = params.string("bytes").ok_or_else(invalid_params)?;
        let statement = self
            .decode_statement(&encoded)?
            .ok_or_else(invalid_params)?;
        Ok(RequestParams {
            id,
            time_remaining,
            work,
            memory_mb,
            retry_count,
            idempotency_key,
            tenant: self.tenant(params.string("tenant").as_deref()),
            statement,
        })
    }

    /// The tenant that the client names, if the operator allows clients to name it.
    fn tenant(&self, name: Option<&[u8]>) -> Option<u64> {
        let name = name.filter(|_| self.shared.accepts_tenant_names)?;
        Some(fnv1a_64(name))
    }

    /// Decodes a statement; `None` if the text is not base64.
    fn decode_statement(&self, encoded: &[u8]) -> Result<Option<Statement>, RequestError> {
        let memory = &self.shared.statement_memory;
        let decoded_bytes = encoded.len() / BASE64_GROUP_CHARACTERS * BASE64_GROUP_BYTES;
        if !memory.has_room_for(decoded_bytes) {
            return Err(RequestError::NoMemory);
        }
        let Ok(decoded) = STANDARD.decode(encoded) else {
            return Ok(None);
        };
        let stored = Statement::store(decoded, memory);
        Ok(Some(stored.ok_or(RequestError::NoMemory)?))
    }
}

/// Parses a request's id. Only hexadecimal digits are allowed, which can't break a line of the engine protocol.
fn parse_request_id(text: &[u8]) -> Option<RequestId> {
    let id = RequestId::try_from(text).ok()?;
    id.iter().all(u8::is_ascii_hexdigit).then_some(id)
}

/// Parses an idempotency key. Only characters that can't break a line of the engine protocol are allowed.
fn parse_idempotency_key(text: &[u8]) -> Option<Rc<str>> {
    let is_allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(byte);
    let is_valid =
        text.iter().all(is_allowed) && (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len());
    let text = std::str::from_utf8(text).ok()?;
    is_valid.then(|| text.into())
}
