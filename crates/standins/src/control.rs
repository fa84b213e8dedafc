//! The control thread that owns a stand-in's state.

use std::thread;
use std::time::Instant;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;

/// Steps that may wait for the control thread.
const QUEUE_ROOM: usize = 1024;

type Step<S> = Box<dyn FnOnce(&mut S) + Send>;

/// State that a control thread owns.
pub trait Machine: Send + 'static {
    /// Does what is due at `now`, and returns when to call it next.
    fn advance(&mut self, _now: Instant) -> Option<Instant> {
        None
    }
}

/// Access to the state of a control thread. The thread ends with the last handle.
#[derive(Debug)]
pub struct Control<S> {
    queue: Sender<Step<S>>,
}

impl<S: Machine> Control<S> {
    /// Starts a control thread that owns the state.
    pub fn start(state: S) -> Self {
        let (queue, steps) = flume::bounded(QUEUE_ROOM);
        thread::spawn(move || run(state, &steps));
        Self { queue }
    }

    /// Runs a step on the control thread and waits for its result. Not for traffic threads.
    #[allow(clippy::expect_used)]
    pub fn ask<T: Send + 'static>(&self, step: impl FnOnce(&mut S) -> T + Send + 'static) -> T {
        let (step, reply) = with_reply(step);
        let sent = self.queue.send(step);
        // The thread runs as long as this handle keeps its queue open.
        sent.expect("the control thread runs while a handle exists");
        reply.recv().expect("the control thread answers every step")
    }

    /// Runs a step on the control thread without blocking the traffic thread.
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
        // A caller that was dropped needs no result.
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
