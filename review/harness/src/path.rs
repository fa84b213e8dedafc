//! The path between a gateway and the store: a proxy whose connections can be reset or go silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Start of the call that lists the configuration.
const CONFIG_LISTING: &[u8] = b"GET /objects/config";

/// Text that stands in the store for a byte that is no character. The store's stand-in keeps decoded text
/// and cannot hold such bytes, so they are put in on the way to the gateway.
pub const UNREADABLE: &str = "@bytes";

/// The byte 0xff as encoders write it into JSON that has only ASCII: an escape without its pair.
const ESCAPED_BYTE: &[u8] = br"\udcff";

/// Proxy in front of the store. Clones share their state.
#[derive(Clone, Debug)]
pub struct Path {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    resets: Arc<AtomicU32>,
    /// Number of times at which the open connections went silent.
    silences: Arc<watch::Sender<u32>>,
}

impl Path {
    /// Starts a proxy to the store on a free loopback port.
    pub async fn start(store: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let path = Self {
            address: listener.local_addr()?,
            resets: Arc::default(),
            silences: Arc::new(watch::Sender::new(0)),
        };
        let shared = path.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let silences = shared.silences.subscribe();
                tokio::spawn(forward(stream, store, shared.resets.clone(), silences));
            }
        });
        Ok(path)
    }

    /// Resets the next `count` connections on which the configuration is listed.
    pub fn reset_config(&self, count: u32) {
        self.resets.store(count, Ordering::Release);
    }

    /// Returns the number of connections that are still to be reset.
    pub fn resets_left(&self) -> u32 {
        self.resets.load(Ordering::Acquire)
    }

    /// Lets all open connections go silent for good. They stay open, and new ones work.
    pub fn silence(&self) {
        self.silences.send_modify(|count| *count += 1);
    }
}

async fn forward(
    caller: TcpStream,
    store: SocketAddr,
    resets: Arc<AtomicU32>,
    mut silences: watch::Receiver<u32>,
) {
    let before = *silences.borrow_and_update();
    let Ok(server) = TcpStream::connect(store).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    // Closing a connection resets it.
    let _ = caller.set_zero_linger();
    let _ = server.set_nodelay(true);
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let requests = async {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let Ok(read) = from_caller.read(&mut buffer).await else {
                return;
            };
            if read == 0 {
                return;
            }
            let listed = buffer[..read].starts_with(CONFIG_LISTING);
            let one = |left: u32| left.checked_sub(1);
            if listed
                && resets
                    .fetch_update(Ordering::AcqRel, Ordering::Acquire, one)
                    .is_ok()
            {
                return;
            }
            if to_server.write_all(&buffer[..read]).await.is_err() {
                return;
            }
        }
    };
    let answers = async {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let Ok(read) = from_server.read(&mut buffer).await else {
                return;
            };
            spoil(&mut buffer[..read]);
            if read == 0 || to_caller.write_all(&buffer[..read]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = requests => {}
        () = answers => {}
        // The sides stay open, and nothing is forwarded any more.
        () = silenced(&mut silences, before) => std::future::pending().await,
    }
    // Dropping both sides closes the connection with its last call unanswered.
}

/// Waits until the open connections go silent once more.
async fn silenced(silences: &mut watch::Receiver<u32>, before: u32) {
    let waited = silences.wait_for(|count| *count > before).await;
    drop(waited);
}

/// Puts the escaped byte, which has the same length, in the place of the text that stands for it.
fn spoil(bytes: &mut [u8]) {
    let length = ESCAPED_BYTE.len();
    let mut at = 0;
    while let Some(found) = bytes[at..]
        .windows(length)
        .position(|window| window == UNREADABLE.as_bytes())
    {
        bytes[at + found..at + found + length].copy_from_slice(ESCAPED_BYTE);
        at += found + length;
    }
}
