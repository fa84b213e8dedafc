//! Control thread that owns the state of a stand-in.

use std::thread;
use std::time::Instant;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;

/// Maximum number of steps that wait for the control thread.
const QUEUE_CAPACITY: usize = 1024;

/// Closure that the control thread runs on its state.
type Step<S> = Box<dyn FnOnce(&mut S) + Send>;

/// State machine that a control thread owns.
pub trait Machine: Send + 'static {
    /// Does all work that is due at `now`. Returns the time of the next call, or `None` if there is
    /// no more work until the next step.
    fn advance(&mut self, _now: Instant) -> Option<Instant> {
        None
    }
}

/// Handle of a control thread, which ends when its last handle is dropped.
#[derive(Debug)]
pub struct Control<S> {
    queue: Sender<Step<S>>,
}

impl<S: Machine> Control<S> {
    /// Starts a control thread that owns the state.
    pub fn start(state: S) -> Self {
        let (queue, steps) = flume::bounded(QUEUE_CAPACITY);
        thread::spawn(move || run(state, &steps));
        Self { queue }
    }

    /// Runs a step on the control thread and returns its result. Blocks the calling thread, so
    /// traffic threads use [`Control::ask_async`] instead.
    #[allow(clippy::expect_used)]
    pub fn ask<T: Send + 'static>(&self, step: impl FnOnce(&mut S) -> T + Send + 'static) -> T {
        let (step, reply) = with_reply(step);
        let sent = self.queue.send(step);
        // The thread runs as long as this handle keeps its queue open.
        sent.expect("the control thread runs while a handle exists");
        reply.recv().expect("the control thread answers every step")
    }

    /// Runs a step on the control thread and returns its result without blocking the thread.
    #[allow(clippy::expect_used)]
    pub async fn ask_async<T: Send + 'static>(
        &self,
        step: impl FnOnce(&mut S) -> T + Send + 'static,
    ) -> T {
        let (step, reply) = with_reply(step);
        let sent = self.queue.send_async(step).await;
        // The thread runs as long as this handle keeps its queue open.
        sent.expect("the control thread runs while a handle exists");
        let reply = reply.recv_async().await;
        reply.expect("the control thread answers every step")
    }
}

impl<S> Clone for Control<S> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
        }
    }
}

fn with_reply<S, T: Send + 'static>(
    step: impl FnOnce(&mut S) -> T + Send + 'static,
) -> (Step<S>, Receiver<T>) {
    let (sender, reply) = flume::bounded(1);
    let step = move |state: &mut S| {
        // The caller may have been dropped while it waited for the result.
        let _ = sender.send(step(state));
    };
    (Box::new(step), reply)
}

fn run<S: Machine>(mut state: S, steps: &Receiver<Step<S>>) {
    loop {
        let received = match state.advance(Instant::now()) {
            None => steps.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(due) => steps.recv_deadline(due),
        };
        match received {
            Ok(step) => step(&mut state),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
