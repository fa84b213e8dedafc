//! One connection for one call whose effect matters.
//!
//! `hyper` is used in place of `minreq`, which connects and writes in one step: it can neither
//! prepare a connection nor tell whether a failed call had been written, and it reports a connection
//! that closes without an answer as status 503.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::runtime::Spawner;
use crate::runtime::Task;
use crate::runtime::within;

/// Time for a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Time from the write to the whole answer. A new lease holder waits this long for calls of the
/// former one, so it must not be longer than the maximum in-flight time of the leases.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// Largest answer in bytes.
const ANSWER_MOST: usize = 1 << 20;

/// An open connection on which nothing has been written.
#[derive(Debug)]
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _task: Task,
}

/// A status code with its body.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallError {
    /// Nothing was written.
    NotSent(String),
    /// The call may have arrived.
    MayHaveArrived(String),
}

impl Connection {
    /// Opens a connection.
    pub(super) fn open(spawner: &Spawner, address: SocketAddr) -> Result<Self, CallError> {
        let not_sent = |reason: String| CallError::NotSent(format!("{address}: {reason}"));
        let opened = spawner.block_on(async {
            let stream = within(CONNECT_LIMIT, TcpStream::connect(address)).await;
            let stream = stream.ok_or_else(|| not_sent("connect timed out".to_owned()))?;
            let stream = stream.map_err(|e| not_sent(e.to_string()))?;
            // The option only affects latency.
            let _ = stream.set_nodelay(true);
            let shaken = http1::handshake(TokioIo::new(stream)).await;
            shaken.map_err(|e| not_sent(e.to_string()))
        });
        let (sender, connection) = opened?;
        let task = spawner.spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("a connection to the platform ended: {e}");
            }
        });
        Ok(Self {
            address,
            sender,
            _task: task,
        })
    }

    /// Posts a JSON text and waits for the answer.
    pub(super) fn post(
        mut self,
        spawner: &Spawner,
        path: &str,
        body: String,
    ) -> Result<Answer, CallError> {
        let request = Request::post(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        let answered = spawner.block_on(within(ANSWER_LIMIT, self.exchange(request)));
        answered.unwrap_or_else(|| {
            let reason = format!("{}: no answer in {ANSWER_LIMIT:?}", self.address);
            Err(CallError::MayHaveArrived(reason))
        })
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
        let address = self.address;
        let may_have_arrived =
            |reason: String| CallError::MayHaveArrived(format!("{address}: {reason}"));
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut e| {
            // `hyper` hands back a request of which nothing was written.
            let written = e.take_message().is_none();
            let reason = e.into_error().to_string();
            if written {
                may_have_arrived(reason)
            } else {
                CallError::NotSent(format!("{address}: {reason}"))
            }
        })?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), ANSWER_MOST)
            .collect()
            .await;
        let body = body.map_err(|e| may_have_arrived(e.to_string()))?;
        Ok(Answer {
            status,
            body: body.to_bytes(),
        })
    }
}

impl Answer {
    /// Returns true if the call certainly had no effect: the interface answers 503 only before it
    /// starts, and 4xx to calls that it rejects.
    pub(super) fn is_without_effect(&self) -> bool {
        self.status == 503 || (400..500).contains(&self.status)
    }

    /// Describes an answer that is not the expected one.
    pub(super) fn describe(&self) -> String {
        let body = String::from_utf8_lossy(&self.body);
        let start: String = body.chars().take(200).collect();
        format!("answered with {}: {start}", self.status)
    }

    /// Returns true if the body names this error.
    pub(super) fn names(&self, error: &str) -> bool {
        let value = serde_json::from_slice::<serde_json::Value>(&self.body);
        value.is_ok_and(|value| value["error"] == error)
    }
}
