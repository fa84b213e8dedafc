//! The threads of an entry that make blocking calls to the platform.

use std::thread;

use anyhow::Context;
use flume::Receiver;
use flume::Sender;

use crate::entry::inbox::Inbox;

/// Calls that may wait for a thread. A platform that does not answer fills the queue; then duties
/// wait and try again at their next tick.
const ROOM: usize = 256;

/// A call and what the control thread is told of its result.
pub type Job<M> = Box<dyn FnOnce() -> Option<M> + Send>;

/// Passes calls to the platform threads. The control thread never waits for them.
#[derive(Clone, Debug)]
pub struct Platform<M> {
    jobs: Sender<Job<M>>,
}

/// The queue of calls is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformBusy;

impl<M: Send + 'static> Platform<M> {
    /// Starts this many threads. They end when the last `Platform` is dropped.
    pub fn start(threads: usize, control: &Inbox<M>) -> anyhow::Result<Self> {
        let (jobs, queue) = flume::bounded(ROOM);
        for _ in 0..threads {
            let queue = queue.clone();
            let control = control.clone();
            thread::Builder::new()
                .name("platform".to_owned())
                .spawn(move || run(&queue, &control))
                .context("could not start a platform thread")?;
        }
        Ok(Self { jobs })
    }

    /// Queues a call.
    pub fn call(
        &self,
        job: impl FnOnce() -> Option<M> + Send + 'static,
    ) -> Result<(), PlatformBusy> {
        self.jobs.try_send(Box::new(job)).map_err(|_| PlatformBusy)
    }
}

fn run<M>(queue: &Receiver<Job<M>>, control: &Inbox<M>) {
    while let Ok(job) = queue.recv() {
        let Some(message) = job() else {
            continue;
        };
        if control.send(message).is_err() {
            return;
        }
    }
}
