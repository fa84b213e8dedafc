//! Loopback proxy that disturbs connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// What a proxy does with its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Disturbance {
    /// Passes everything on.
    #[default]
    None,
    /// Passes everything on after this time.
    Delay(Duration),
    /// Closes all connections, also new ones.
    Refuse,
    /// Passes nothing on in either direction, and keeps the connections.
    Silence,
    /// Passes nothing on to the caller.
    OneWay,
}

/// A proxy before one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address to connect to.
    pub address: SocketAddr,
    sender: Arc<watch::Sender<Disturbance>>,
}

impl Proxy {
    /// Starts a proxy on a free port of the loopback.
    pub async fn start(behind: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let sender = Arc::new(watch::Sender::new(Disturbance::None));
        let receiver = sender.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(connection(stream, behind, receiver.clone()));
            }
        });
        Ok(Self { address, sender })
    }

    /// Sets what happens to the connections from now on.
    pub fn disturb(&self, disturbance: Disturbance) {
        self.sender.send_replace(disturbance);
    }
}

async fn connection(
    caller: TcpStream,
    behind: SocketAddr,
    disturbance: watch::Receiver<Disturbance>,
) {
    if *disturbance.borrow() == Disturbance::Refuse {
        return;
    }
    let Ok(server) = TcpStream::connect(behind).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let mut refused = disturbance.clone();
    tokio::select! {
        () = copy(from_caller, to_server, disturbance.clone(), false) => {}
        () = copy(from_server, to_caller, disturbance, true) => {}
        _ = refused.wait_for(|d| *d == Disturbance::Refuse) => {}
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    disturbance: watch::Receiver<Disturbance>,
    answers: bool,
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
            // A device on the path that lost its state never passes on what it held.
            Disturbance::Silence => std::future::pending().await,
            Disturbance::OneWay if answers => std::future::pending().await,
            _ => {}
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
