//! HTTP server of the stand-ins, with one runtime for all of them and listeners that can go down.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::LazyLock;

use anyhow::Context;
use anyhow::anyhow;
use bytes::Bytes;
use flume::Receiver;
use flume::Sender;
use http::HeaderMap;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

/// Number of traffic threads, which all stand-ins of a process share.
const TRAFFIC_THREADS: usize = 2;

static RUNTIME: LazyLock<io::Result<Runtime>> = LazyLock::new(|| {
    Builder::new_multi_thread()
        .worker_threads(TRAFFIC_THREADS)
        .thread_name("stand-in")
        .enable_all()
        .build()
});

/// Body of an answer, which may fail with an I/O error to break the connection.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Future of a handler's answer.
pub type AnswerFuture = Pin<Box<dyn Future<Output = Answer> + Send>>;

/// Request handler. Its future is dropped when the connection closes.
pub type Handler = Arc<dyn Fn(ReceivedRequest) -> AnswerFuture + Send + Sync>;

/// Request that a stand-in received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query, as in the request line.
    pub path: String,
    /// All header fields as `name: value`, with names in lower case.
    pub headers: Vec<String>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Answer of a handler.
pub enum Answer {
    /// Sends a response.
    Response(Response<Body>),
    /// Closes the connection without a response.
    Lost,
}

/// Listener with its connections. It stops when dropped.
#[derive(Debug)]
pub struct Server {
    /// Address on which the server listens. It stays the same when the server comes back.
    pub address: SocketAddr,
    commands: Sender<Command>,
}

enum Command {
    Down(Sender<()>),
    Up(Sender<io::Result<()>>),
}

impl ReceivedRequest {
    /// Returns the first value of a header field. `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut pairs = self.headers.iter().filter_map(|f| f.split_once(": "));
        pairs.find(|(found, _)| *found == name).map(|(_, v)| v)
    }

    /// Returns the path without the query.
    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// Returns a query parameter without decoding its percent-encoding.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(found, _)| *found == name).map(|(_, v)| v)
    }
}

impl Answer {
    /// Returns an answer with a JSON body.
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Self::bytes(status, "application/json", value.to_string())
    }

    /// Returns an answer with a body of known length. `kind` is its content type.
    pub fn bytes(status: u16, kind: &'static str, body: impl Into<Bytes>) -> Self {
        let body = Full::new(body.into()).map_err(|never| match never {});
        Self::body(status, kind, body.boxed_unsync())
    }

    /// Returns an answer with any body. `kind` is its content type.
    pub fn body(status: u16, kind: &'static str, body: Body) -> Self {
        let response = Response::builder()
            .status(status)
            .header("content-type", kind)
            .body(body);
        response.map_or(Self::Lost, Self::Response)
    }

    /// Adds a header field.
    #[must_use]
    pub fn with_header(self, name: &'static str, value: &'static str) -> Self {
        match self {
            Self::Response(mut response) => {
                let value = http::HeaderValue::from_static(value);
                response.headers_mut().insert(name, value);
                Self::Response(response)
            }
            Self::Lost => Self::Lost,
        }
    }
}

impl Server {
    /// Starts a server on a free loopback port.
    pub fn start(handler: Handler) -> anyhow::Result<Self> {
        let runtime = RUNTIME
            .as_ref()
            .map_err(|e| anyhow!("could not start the runtime of the stand-ins: {e}"))?;
        let listener = std::net::TcpListener::bind("127.0.0.1:0")
            .context("could not listen on a loopback port")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let _context = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let (commands, receiver) = flume::bounded(1);
        runtime.spawn(serve(address, listener, handler, receiver));
        Ok(Self { address, commands })
    }

    /// Closes the listener and all connections, so that new ones are refused.
    pub fn stop(&self) {
        let (reply, done) = flume::bounded(1);
        // Sending fails only after the runtime has ended, which closes all sockets.
        let _ = self.commands.send(Command::Down(reply));
        let _ = done.recv();
    }

    /// Listens again on the same address. Fails if another process has taken the port.
    pub fn restart(&self) -> anyhow::Result<()> {
        let (reply, done) = flume::bounded(1);
        self.commands.send(Command::Up(reply))?;
        done.recv()?
            .context("could not listen on the same address again")
    }
}

async fn serve(
    address: SocketAddr,
    listener: TcpListener,
    handler: Handler,
    commands: Receiver<Command>,
) {
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            command = commands.recv_async() => match command {
                Err(_) => return,
                Ok(Command::Down(reply)) => {
                    listener = None;
                    connections.shutdown().await;
                    let _ = reply.send(());
                }
                Ok(Command::Up(reply)) => {
                    let bound = TcpListener::bind(address).await;
                    let _ = reply.send(bound.map(|bound| listener = Some(bound)));
                }
            },
            accepted = accept(listener.as_ref()) => match accepted {
                Ok(stream) => {
                    connections.spawn(handle_connection(stream, handler.clone()));
                }
                Err(e) => log::warn!("a stand-in could not accept a connection: {e}"),
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn handle_connection(stream: TcpStream, handler: Handler) {
    // A failure only affects latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move {
            let received = receive(request).await?;
            match handler(received).await {
                Answer::Response(response) => Ok(response),
                Answer::Lost => Err(io::Error::other(
                    "the handler closed the connection without an answer",
                )),
            }
        }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(e) = served.await {
        log::debug!("a connection to a stand-in ended with an error: {e}");
    }
}

async fn receive(request: Request<Incoming>) -> io::Result<ReceivedRequest> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?;
    Ok(ReceivedRequest {
        method: head.method.to_string(),
        path: head.uri.to_string(),
        headers: header_lines(&head.headers),
        body: body.to_bytes().to_vec(),
    })
}

fn header_lines(headers: &HeaderMap) -> Vec<String> {
    let line = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        format!("{name}: {}", String::from_utf8_lossy(value.as_bytes()))
    };
    headers.iter().map(line).collect()
}
