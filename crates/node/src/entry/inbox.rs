//! Typed senders to the queue of the control thread.
//!
//! Each part of an entry sends only its own type of message. All types share one queue, so the
//! messages of one thread keep their order even if they are of different types.

use std::fmt;
use std::sync::Arc;

use futures_util::future::BoxFuture;

/// Sends messages of one type to the control thread.
pub struct Inbox<M> {
    queue: Arc<dyn Queue<M>>,
}

/// Error of a message that was not sent, because the queue is full or the control thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsent;

trait Queue<M>: Send + Sync {
    fn send(&self, message: M) -> Result<(), Unsent>;
    fn try_send(&self, message: M) -> Result<(), Unsent>;
    fn send_async(&self, message: M) -> BoxFuture<'static, Result<(), Unsent>>;
    fn is_closed(&self) -> bool;
}

impl<M, T> Queue<M> for flume::Sender<T>
where
    T: From<M> + Send + 'static,
{
    fn send(&self, message: M) -> Result<(), Unsent> {
        flume::Sender::send(self, T::from(message)).map_err(|_| Unsent)
    }

    fn try_send(&self, message: M) -> Result<(), Unsent> {
        flume::Sender::try_send(self, T::from(message)).map_err(|_| Unsent)
    }

    fn send_async(&self, message: M) -> BoxFuture<'static, Result<(), Unsent>> {
        let sent = self.clone().into_send_async(T::from(message));
        Box::pin(async move { sent.await.map_err(|_| Unsent) })
    }

    fn is_closed(&self) -> bool {
        self.is_disconnected()
    }
}

impl<M> Inbox<M> {
    /// Creates a sender of messages that convert into those of the queue.
    pub fn new<T>(queue: &flume::Sender<T>) -> Self
    where
        T: From<M> + Send + 'static,
    {
        Self {
            queue: Arc::new(queue.clone()),
        }
    }

    /// Sends a message. Blocks the calling thread while the queue is full.
    pub fn send(&self, message: M) -> Result<(), Unsent> {
        self.queue.send(message)
    }

    /// Sends a message without waiting. Fails if the queue is full.
    pub fn try_send(&self, message: M) -> Result<(), Unsent> {
        self.queue.try_send(message)
    }

    /// Waits until the queue has room and sends a message.
    pub async fn send_async(&self, message: M) -> Result<(), Unsent> {
        self.queue.send_async(message).await
    }

    /// Returns `true` if the control thread has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

impl<M> Clone for Inbox<M> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
        }
    }
}

impl<M> fmt::Debug for Inbox<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Inbox")
    }
}
