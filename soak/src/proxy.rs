//! Loopback TCP proxy that delays, blocks or closes connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// Fault that a proxy applies to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Disturbance {
    /// Forwards all data.
    #[default]
    None,
    /// Forwards each chunk of data after this delay.
    Delay(Duration),
    /// Closes all open connections and every new one.
    Refuse,
    /// Forwards nothing in either direction and keeps the connections open.
    Silence,
    /// Forwards nothing to the caller; data to the server still passes.
    OneWay,
}

/// Proxy in front of one server address. Clones share their disturbance.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    sender: Arc<watch::Sender<Disturbance>>,
}

impl Proxy {
    /// Starts a proxy to `upstream` on a free loopback port.
    pub async fn start(upstream: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let sender = Arc::new(watch::Sender::new(Disturbance::None));
        let receiver = sender.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(handle_connection(stream, upstream, receiver.clone()));
            }
        });
        Ok(Self { address, sender })
    }

    /// Applies a disturbance to open and new connections until the next call.
    pub fn disturb(&self, disturbance: Disturbance) {
        self.sender.send_replace(disturbance);
    }
}

async fn handle_connection(
    caller: TcpStream,
    upstream: SocketAddr,
    disturbance: watch::Receiver<Disturbance>,
) {
    if *disturbance.borrow() == Disturbance::Refuse {
        return;
    }
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let mut refused = disturbance.clone();
    tokio::select! {
        () = forward(from_caller, to_server, disturbance.clone(), false) => {}
        () = forward(from_server, to_caller, disturbance, true) => {}
        _ = refused.wait_for(|d| *d == Disturbance::Refuse) => {}
    }
}

async fn forward(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    disturbance: watch::Receiver<Disturbance>,
    to_caller: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(read) = from.read(&mut buffer).await else {
            return;
        };
        if read == 0 {
            return;
        }
        let now = *disturbance.borrow();
        match now {
            Disturbance::Delay(time) => sleep(time).await,
            // Blocks for good, as a middlebox that lost its state never forwards what it held.
            Disturbance::Silence => std::future::pending().await,
            Disturbance::OneWay if to_caller => std::future::pending().await,
            _ => {}
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
