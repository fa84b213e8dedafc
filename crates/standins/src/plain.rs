//! A plain service that keeps a log of what it executed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

use anyhow::anyhow;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// One executed call as the service saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Executed {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// All header fields as `name: value`.
    pub fields: Vec<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// A running plain service. It stops when dropped.
pub struct PlainService {
    /// Address on which it listens.
    pub address: SocketAddr,
    server: Arc<Server>,
    log: Arc<Mutex<Vec<Executed>>>,
}

impl PlainService {
    /// Starts a service on a free port of the loopback.
    pub fn start() -> anyhow::Result<Self> {
        let server = Server::http("127.0.0.1:0").map_err(|e| anyhow!("could not listen: {e}"))?;
        let server = Arc::new(server);
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| anyhow!("listener has no address"))?;
        let log = Arc::default();
        let serve = (server.clone(), Arc::clone(&log));
        thread::spawn(move || {
            for request in serve.0.incoming_requests() {
                answer(request, &serve.1);
            }
        });
        Ok(Self {
            address,
            server,
            log,
        })
    }

    /// Returns everything that was executed.
    pub fn executed(&self) -> Vec<Executed> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.clone()
    }
}

impl Drop for PlainService {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

/// Executes one call. `/status` is not logged, since it is no call of a user.
fn answer(mut request: Request, log: &Mutex<Vec<Executed>>) {
    let mut body = Vec::new();
    // An unreadable body is logged as far as it was read.
    let _ = request.as_reader().read_to_end(&mut body);
    let path = request.url().to_owned();
    if path.starts_with("/status") {
        let status = r#"{"version":0,"running":0,"queued":0,"capacity":64,"sequence":0}"#;
        let _ = request.respond(Response::from_string(status));
        return;
    }
    let text = format!("executed {} {path}", request.method());
    let executed = Executed {
        method: request.method().to_string(),
        path,
        fields: request.headers().iter().map(Header::to_string).collect(),
        body,
    };
    log.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(executed);
    // The caller may have gone.
    let _ = request.respond(Response::from_string(text));
}
