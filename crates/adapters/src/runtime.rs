//! The asynchronous runtime with a fixed number of traffic threads.
//!
//! `tonic` and `hyper` need it. Code outside this crate sees only `Spawner`, `Task` and `sleep`.

use std::future::Future;
use std::io;
use std::time::Duration;

use sardinepath_core::port::target::CallGuard;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

/// Owns the traffic threads.
#[derive(Debug)]
pub struct Runtime {
    inner: tokio::runtime::Runtime,
}

/// Starts tasks on the traffic threads.
#[derive(Clone, Debug)]
pub struct Spawner {
    handle: Handle,
}

/// A running task. Dropping it stops the task.
#[derive(Debug)]
pub struct Task {
    handle: Option<JoinHandle<()>>,
}

impl Runtime {
    /// Starts this many traffic threads.
    pub fn start(threads: usize) -> io::Result<Self> {
        let inner = Builder::new_multi_thread()
            .worker_threads(threads)
            .max_blocking_threads(4)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        Ok(Self { inner })
    }

    /// Returns a handle for starting tasks.
    pub fn spawner(&self) -> Spawner {
        Spawner {
            handle: self.inner.handle().clone(),
        }
    }

    /// Stops all tasks, waiting at most `limit` for running steps.
    pub fn stop(self, limit: Duration) {
        self.inner.shutdown_timeout(limit);
    }
}

impl Spawner {
    /// Starts a task.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) -> Task {
        Task {
            handle: Some(self.handle.spawn(work)),
        }
    }

    /// Runs a future to its end on the calling thread, which must not be a traffic thread.
    pub fn block_on<T>(&self, work: impl Future<Output = T>) -> T {
        self.handle.block_on(work)
    }

    /// Enters the runtime's context, which sockets need when they are registered.
    pub(crate) fn enter(&self) -> tokio::runtime::EnterGuard<'_> {
        self.handle.enter()
    }
}

impl Task {
    /// Lets the task run on without its owner.
    pub fn detach(mut self) {
        self.handle = None;
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        if let Some(handle) = &self.handle {
            handle.abort();
        }
    }
}

impl CallGuard for Task {}

/// Waits for a duration.
pub async fn sleep(duration: Duration) {
    tokio::time::sleep(duration).await;
}

/// Waits for a future, at most for `limit`. Returns none if the limit passed first.
pub async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(limit, work).await.ok()
}
