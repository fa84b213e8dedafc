//! The queue of the control thread as one subject sees it.
//!
//! A subject knows only its own messages. The control thread has one queue, so messages of one
//! sender keep their order, also those of different subjects.

use std::fmt;
use std::sync::Arc;

use futures_util::future::BoxFuture;

/// Sends the messages of one subject to the control thread.
pub struct Inbox<M> {
    queue: Arc<dyn Queue<M>>,
}

/// The queue is full or its control thread has ended, so the message was not sent.
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
    /// Opens a queue to the messages of one subject.
    pub fn new<T>(queue: &flume::Sender<T>) -> Self
    where
        T: From<M> + Send + 'static,
    {
        Self {
            queue: Arc::new(queue.clone()),
        }
    }

    /// Sends a message. Waits while the queue is full, so it belongs on a thread that may block.
    pub fn send(&self, message: M) -> Result<(), Unsent> {
        self.queue.send(message)
    }

    /// Sends a message unless the queue is full.
    pub fn try_send(&self, message: M) -> Result<(), Unsent> {
        self.queue.try_send(message)
    }

    /// Sends a message once the queue has room.
    pub async fn send_async(&self, message: M) -> Result<(), Unsent> {
        self.queue.send_async(message).await
    }

    /// Tells whether the control thread has ended.
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
