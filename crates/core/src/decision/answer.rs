//! Decides what becomes of each event of an attempt at an entry.

use crate::decision::request::Dispatched;
use crate::decision::request::Request;
use crate::domain::call::CallEvent;
use crate::domain::error::ErrorKind;
use crate::domain::error::Failure;
use crate::domain::ids::Attempt;
use crate::domain::ids::RequestId;

/// Largest answer that is collected before it is passed on, in bytes.
pub const ANSWER_MOST: usize = 8 << 20;

/// The answer of one attempt, as far as it has come.
#[derive(Debug)]
pub struct Answer {
    streamed: bool,
    /// True once the head has come.
    headed: bool,
    parts: Vec<CallEvent>,
    size: usize,
}

/// What to do after an event.
#[derive(Debug)]
pub enum Taken {
    /// Wait for the next event.
    Wait,
    /// Pass this event on to the caller, then wait for the next.
    Pass(CallEvent),
    /// The answer is whole: pass these events on. The number counts its tokens.
    Whole(Vec<CallEvent>, u64),
    /// The attempt failed.
    Failed(Failure),
    /// This entry stops the attempt.
    Stop(Failure),
}

impl Answer {
    /// Starts an answer that is passed on as it comes, or only when it is whole.
    pub fn new(streamed: bool) -> Self {
        Self {
            streamed,
            headed: false,
            parts: Vec::new(),
            size: 0,
        }
    }

    /// Takes in the next event.
    ///
    /// A part or an end in front of the head, or a second head, belongs to another answer. Parts
    /// do not name their attempt, so this is how those of a crossed stream are noticed.
    pub fn take(&mut self, request: &mut Request<Dispatched>, event: CallEvent) -> Taken {
        let head = matches!(event, CallEvent::Head { .. });
        let body = matches!(event, CallEvent::Chunk(_) | CallEvent::End(_));
        if head && self.headed || body && !self.headed {
            return Taken::Failed(Failure::from(ErrorKind::AgentLost));
        }
        self.headed |= head;
        match event {
            CallEvent::Heartbeat => Taken::Wait,
            CallEvent::Failed(failure) => Taken::Failed(failure),
            CallEvent::End(ending) => {
                let tokens = ending.tokens;
                self.parts.push(CallEvent::End(ending));
                Taken::Whole(std::mem::take(&mut self.parts), tokens)
            }
            CallEvent::Head { .. } | CallEvent::Chunk(_) if self.streamed => {
                request.mark_sent();
                Taken::Pass(event)
            }
            CallEvent::Head { .. } | CallEvent::Chunk(_) => self.keep(event),
        }
    }

    /// Keeps a part until the answer is whole.
    fn keep(&mut self, event: CallEvent) -> Taken {
        if let CallEvent::Chunk(bytes) = &event {
            self.size += bytes.len();
        }
        if self.size > ANSWER_MOST {
            return Taken::Stop(Failure::from(ErrorKind::AnswerTooLarge));
        }
        self.parts.push(event);
        Taken::Wait
    }
}

/// Replaces an event that does not belong to the attempt of its stream by a failure that claims
/// nothing. `from` is what the event names as its attempt.
///
/// Parts and heartbeats name no attempt; the head in front of them and the end behind them do.
pub fn check_attempt(
    event: CallEvent,
    from: Option<(RequestId, Attempt)>,
    of: (RequestId, Attempt),
) -> CallEvent {
    if names_attempt(&event) && from != Some(of) {
        return CallEvent::Failed(Failure::from(ErrorKind::AgentLost));
    }
    event
}

/// Tells whether an event has to name its attempt.
pub fn names_attempt(event: &CallEvent) -> bool {
    !matches!(event, CallEvent::Chunk(_) | CallEvent::Heartbeat)
}
