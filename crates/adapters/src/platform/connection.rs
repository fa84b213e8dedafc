//! HTTP/1.1 connection for one call that must not be repeated while its effect is unknown.
//!
//! Uses `hyper`, since `minreq` connects and writes in one step: it can neither open a connection
//! in advance nor tell whether a failed call was written, and it reports a connection that closes
//! without a response as status 503.

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
use crate::runtime::timeout;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit from the write to the complete response. A new lease holder waits for calls of its
/// predecessor, so this must not exceed the maximum in-flight time of the leases.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Open connection to which nothing has been written.
#[derive(Debug)]
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _task: Task,
}

/// Status code and body of a response.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// Reason why a call got no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallError {
    /// The call was not written.
    NotSent(String),
    /// The call was written, at least in part, and may have taken effect.
    MayHaveArrived(String),
}

impl Connection {
    /// Opens a connection to `address`. Blocks for at most `CONNECT_TIMEOUT`.
    pub(super) fn open(spawner: &Spawner, address: SocketAddr) -> Result<Self, CallError> {
        let not_sent = |reason: String| CallError::NotSent(format!("{address}: {reason}"));
        let opened = spawner.block_on(async {
            let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            let stream = stream.ok_or_else(|| not_sent("connect timed out".to_owned()))?;
            let stream = stream.map_err(|e| not_sent(e.to_string()))?;
            // A failure only affects latency.
            let _ = stream.set_nodelay(true);
            let handshake = http1::handshake(TokioIo::new(stream)).await;
            handshake.map_err(|e| not_sent(e.to_string()))
        });
        let (sender, connection) = opened?;
        let task = spawner.spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to the platform failed: {e}");
            }
        });
        Ok(Self {
            address,
            sender,
            _task: task,
        })
    }

    /// Sends a `POST` request with a JSON body and waits for the response.
    pub(super) fn post(
        mut self,
        spawner: &Spawner,
        path: &str,
        body: String,
    ) -> Result<Response, CallError> {
        let request = Request::post(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        let result = spawner.block_on(timeout(RESPONSE_TIMEOUT, self.exchange(request)));
        result.unwrap_or_else(|| {
            let reason = format!("{}: no response within {RESPONSE_TIMEOUT:?}", self.address);
            Err(CallError::MayHaveArrived(reason))
        })
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Response, CallError> {
        let address = self.address;
        let may_have_arrived =
            |reason: String| CallError::MayHaveArrived(format!("{address}: {reason}"));
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut e| {
            // `hyper` returns the request if nothing of it was written.
            let written = e.take_message().is_none();
            let reason = e.into_error().to_string();
            if written {
                may_have_arrived(reason)
            } else {
                CallError::NotSent(format!("{address}: {reason}"))
            }
        })?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|e| may_have_arrived(e.to_string()))?;
        Ok(Response {
            status,
            body: body.to_bytes(),
        })
    }
}

impl Response {
    /// Returns `true` if the call certainly had no effect. The server responds with 503 only before
    /// it starts to process a call, and with 4xx to a call that it rejects.
    pub(super) fn had_no_effect(&self) -> bool {
        self.status == 503 || (400..500).contains(&self.status)
    }

    /// Returns the status and the first 200 characters of the body, for an error message.
    pub(super) fn describe(&self) -> String {
        let body = String::from_utf8_lossy(&self.body);
        let excerpt: String = body.chars().take(200).collect();
        format!("unexpected response with status {}: {excerpt}", self.status)
    }

    /// Returns `true` if the body is a JSON object whose field `error` equals `error`.
    pub(super) fn has_error(&self, error: &str) -> bool {
        let value = serde_json::from_slice::<serde_json::Value>(&self.body);
        value.is_ok_and(|value| value["error"] == error)
    }
}
