//! A plain service that keeps a log of what it executed.
//!
//! It uses `hyper`, since the thread pool of `tiny_http` can leave one of several connections that
//! arrive together without a thread for as long as the others stay open.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// Answer to `/status`.
const STATUS: &str = r#"{"version":0,"running":0,"queued":0,"capacity":64,"sequence":0}"#;

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

/// What a plain service does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlainFaults {
    /// Time between the execution and the answer.
    pub delay: Duration,
}

/// A running plain service. It stops when dropped.
pub struct PlainService {
    /// Address on which it listens.
    pub address: SocketAddr,
    runtime: Option<Runtime>,
    state: Shared,
}

type Shared = Arc<Mutex<State>>;

#[derive(Debug, Default)]
struct State {
    log: Vec<Executed>,
    faults: PlainFaults,
}

impl PlainService {
    /// Starts a service on a free port of the loopback.
    pub fn start() -> anyhow::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let state = Shared::default();
        runtime.spawn(accept(listener, Arc::clone(&state)));
        Ok(Self {
            address,
            runtime: Some(runtime),
            state,
        })
    }

    /// Returns everything that was executed.
    pub fn executed(&self) -> Vec<Executed> {
        lock(&self.state).log.clone()
    }

    /// Changes what the service does wrong from now on.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlainFaults)) {
        change(&mut lock(&self.state).faults);
    }
}

impl Drop for PlainService {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Serves connections until the first failed accept, which a test sees as refused calls.
async fn accept(listener: TcpListener, state: Shared) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        let service = service_fn(move |request| {
            let state = Arc::clone(&state);
            async move { Ok::<_, Infallible>(answer(request, &state).await) }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(served);
    }
}

/// Executes one call. `/status` is not logged, since it is no call of a user.
async fn answer(request: Request<Incoming>, state: &Shared) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    if path.starts_with("/status") {
        return text(STATUS.to_owned());
    }
    let fields = head.headers.iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes());
        format!("{name}: {value}")
    });
    let executed = Executed {
        method: head.method.to_string(),
        path: path.to_owned(),
        fields: fields.collect(),
        // A call whose body breaks off is logged without it.
        body: body.collect().await.map_or(vec![], |b| b.to_bytes().into()),
    };
    let delay = {
        let mut state = lock(state);
        state.log.push(executed);
        state.faults.delay
    };
    tokio::time::sleep(delay).await;
    text(format!("executed {} {path}", head.method))
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn text(text: String) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from(text)))
}
