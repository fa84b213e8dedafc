//! Thread pools for blocking calls to the platform.

use std::thread;

use anyhow::Context;
use flume::Receiver;
use flume::Sender;

use crate::entry::inbox::Inbox;

/// Maximum number of calls that wait for a thread. A platform that does not answer fills the queue;
/// callers then retry at a later tick.
const CALL_QUEUE_CAPACITY: usize = 256;

/// A blocking call. It returns the message to the control thread with its result, if there is one.
pub type Job<M> = Box<dyn FnOnce() -> Option<M> + Send>;

/// A pool of threads for blocking calls. The control thread queues calls and never waits for them.
#[derive(Clone, Debug)]
pub struct PlatformPool<M> {
    jobs: Sender<Job<M>>,
}

/// Error of a call that was not queued because the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

impl<M: Send + 'static> PlatformPool<M> {
    /// Starts a pool of `threads` threads. They end when the last `PlatformPool` is dropped.
    pub fn start(threads: usize, control: &Inbox<M>) -> anyhow::Result<Self> {
        let (jobs, queue) = flume::bounded(CALL_QUEUE_CAPACITY);
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

    /// Queues a call. Fails if the queue is full.
    pub fn call(&self, job: impl FnOnce() -> Option<M> + Send + 'static) -> Result<(), QueueFull> {
        self.jobs.try_send(Box::new(job)).map_err(|_| QueueFull)
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
