//! Accepts connections of callers.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use flume::Receiver;
use flume::Sender;
use futures_util::future::Either;
use futures_util::future::select;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::event::Event;
use sardinepath_core::port::front::CallerFront;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::caller::connection::Connection;
use crate::caller::limits::CallerLimits;
use crate::caller::refuse::refuse;
use crate::caller::shared::Shared;
use crate::event::emit;
use crate::memory::BodyMemory;
use crate::runtime::Spawner;
use crate::runtime::Task;
use crate::runtime::sleep;

/// Delay after a failed accept, for example when the process has no file descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of connections above the limit that are being refused with an error response.
/// Further ones are closed without a response.
const MAX_REFUSALS: usize = 64;

/// Time for which a draining server refuses requests with `draining` before it closes its listener
/// and idle connections. Closing them at once would reset requests in transit.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Running server for callers, which stops when dropped.
#[derive(Debug)]
pub struct CallerServer {
    /// Address on which the server listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: Sender<()>,
    finished: Receiver<()>,
    _task: Task,
}

/// State of the accept loop.
struct Acceptor {
    spawner: Spawner,
    shared: Arc<Shared>,
    /// Permits for open connections.
    slots: Arc<Semaphore>,
    /// Permits for connections that are being refused.
    refusal_slots: Arc<Semaphore>,
    /// Channel that closes when connections have to end after their running request.
    closing: Receiver<Infallible>,
    /// Channel that closes when the accept loop and all connections have ended.
    ended: Sender<()>,
}

impl CallerServer {
    /// Starts serving callers on a listener.
    ///
    /// Fails if the listener has no address or cannot be registered with the runtime.
    pub fn start(
        spawner: &Spawner,
        listener: TcpListener,
        limits: CallerLimits,
        front: Arc<dyn CallerFront>,
    ) -> anyhow::Result<Self> {
        let address = listener.local_addr().context("listener has no address")?;
        listener.set_nonblocking(true)?;
        let _context = spawner.enter();
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let (stop, stopped) = flume::bounded(1);
        let (close, closing) = flume::bounded(0);
        let (ended, finished) = flume::bounded(0);
        let shared = Arc::new(Shared {
            limits,
            front,
            memory: BodyMemory::new(limits.memory),
            draining: AtomicBool::new(false),
        });
        let acceptor = Acceptor {
            spawner: spawner.clone(),
            shared: shared.clone(),
            slots: Arc::new(Semaphore::new(limits.max_connections)),
            refusal_slots: Arc::new(Semaphore::new(MAX_REFUSALS)),
            closing,
            ended,
        };
        Ok(Self {
            address,
            shared,
            stop,
            finished,
            _task: spawner.spawn(acceptor.run(listener, stopped, close)),
        })
    }

    /// Refuses new requests, and stops accepting connections after a grace period.
    ///
    /// The returned channel closes once every running request has got its response and all
    /// connections are closed.
    pub fn drain(&self) -> Receiver<()> {
        self.shared.draining.store(true, Ordering::Release);
        // A full channel already holds a stop request.
        let _ = self.stop.try_send(());
        self.finished.clone()
    }
}
impl Acceptor {
    /// Accepts connections until the grace period of the drain is over, then closes idle ones.
    async fn run(
        self,
        listener: tokio::net::TcpListener,
        stop: Receiver<()>,
        close: Sender<Infallible>,
    ) {
        self.accept_until(Box::pin(stop.recv_async()), &listener)
            .await;
        self.accept_until(Box::pin(sleep(DRAIN_GRACE_PERIOD)), &listener)
            .await;
        drop(listener);
        drop(close);
    }

    /// Accepts connections until `end` is ready.
    async fn accept_until(&self, mut end: impl Future + Unpin, listener: &tokio::net::TcpListener) {
        loop {
            match select(end, Box::pin(listener.accept())).await {
                Either::Left(_) => return,
                Either::Right((accepted, rest)) => {
                    self.handle_accepted(accepted.map(|(stream, _)| stream))
                        .await;
                    end = rest;
                }
            }
        }
    }

    /// Serves an accepted connection, or refuses it above the limit.
    async fn handle_accepted(&self, accepted: io::Result<TcpStream>) {
        let stream = match accepted {
            Ok(stream) => stream,
            Err(e) => {
                emit(Event::AcceptFailed, &[("error", &e)]);
                return sleep(ACCEPT_RETRY_DELAY).await;
            }
        };
        if let Ok(permit) = self.slots.clone().try_acquire_owned() {
            let connection = Connection {
                shared: self.shared.clone(),
                closing: self.closing.clone(),
                _ended: self.ended.clone(),
                _permit: permit,
            };
            self.spawner.spawn(connection.serve(stream)).detach();
        } else if let Ok(permit) = self.refusal_slots.clone().try_acquire_owned() {
            self.shared.front.record_refusal(ErrorKind::Overloaded);
            let refusal = async move {
                refuse(stream, ErrorKind::Overloaded).await;
                drop(permit);
            };
            self.spawner.spawn(refusal).detach();
        }
    }
}
