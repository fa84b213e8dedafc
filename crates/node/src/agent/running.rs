//! An attempt that the control thread has let start.

use flume::Sender;
use sardinepath_core::decision::agent::Gathered;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::call::Ending;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::WorkspaceId;

use crate::agent::control::Message;

/// Tells the control thread the end of an attempt, also if its task is stopped.
///
/// The control thread opens it and sends it to the attempt, so an attempt that is stopped before
/// it gets the decision is ended too.
#[derive(Debug)]
pub struct Running {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// Workspace for which it runs.
    pub workspace: WorkspaceId,
    control: Sender<Message>,
    open: bool,
}

impl Running {
    /// Creates a handle that is closed until the attempt may start.
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

    /// Marks the attempt as ended, for a control thread that notes the end itself.
    pub(super) fn close(&mut self) {
        self.open = false;
    }

    /// Notes that the target did not start the attempt. Has effect before the entry can retry.
    pub(super) async fn refuse(mut self) {
        // The control thread is gone only when the process stops.
        let message = Message::NotRun(self.request, self.attempt);
        let _ = self.control.send_async(message).await;
        self.open = false;
    }

    /// Counts a whole answer and builds its last event.
    pub(super) async fn whole(
        mut self,
        gathered: Gathered,
        after: Option<WeightVersion>,
    ) -> CallEvent {
        let (reply, counter) = flume::bounded(1);
        let message = self.end(Some(gathered.tokens), reply);
        // The control thread is gone only when the process stops.
        let _ = self.control.send_async(message).await;
        self.open = false;
        CallEvent::End(Ending {
            tokens: gathered.tokens,
            versions: gathered.label.versions(after),
            counter: counter.recv_async().await.ok().flatten(),
        })
    }

    fn end(&self, tokens: Option<u64>, reply: Sender<Option<Counter>>) -> Message {
        Message::End {
            request: self.request,
            workspace: self.workspace.clone(),
            tokens,
            reply,
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.open {
            let (reply, _) = flume::bounded(1);
            // The control thread is gone only when the process stops.
            let _ = self.control.send(self.end(None, reply));
        }
    }
}
