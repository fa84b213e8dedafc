//! Panics of threads and tasks: each is logged and counted, and ends only the work in which it happens.

use std::panic::AssertUnwindSafe;
use std::panic::PanicHookInfo;
use std::panic::catch_unwind;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use flume::Sender;
use sardinepath_core::domain::event::Event;

use crate::event::emit;

/// Number of panics since the start of the process.
static COUNT: AtomicU64 = AtomicU64::new(0);

/// Logs and counts each panic from now on, in place of the output of the standard library.
pub fn install_hook() {
    std::panic::set_hook(Box::new(record));
}

/// Returns the number of panics since [`install_hook`] was called.
pub fn count() -> u64 {
    COUNT.load(Ordering::Relaxed)
}

fn record(info: &PanicHookInfo<'_>) {
    COUNT.fetch_add(1, Ordering::Relaxed);
    let thread = thread::current();
    let name = thread.name().unwrap_or("unnamed");
    emit(Event::Panicked, &[("thread", &name), ("error", info)]);
}

/// A piece of work panicked, which the panic hook has logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Panicked;

/// Runs a piece of work to its end or its panic. The state that it changes must be usable as it is
/// left by a panic.
pub fn survive<T>(work: impl FnOnce() -> T) -> Result<T, Panicked> {
    catch_unwind(AssertUnwindSafe(work)).map_err(|_| Panicked)
}

/// Message about the end of a task, which is sent even if the task panics.
///
/// Without it a task that panics would leave its owner waiting.
#[derive(Debug)]
pub struct EndReport<M> {
    sender: Sender<M>,
    /// Message that is sent if the task ends without another one.
    fallback: Option<M>,
}

impl<M> EndReport<M> {
    /// Creates a report that sends `fallback` unless it is sent or cancelled before it is dropped.
    pub fn new(sender: Sender<M>, fallback: M) -> Self {
        Self {
            sender,
            fallback: Some(fallback),
        }
    }

    /// Sends the message about the regular end of the task.
    pub fn send(mut self, message: M) {
        self.fallback = Some(message);
    }

    /// Ends the task without a message.
    pub fn cancel(mut self) {
        self.fallback = None;
    }
}

impl<M> Drop for EndReport<M> {
    fn drop(&mut self) {
        if let Some(message) = self.fallback.take() {
            // A message after the end of its receiver is not needed any more.
            let _ = self.sender.send(message);
        }
    }
}
