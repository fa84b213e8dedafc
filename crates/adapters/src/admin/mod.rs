//! Read-only HTTP server for metrics, health and readiness.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use anyhow::anyhow;
use sardinepath_core::domain::event::Event;
use sardinepath_core::port::admin::AdminFront;
use sardinepath_core::port::admin::Readiness;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::event::emit;

/// Number of server threads. With one, a slow reader of metrics would block health checks.
const THREAD_COUNT: usize = 2;

/// Running administration server, which stops when dropped.
pub struct AdminServer {
    /// Address on which the server listens.
    pub address: SocketAddr,
    server: Arc<Server>,
}

/// Status code and body of a response.
type StatusAndBody = (u16, String);

impl AdminServer {
    /// Starts serving the state of `front` on the address `listen`.
    ///
    /// Fails if the address is not available or a thread cannot be started.
    pub fn start(listen: SocketAddr, front: Arc<dyn AdminFront>) -> anyhow::Result<Self> {
        let server =
            Server::http(listen).map_err(|e| anyhow!("could not listen on {listen}: {e}"))?;
        let server = Arc::new(server);
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| anyhow!("listener has no address"))?;
        for _ in 0..THREAD_COUNT {
            let (server, front) = (server.clone(), front.clone());
            thread::Builder::new()
                .name("admin".to_owned())
                .spawn(move || serve_requests(&server, front.as_ref()))?;
        }
        Ok(Self { address, server })
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        // Each call to `unblock` ends one thread.
        for _ in 0..THREAD_COUNT {
            self.server.unblock();
        }
    }
}

impl std::fmt::Debug for AdminServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Serves requests until the server is stopped.
fn serve_requests(server: &Server, front: &dyn AdminFront) {
    for request in server.incoming_requests() {
        let (status, text) = respond(&request, front);
        let response = Response::from_string(text).with_status_code(status);
        if let Err(e) = request.respond(response) {
            emit(Event::AdminAnswerLost, &[("error", &e)]);
        }
    }
}

fn respond(request: &Request, front: &dyn AdminFront) -> StatusAndBody {
    if !matches!(request.method(), Method::Get | Method::Head) {
        return (405, "only GET and HEAD are allowed\n".to_owned());
    }
    match request.url() {
        "/metrics" => (200, front.metrics()),
        "/healthz" => (200, "ok\n".to_owned()),
        "/readyz" => {
            let ready = front.ready();
            let status = if ready == Readiness::Ready { 200 } else { 503 };
            (status, format!("{}\n", ready.text()))
        }
        _ => (404, "no such page\n".to_owned()),
    }
}
