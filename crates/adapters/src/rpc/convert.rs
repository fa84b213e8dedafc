//! Conversion between gRPC messages and domain types.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sardinepath_core::decision::agent::RequestState;
use sardinepath_core::decision::answer::check_attempt;
use sardinepath_core::decision::answer::names_attempt;
use sardinepath_core::domain::call::AnswerSummary;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::call::HeaderField;
use sardinepath_core::domain::declare::Priority;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::error::RunState;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::name::TeamName;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::name::WorkspaceName;
use sardinepath_core::domain::order::AgentAction;
use sardinepath_core::domain::order::AgentOrder;
use sardinepath_core::domain::order::OrderAnswer;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::target::ServingState;

use crate::rpc::generated as wire;
use crate::rpc::generated::execute_event::Event;

/// Encodes a call.
pub(crate) fn call_to_wire(call: &Call) -> wire::ExecuteRequest {
    wire::ExecuteRequest {
        request: Bytes::copy_from_slice(&call.request.0.to_be_bytes()),
        attempt: call.attempt.0,
        team: call.workspace.team.to_string(),
        workspace: call.workspace.name.to_string(),
        method: call.method.to_string(),
        path: call.path.to_string(),
        headers: call.fields.iter().map(field_to_wire).collect(),
        body: Bytes::copy_from_slice(&call.body),
        idempotent: call.idempotent,
        deadline: u64::try_from(call.deadline.as_millis()).unwrap_or(u64::MAX),
        priority: priority_to_wire(call.priority),
        streamed: call.streamed,
    }
}

/// Decodes a call. Returns `None` if the request id is malformed.
pub(crate) fn call_from_wire(wire: wire::ExecuteRequest) -> Option<Call> {
    Some(Call {
        request: request_id(&wire.request)?,
        attempt: Attempt(wire.attempt),
        workspace: workspace(&wire.team, &wire.workspace),
        method: Arc::from(wire.method),
        path: Arc::from(wire.path),
        fields: wire.headers.into_iter().map(field_from_wire).collect(),
        body: Arc::from(&wire.body[..]),
        idempotent: wire.idempotent,
        deadline: Duration::from_millis(wire.deadline),
        priority: priority_from_wire(wire.priority),
        streamed: wire.streamed,
    })
}

/// Decodes a request id. Returns `None` unless it has 16 bytes.
pub(crate) fn request_id(bytes: &[u8]) -> Option<RequestId> {
    let bytes: [u8; 16] = bytes.try_into().ok()?;
    Some(RequestId(u128::from_be_bytes(bytes)))
}

/// Encodes an event of an attempt. Only the kinds of events that are checked on receipt carry the
/// request id and the attempt number.
pub(crate) fn event_to_wire(
    event: CallEvent,
    identity: (RequestId, Attempt),
) -> wire::ExecuteEvent {
    let has_identity = names_attempt(&event);
    let event = match event {
        CallEvent::Head { status, fields } => Event::Head(wire::Head {
            status: status.into(),
            headers: fields.iter().map(field_to_wire).collect(),
        }),
        CallEvent::Chunk(bytes) => Event::Chunk(Bytes::from(bytes)),
        CallEvent::Heartbeat => Event::Heartbeat(wire::Heartbeat {}),
        CallEvent::End(ending) => Event::End(wire::End {
            tokens: ending.tokens,
            versions: ending.versions.iter().map(|v| v.0).collect(),
            counter: ending.counter.as_ref().map(counter_to_wire),
        }),
        CallEvent::Failed(failure) => Event::Failure(wire::Failure {
            kind: failure.kind.answer().code.to_owned(),
            run: run_to_wire(failure.run),
            detail: String::new(),
        }),
    };
    let (request, attempt) = identity;
    wire::ExecuteEvent {
        event: Some(event),
        request: if has_identity {
            Bytes::copy_from_slice(&request.0.to_be_bytes())
        } else {
            Bytes::new()
        },
        attempt: if has_identity { attempt.0 } else { 0 },
    }
}

/// Decodes an event of an attempt.
///
/// Returns the failure `AgentLost`, which leaves open whether the request ran, for an event of an
/// unknown kind and for a head, end or failure of another attempt.
pub(crate) fn event_from_wire(
    wire: wire::ExecuteEvent,
    expected: (RequestId, Attempt),
) -> CallEvent {
    let actual = request_id(&wire.request).map(|id| (id, Attempt(wire.attempt)));
    let event = match wire.event {
        Some(Event::Head(head)) => CallEvent::Head {
            status: u16::try_from(head.status).unwrap_or(502),
            fields: head.headers.into_iter().map(field_from_wire).collect(),
        },
        Some(Event::Chunk(bytes)) => CallEvent::Chunk(bytes.into()),
        Some(Event::Heartbeat(_)) => CallEvent::Heartbeat,
        Some(Event::End(end)) => CallEvent::End(AnswerSummary {
            tokens: end.tokens,
            versions: end.versions.into_iter().map(WeightVersion).collect(),
            counter: end.counter.map(counter_from_wire),
        }),
        Some(Event::Failure(failure)) => CallEvent::Failed(failure_from_wire(&failure)),
        None => CallEvent::Failed(Failure::from(ErrorKind::AgentLost)),
    };
    check_attempt(event, actual, expected)
}

/// Encodes an order.
pub(crate) fn order_to_wire(order: &AgentOrder) -> wire::OrderRequest {
    let action = match &order.action {
        AgentAction::Load { model, version } => {
            wire::order_request::Order::Load(wire::LoadVersion {
                model: model.to_string(),
                version: version.0,
            })
        }
        AgentAction::Drain => wire::order_request::Order::Drain(wire::Drain {}),
    };
    wire::OrderRequest {
        fence: order.fence.0,
        intent: order.intent.to_string(),
        order: Some(action),
    }
}

/// Decodes an order. Returns `None` if it contains no action.
pub(crate) fn order_from_wire(wire: wire::OrderRequest) -> Option<AgentOrder> {
    let action = match wire.order? {
        wire::order_request::Order::Load(load) => AgentAction::Load {
            model: ModelName::from(load.model),
            version: WeightVersion(load.version),
        },
        wire::order_request::Order::Drain(_) => AgentAction::Drain,
    };
    Some(AgentOrder {
        fence: Fence(wire.fence),
        intent: Arc::from(wire.intent),
        action,
    })
}

/// Encodes the result of an order.
pub(crate) fn answer_to_wire(answer: OrderAnswer) -> wire::OrderReply {
    let detail = answer.result.err().map(|kind| kind.answer().code);
    wire::OrderReply {
        accepted: answer.result.is_ok(),
        fence: answer.fence.0,
        detail: detail.unwrap_or_default().to_owned(),
    }
}

/// Decodes the result of an order.
pub(crate) fn answer_from_wire(wire: &wire::OrderReply) -> OrderAnswer {
    let kind = ErrorKind::from_code(&wire.detail).unwrap_or(ErrorKind::Internal);
    OrderAnswer {
        fence: Fence(wire.fence),
        result: if wire.accepted { Ok(()) } else { Err(kind) },
    }
}

/// Encodes what an agent knows about a request.
pub(crate) fn known_to_wire(incarnation: Incarnation, known: RequestState) -> wire::LookupReply {
    wire::LookupReply {
        incarnation: incarnation.0,
        state: match known {
            RequestState::Unknown => 0,
            RequestState::Running => 1,
            RequestState::Ended => 2,
        },
    }
}

/// Decodes what an agent knows about a request. An unknown state becomes `RequestState::Unknown`.
pub(crate) fn known_from_wire(wire: &wire::LookupReply) -> (Incarnation, RequestState) {
    let known = match wire.state {
        1 => RequestState::Running,
        2 => RequestState::Ended,
        _ => RequestState::Unknown,
    };
    (Incarnation(wire.incarnation), known)
}

/// Encodes a usage counter.
pub(crate) fn counter_to_wire(counter: &Counter) -> wire::Counter {
    wire::Counter {
        incarnation: counter.incarnation.0,
        team: counter.workspace.team.to_string(),
        workspace: counter.workspace.name.to_string(),
        tokens: counter.tokens,
    }
}

/// Decodes a usage counter.
pub(crate) fn counter_from_wire(wire: wire::Counter) -> Counter {
    Counter {
        incarnation: Incarnation(wire.incarnation),
        workspace: workspace(&wire.team, &wire.workspace),
        tokens: wire.tokens,
    }
}

/// Encodes a report.
pub(crate) fn report_to_wire(report: Report) -> wire::TargetReport {
    wire::TargetReport {
        incarnation: report.incarnation.0,
        target: report.target.to_string(),
        model: String::new(),
        version: report.version.0,
        running: report.running,
        queued: report.queued,
        capacity: report.capacity,
        state: match report.state {
            ServingState::Starting => 0,
            ServingState::Serving => 1,
            ServingState::Leaving => 2,
        },
        cached: report.cached,
        evicted: report.evicted,
        cache_gap: report.cache_gap,
    }
}

/// Decodes a report. An unknown state becomes `Leaving`, so that the target gets no new requests.
pub(crate) fn report_from_wire(wire: wire::TargetReport) -> Report {
    Report {
        incarnation: Incarnation(wire.incarnation),
        target: TargetName::from(wire.target),
        version: WeightVersion(wire.version),
        running: wire.running,
        queued: wire.queued,
        capacity: wire.capacity,
        state: match wire.state {
            0 => ServingState::Starting,
            1 => ServingState::Serving,
            _ => ServingState::Leaving,
        },
        cached: wire.cached,
        evicted: wire.evicted,
        cache_gap: wire.cache_gap,
    }
}

fn failure_from_wire(wire: &wire::Failure) -> Failure {
    let kind = ErrorKind::from_code(&wire.kind).unwrap_or(ErrorKind::Internal);
    Failure {
        kind,
        run: match wire.run {
            0 => RunState::NotRun,
            2 => RunState::Ran,
            _ => RunState::MayHaveRun,
        },
        retry_after: None,
    }
}

fn run_to_wire(run: RunState) -> u32 {
    match run {
        RunState::NotRun => 0,
        RunState::MayHaveRun => 1,
        RunState::Ran => 2,
    }
}

fn priority_to_wire(priority: Priority) -> u32 {
    match priority {
        Priority::Training => 0,
        Priority::Interactive => 1,
        Priority::Batch => 2,
    }
}

fn priority_from_wire(wire: u32) -> Priority {
    match wire {
        0 => Priority::Training,
        1 => Priority::Interactive,
        _ => Priority::Batch,
    }
}

fn field_to_wire(field: &HeaderField) -> wire::Header {
    wire::Header {
        name: field.name.to_string(),
        value: Bytes::copy_from_slice(&field.value),
    }
}

fn field_from_wire(wire: wire::Header) -> HeaderField {
    HeaderField {
        name: Arc::from(wire.name),
        value: Arc::from(&wire.value[..]),
    }
}

fn workspace(team: &str, name: &str) -> WorkspaceId {
    WorkspaceId {
        team: TeamName::from(team),
        name: WorkspaceName::from(name),
    }
}
