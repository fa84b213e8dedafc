//! Bodies of responses that are sent while they arrive.

use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::web::Body;

/// Number of parts of a streamed body that wait for a slow receiver.
const QUEUE_CAPACITY: usize = 16;

/// Body of a response that is either held in memory or streamed.
pub type ResponseBody = BoxBody<Bytes, io::Error>;

/// Sends the parts of a streamed body. Dropping it ends the body as complete.
#[derive(Debug)]
pub struct BodySender {
    parts: mpsc::Sender<Result<Frame<Bytes>, io::Error>>,
}

/// The receiver of a streamed body has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiverGone;

impl BodySender {
    /// Sends a part. Waits while the receiver is slow.
    pub async fn send(&self, part: Bytes) -> Result<(), ReceiverGone> {
        let sent = self.parts.send(Ok(Frame::data(part))).await;
        sent.map_err(|_| ReceiverGone)
    }

    /// Ends the body as incomplete, which closes the connection.
    pub async fn abort(self, reason: &str) {
        // The send fails if the receiver has gone, which then needs no error.
        let _ = self.parts.send(Err(io::Error::other(reason))).await;
    }

    /// Waits until the receiver has gone.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }
}

/// Returns a streamed body and its sender.
pub fn streamed_body() -> (BodySender, ResponseBody) {
    let (parts, receiver) = mpsc::channel(QUEUE_CAPACITY);
    let body = BodyExt::boxed(StreamBody::new(ReceiverStream::new(receiver)));
    (BodySender { parts }, body)
}

/// Returns a body that is held in memory.
pub fn whole_body(body: Body) -> ResponseBody {
    body.map_err(|never| match never {}).boxed()
}
