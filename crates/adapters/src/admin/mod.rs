//! Administration address: metrics and health, read-only.

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

/// Threads that answer. A second one keeps health checks going beside a slow reader of metrics.
const THREADS: usize = 2;

/// A running administration server. It stops when dropped.
pub struct AdminServer {
    /// Address on which it listens.
    pub address: SocketAddr,
    server: Arc<Server>,
}

/// Status and text of an answer.
type Answer = (u16, String);

impl AdminServer {
    /// Serves a role's state on an address.
    pub fn start(listen: SocketAddr, front: Arc<dyn AdminFront>) -> anyhow::Result<Self> {
        let server =
            Server::http(listen).map_err(|e| anyhow!("could not listen on {listen}: {e}"))?;
        let server = Arc::new(server);
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| anyhow!("listener has no address"))?;
        for _ in 0..THREADS {
            let (server, front) = (server.clone(), front.clone());
            thread::Builder::new()
                .name("admin".to_owned())
                .spawn(move || serve(&server, front.as_ref()))?;
        }
        Ok(Self { address, server })
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        // Each call ends one thread.
        for _ in 0..THREADS {
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

/// Answers requests until the server is stopped.
fn serve(server: &Server, front: &dyn AdminFront) {
    for request in server.incoming_requests() {
        let (status, text) = answer(&request, front);
        let response = Response::from_string(text).with_status_code(status);
        if let Err(e) = request.respond(response) {
            emit(Event::AdminAnswerLost, &[("error", &e)]);
        }
    }
}

fn answer(request: &Request, front: &dyn AdminFront) -> Answer {
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
