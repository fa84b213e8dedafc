//! Buffering and validation of the events of one attempt at an entry.

use crate::decision::request::Dispatched;
use crate::decision::request::Request;
use crate::domain::call::CallEvent;
use crate::domain::error::ErrorKind;
use crate::domain::error::Failure;
use crate::domain::ids::Attempt;
use crate::domain::ids::RequestId;

/// Maximum size in bytes of an answer that is buffered before it is sent to the caller.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Answer of one attempt, as far as it has been received.
#[derive(Debug)]
pub struct AnswerBuffer {
    /// `true` if events are sent to the caller as they arrive.
    streamed: bool,
    /// `true` once the head has been received.
    head_seen: bool,
    /// Buffered events, empty if the answer is streamed.
    events: Vec<CallEvent>,
    buffered_bytes: usize,
}

/// Step that follows an event.
#[derive(Debug)]
pub enum AnswerStep {
    /// Wait for the next event.
    Wait,
    /// Send this event to the caller, then wait for the next one.
    Pass(CallEvent),
    /// The answer is complete: send these events to the caller. The number counts its tokens.
    Complete(Vec<CallEvent>, u64),
    /// The attempt failed.
    Failed(Failure),
    /// The entry has to stop the attempt.
    Stop(Failure),
}

impl AnswerBuffer {
    /// Creates an empty answer. If `streamed`, events are sent to the caller as they arrive, else
    /// only once the answer is complete.
    pub fn new(streamed: bool) -> Self {
        Self {
            streamed,
            head_seen: false,
            events: Vec::new(),
            buffered_bytes: 0,
        }
    }

    /// Processes the next event and returns the next step.
    ///
    /// A chunk or an end before the head, or a second head, belongs to another answer. Chunks do
    /// not name their attempt, so this check detects streams that were mixed up.
    pub fn handle_event(
        &mut self,
        request: &mut Request<Dispatched>,
        event: CallEvent,
    ) -> AnswerStep {
        let head = matches!(event, CallEvent::Head { .. });
        let body = matches!(event, CallEvent::Chunk(_) | CallEvent::End(_));
        if head && self.head_seen || body && !self.head_seen {
            return AnswerStep::Failed(Failure::from(ErrorKind::AgentLost));
        }
        self.head_seen |= head;
        match event {
            CallEvent::Heartbeat => AnswerStep::Wait,
            CallEvent::Failed(failure) => AnswerStep::Failed(failure),
            CallEvent::End(ending) => {
                let tokens = ending.tokens;
                self.events.push(CallEvent::End(ending));
                AnswerStep::Complete(std::mem::take(&mut self.events), tokens)
            }
            CallEvent::Head { .. } | CallEvent::Chunk(_) if self.streamed => {
                request.mark_sent();
                AnswerStep::Pass(event)
            }
            CallEvent::Head { .. } | CallEvent::Chunk(_) => self.buffer(event),
        }
    }

    /// Buffers an event until the answer is complete. Stops the attempt if the answer is too large.
    fn buffer(&mut self, event: CallEvent) -> AnswerStep {
        if let CallEvent::Chunk(bytes) = &event {
            self.buffered_bytes += bytes.len();
        }
        if self.buffered_bytes > MAX_ANSWER_BYTES {
            return AnswerStep::Stop(Failure::from(ErrorKind::AnswerTooLarge));
        }
        self.events.push(event);
        AnswerStep::Wait
    }
}

/// Replaces an event of another attempt than `expected` by a failure that leaves open whether the
/// attempt ran. `named` is the attempt that the event names.
///
/// Chunks and heartbeats name no attempt; the head before them and the end after them do.
pub fn check_attempt(
    event: CallEvent,
    named: Option<(RequestId, Attempt)>,
    expected: (RequestId, Attempt),
) -> CallEvent {
    if names_attempt(&event) && named != Some(expected) {
        return CallEvent::Failed(Failure::from(ErrorKind::AgentLost));
    }
    event
}

/// Returns `true` if an event has to name its attempt.
pub fn names_attempt(event: &CallEvent) -> bool {
    !matches!(event, CallEvent::Chunk(_) | CallEvent::Heartbeat)
}
