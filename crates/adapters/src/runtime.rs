//! Tokio runtime with a fixed number of traffic threads.
//!
//! `tonic` and `hyper` require Tokio. The types here keep it out of the code of other crates.

use std::future::Future;
use std::io;
use std::time::Duration;

use sardinepath_core::port::target::CallGuard;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

/// Tokio runtime that owns the traffic threads.
#[derive(Debug)]
pub struct Runtime {
    runtime: tokio::runtime::Runtime,
}

/// Handle that starts tasks on the traffic threads.
#[derive(Clone, Debug)]
pub struct Spawner {
    handle: Handle,
}

/// Handle of a running task. Dropping it aborts the task.
#[derive(Debug)]
pub struct Task {
    handle: Option<JoinHandle<()>>,
}

impl Runtime {
    /// Starts a runtime with `threads` traffic threads.
    ///
    /// Fails if the system refuses to create a thread or an event queue.
    pub fn start(threads: usize) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .max_blocking_threads(4)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        Ok(Self { runtime })
    }

    /// Returns a handle for starting tasks.
    pub fn spawner(&self) -> Spawner {
        Spawner {
            handle: self.runtime.handle().clone(),
        }
    }

    /// Stops all tasks. Waits at most `limit` for threads that are still running one.
    pub fn stop(self, limit: Duration) {
        self.runtime.shutdown_timeout(limit);
    }
}

impl Spawner {
    /// Starts a task on the traffic threads.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) -> Task {
        Task {
            handle: Some(self.handle.spawn(future)),
        }
    }

    /// Runs a future to completion on the calling thread.
    ///
    /// Panics on a traffic thread, which must not block.
    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.handle.block_on(future)
    }

    /// Enters the runtime context, which Tokio requires for the registration of sockets.
    pub(crate) fn enter(&self) -> tokio::runtime::EnterGuard<'_> {
        self.handle.enter()
    }
}

impl Task {
    /// Drops the handle without aborting the task.
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

/// Completes after `duration`.
pub async fn sleep(duration: Duration) {
    tokio::time::sleep(duration).await;
}

/// Waits at most `limit` for a future. Returns `None` if the time runs out first.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(limit, future).await.ok()
}
