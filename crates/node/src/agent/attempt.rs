//! Guard of an attempt that the control thread has allowed to start.

use flume::Sender;
use sardinepath_core::decision::agent::AnswerCollector;
use sardinepath_core::domain::call::AnswerSummary;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::WorkspaceId;

use crate::agent::control::Message;

/// Guard that reports the end of an attempt to the control thread when it is dropped, also if the
/// attempt's task is cancelled.
///
/// The control thread opens the guard and sends it to the attempt, so that an attempt that is
/// cancelled before it gets the decision is ended too.
#[derive(Debug)]
pub struct AttemptGuard {
    /// Request of the attempt.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Workspace for which the attempt runs.
    pub workspace: WorkspaceId,
    control: Sender<Message>,
    /// `true` while the attempt runs.
    open: bool,
}

impl AttemptGuard {
    /// Creates a guard that is closed until the attempt may start.
    pub fn new(call: &Call, control: Sender<Message>) -> Self {
        Self {
            request: call.request,
            attempt: call.attempt,
            workspace: call.workspace.clone(),
            control,
            open: false,
        }
    }

    /// Marks the attempt as started.
    pub(super) fn open(mut self) -> Self {
        self.open = true;
        self
    }

    /// Marks the attempt as ended without a message, for the control thread, which records the end
    /// itself.
    pub(super) fn close(&mut self) {
        self.open = false;
    }

    /// Records that the target did not start the attempt. The control thread handles this before it
    /// handles a retry of the entry.
    pub(super) async fn refuse(mut self) {
        // The control thread ends only when the process stops.
        let message = Message::NotRun(self.request, self.attempt);
        let _ = self.control.send_async(message).await;
        self.open = false;
    }

    /// Reports a complete answer and returns its last event.
    pub(super) async fn complete(
        mut self,
        gathered: AnswerCollector,
        after: Option<WeightVersion>,
    ) -> CallEvent {
        let (reply, counter) = flume::bounded(1);
        let message = self.end_message(Some(gathered.tokens), reply);
        // The control thread ends only when the process stops.
        let _ = self.control.send_async(message).await;
        self.open = false;
        CallEvent::End(AnswerSummary {
            tokens: gathered.tokens,
            versions: gathered.versions.versions(after),
            counter: counter.recv_async().await.ok().flatten(),
        })
    }

    fn end_message(&self, tokens: Option<u64>, reply: Sender<Option<Counter>>) -> Message {
        Message::End {
            request: self.request,
            workspace: self.workspace.clone(),
            tokens,
            reply,
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.open {
            let (reply, _) = flume::bounded(1);
            // The control thread ends only when the process stops.
            let _ = self.control.send(self.end_message(None, reply));
        }
    }
}
