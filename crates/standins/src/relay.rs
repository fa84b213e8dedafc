//! Loopback TCP relay that can cut, freeze and delay its connections.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Direction of data through the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connected to the destination.
    Forward,
    /// From the destination to the side that connected.
    Backward,
}

/// Running relay. Its connections are cut when it is dropped.
#[derive(Debug)]
pub struct Relay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// Number of forwarded bytes, both directions together.
    bytes: AtomicU64,
}

#[derive(Debug)]
struct State {
    destination: SocketAddr,
    links: Vec<Link>,
    delay: Duration,
    closed: bool,
}

/// Relayed connection.
#[derive(Debug)]
struct Link {
    ends: [TcpStream; 2],
    /// Whether each direction is frozen, indexed by [`Direction`].
    frozen: [bool; 2],
}

impl Relay {
    /// Starts a relay to `destination` on a free loopback port.
    pub fn start(destination: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            destination,
            links: Vec::new(),
            delay: Duration::ZERO,
            closed: false,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            bytes: AtomicU64::new(0),
        });
        let accepting = shared.clone();
        thread::spawn(move || accept(&listener, &accepting));
        Ok(Self { address, shared })
    }

    /// Connects new connections to another destination. Open connections stay as they are.
    pub fn redirect(&self, destination: SocketAddr) {
        self.shared.lock().destination = destination;
    }

    /// Permanently stops forwarding one direction of the open connections. New connections work, as
    /// after a middlebox lost its state.
    pub fn freeze(&self, direction: Direction) {
        for link in &mut self.shared.lock().links {
            link.frozen[direction as usize] = true;
        }
    }

    /// Closes the open connections.
    pub fn cut(&self) {
        let mut state = self.shared.lock();
        for link in state.links.drain(..) {
            link.cut();
        }
        self.shared.changed.notify_all();
    }

    /// Forwards each following chunk of data after a delay.
    pub fn delay(&self, delay: Duration) {
        self.shared.lock().delay = delay;
    }

    /// Returns the number of bytes forwarded so far, both directions together.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were opened since the start or the last cut.
    pub fn connections(&self) -> usize {
        self.shared.lock().links.len()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.cut();
        // Wakes the accepting thread, which then finds that the relay is closed.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection. Returns its index, or `None` if the relay is closed.
    fn register(&self, link: Link) -> Option<usize> {
        let mut state = self.lock();
        if state.closed {
            return None;
        }
        state.links.push(link);
        Some(state.links.len() - 1)
    }

    /// Waits until data may be forwarded. Returns `false` if the connection was cut.
    fn wait_to_forward(&self, link: usize, direction: Direction) -> bool {
        let mut state = self.lock();
        while let Some(open) = state.links.get(link) {
            if !open.frozen[direction as usize] {
                let delay = state.delay;
                drop(state);
                thread::sleep(delay);
                return true;
            }
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        false
    }
}

impl Link {
    fn cut(&self) {
        for end in &self.ends {
            // The connection may be closed already.
            let _ = end.shutdown(Shutdown::Both);
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while let Ok((near, _)) = listener.accept() {
        if shared.lock().closed {
            return;
        }
        let destination = shared.lock().destination;
        // If the destination refuses the connection, the accepted one is closed at once.
        if let Ok(far) = TcpStream::connect(destination) {
            let _ = start_pumps(near, far, shared);
        }
    }
}

/// Starts forwarding data between two sockets in both directions.
fn start_pumps(near: TcpStream, far: TcpStream, shared: &Arc<Shared>) -> std::io::Result<()> {
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let link = Link {
        ends: [near.try_clone()?, far.try_clone()?],
        frozen: [false; 2],
    };
    let back = (far.try_clone()?, near.try_clone()?);
    let Some(link) = shared.register(link) else {
        return Ok(());
    };
    for (from, to, direction) in [
        (near, far, Direction::Forward),
        (back.0, back.1, Direction::Backward),
    ] {
        let shared = shared.clone();
        thread::spawn(move || pump(from, to, &shared, link, direction));
    }
    Ok(())
}

/// Forwards data in one direction until either side closes.
fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    shared: &Shared,
    link: usize,
    direction: Direction,
) {
    let mut buffer = [0; 16 << 10];
    loop {
        let length = from.read(&mut buffer).unwrap_or(0);
        // A frozen direction does not forward the end of the connection either.
        if !shared.wait_to_forward(link, direction)
            || length == 0
            || to.write_all(&buffer[..length]).is_err()
        {
            break;
        }
        shared.bytes.fetch_add(length as u64, Ordering::Relaxed);
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
