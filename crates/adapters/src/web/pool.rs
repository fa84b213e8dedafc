//! HTTP client with a pool of persistent connections for each address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::response::Parts;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::web::Body;
use crate::web::buffer::BufferBudget;
use crate::web::carried::CarriedIds;
use crate::web::carried::IdHeader;
use crate::web::carried::Origin;
use crate::web::carried::SentId;
use crate::web::connect::connect;
use crate::web::counts::ExchangeCounters;
use crate::web::counts::ExchangeCounts;
use crate::web::counts::count;
use crate::web::error::ConnectionUse;
use crate::web::error::SendError;
use crate::web::idle::IdleConnections;
use crate::web::response::PooledConnection;
use crate::web::response::UnreadResponse;
use crate::web::response::is_final;

/// Time limit for the reused connections to become ready. The task of each still has to finish the
/// last exchange, unless the server answered before it had read the whole request.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// HTTP client that reuses idle connections. Clones share the same connections.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Arc<IdleConnections>,
    /// Memory for the bodies of responses.
    buffers: BufferBudget,
    /// Header in which a response repeats the id of its request, if there is one.
    id_header: Option<IdHeader>,
    counters: Arc<ExchangeCounters>,
}

impl Pool {
    /// Creates a client of servers that repeat the value of a header in their responses. A response
    /// with another value belongs to another request, such as the late second copy of an answer. The
    /// call then fails with `MayHaveArrived`, and the connection is not used again.
    ///
    /// A value is sent only once on a connection, since a copy of the answer to its first sending
    /// cannot be told from the answer to the second one. The same holds for requests without the
    /// header, unless they are marked with [`StaleAllowed`](crate::web::StaleAllowed). A connection
    /// whose response names no request is not used again.
    pub fn with_id_header(name: HeaderName) -> Self {
        Self {
            id_header: Some(IdHeader::new(name)),
            ..Self::default()
        }
    }

    /// Sends a request and waits at most `limit` for the head of the response.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<UnreadResponse, SendError> {
        let result = timeout(limit, self.exchange(address, request)).await;
        result.unwrap_or_else(|_| {
            // Other idle connections to this address may have lost their peer too.
            self.close_idle(address);
            Err(SendError::MayHaveArrived(format!(
                "no response within {limit:?}"
            )))
        })
    }

    /// Sends a request and reads the complete response within `limit`.
    ///
    /// Fails with `MayHaveArrived` if the body is larger than `max_bytes` bytes.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<(Parts, Bytes), SendError> {
        let read = async {
            let exchange = self.exchange(address, request).await?;
            exchange.read(max_bytes).await
        };
        timeout(limit, read).await.unwrap_or_else(|_| {
            self.close_idle(address);
            Err(SendError::MayHaveArrived(format!(
                "no response within {limit:?}"
            )))
        })
    }

    /// Returns the number of requests so far.
    pub fn counts(&self) -> ExchangeCounts {
        self.counters.read()
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.close(address);
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<UnreadResponse, SendError> {
        let id = self.id_header.as_ref();
        let id = id.map(|header| header.sent_id(&request));
        let ready_by = Instant::now() + READY_TIMEOUT;
        while let Some(idle) = self.idle.take(address, id.as_ref()) {
            let (mut sender, carried) = (idle.sender, idle.carried);
            if !is_ready(&mut sender, ready_by).await {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => {
                    count(&self.counters.reused);
                    let connection = self.pooled(address, sender, carried);
                    return self.unread_response(connection, id.as_ref(), response);
                }
                Err(mut e) => match e.take_message() {
                    // The connection closed while it was idle.
                    Some(unsent) => request = unsent,
                    None => {
                        count(&self.counters.reused);
                        return Err(self.lost(&e.into_error(), ConnectionUse::Reused));
                    }
                },
            }
        }
        let mut sender = connect(address).await?;
        count(&self.counters.opened);
        match sender.try_send_request(request).await {
            Ok(response) => {
                let connection = self.pooled(address, sender, CarriedIds::default());
                self.unread_response(connection, id.as_ref(), response)
            }
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent(e.into_error().to_string())),
                None => Err(self.lost(&e.into_error(), ConnectionUse::New)),
            },
        }
    }

    /// Returns the error of a request that was sent and got no response, and counts it.
    fn lost(&self, error: &hyper::Error, connection: ConnectionUse) -> SendError {
        let error = SendError::of_sent(error, connection);
        count(match error {
            SendError::Closed(_) => &self.counters.lost,
            _ => &self.counters.malformed,
        });
        error
    }

    /// Returns a connection that can return to the idle ones.
    fn pooled(
        &self,
        address: SocketAddr,
        sender: SendRequest<Body>,
        carried: CarriedIds,
    ) -> PooledConnection {
        PooledConnection {
            idle: self.idle.clone(),
            address,
            sender,
            carried,
            reusable: true,
        }
    }

    /// Returns the response to the request with this id, or an error if it may belong to an earlier
    /// request on the connection.
    fn unread_response(
        &self,
        mut connection: PooledConnection,
        id: Option<&SentId>,
        response: Response<Incoming>,
    ) -> Result<UnreadResponse, SendError> {
        let (head, body) = response.into_parts();
        if !is_final(head.status) {
            count(&self.counters.malformed);
            let reason = format!("the status {} ends no request", head.status.as_u16());
            return Err(SendError::MayHaveArrived(reason));
        }
        if let Some(id) = id {
            match id.origin(&connection.carried, &head.headers) {
                Origin::Named => {}
                Origin::First => connection.reusable = false,
                Origin::Foreign => {
                    count(&self.counters.foreign);
                    let reason = "the response belongs to another request";
                    return Err(SendError::MayHaveArrived(reason.to_owned()));
                }
            }
            connection.carried.insert(id);
        }
        Ok(UnreadResponse {
            head,
            body,
            buffers: self.buffers.clone(),
            connection,
        })
    }
}

/// Waits until a reused connection can send a request. Returns `false` if it closed or does not
/// become ready in time.
async fn is_ready(sender: &mut SendRequest<Body>, until: Instant) -> bool {
    matches!(timeout_at(until, sender.ready()).await, Ok(Ok(())))
}
