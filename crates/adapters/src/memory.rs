//! Bodies of callers, read into memory that is counted as they arrive.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use sardinepath_core::decision::memory::Grant;
use sardinepath_core::decision::memory::HoldingKey;
use sardinepath_core::decision::memory::MemoryBudget;
use sardinepath_core::decision::memory::MemoryLimits;
use sardinepath_core::decision::memory::Owner;
use sardinepath_core::domain::event::Event;
use sardinepath_core::port::clock::Clock;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::HostClock;
use crate::event::emit;

/// Smallest number of bytes by which a buffer grows.
const MIN_GROWTH_BYTES: usize = 4 << 10;

/// Divisor of the size of a buffer that gives the number of bytes by which it grows.
const GROWTH_DIVISOR: usize = 4;

/// Interval at which a body that waits for room asks again, since others may have stalled meanwhile.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the body of a refused request is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFault {
    /// The body is larger than permitted.
    TooLarge,
    /// The connection ended before the end of the body.
    Incomplete,
    /// There is no room for the body.
    NoRoom,
    /// The body made no progress while others needed its room.
    Stalled,
}

/// Stage of a body that arrives.
#[derive(Debug)]
pub struct Arriving;

/// Stage of a body that is complete.
#[derive(Debug)]
pub struct Complete;

/// Memory for the bodies of callers. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    /// Notifies the bodies that wait for room.
    freed: Notify,
    /// Number of bodies that were shed because they had stalled.
    shed: AtomicU64,
    /// Number of bodies that found no room.
    refused: AtomicU64,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    /// Notifies the task that reads a body when the body is shed.
    readers: HashMap<HoldingKey, Arc<Notify>>,
}

/// Counted memory of one body, which is returned when this is dropped.
#[derive(Debug)]
pub struct Held<S> {
    memory: BodyMemory,
    key: HoldingKey,
    stage: PhantomData<S>,
}

/// Buffer of a complete body with its counted memory.
struct HeldBuffer {
    buffer: Vec<u8>,
    _held: Held<Complete>,
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

impl<S> Drop for Held<S> {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.budget.release(self.key);
        state.readers.remove(&self.key);
        drop(state);
        self.memory.inner.freed.notify_waiters();
    }
}

impl BodyMemory {
    /// Creates memory with these limits.
    pub fn new(limits: MemoryLimits) -> Self {
        let state = State {
            budget: MemoryBudget::new(limits),
            readers: HashMap::new(),
        };
        Self {
            inner: Arc::new(Inner {
                state: Mutex::new(state),
                freed: Notify::new(),
                shed: AtomicU64::new(0),
                refused: AtomicU64::new(0),
            }),
        }
    }

    /// Returns the number of bytes that are held.
    pub fn used(&self) -> usize {
        self.lock().budget.used()
    }

    /// Returns the limits.
    pub fn limits(&self) -> MemoryLimits {
        self.lock().budget.limits()
    }

    /// Returns the number of bodies that were shed because they had stalled.
    pub fn shed_count(&self) -> u64 {
        self.inner.shed.load(Ordering::Relaxed)
    }

    /// Returns the number of bodies that found no room.
    pub fn refused_count(&self) -> u64 {
        self.inner.refused.load(Ordering::Relaxed)
    }

    /// Reads a body of at most `max_bytes` bytes. The memory is returned when the bytes are dropped.
    pub async fn read(
        &self,
        owner: Owner,
        body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, ReadFault> {
        let (buffer, held) = self.read_copied(owner, body, max_bytes, 1).await?;
        Ok(Bytes::from_owner(HeldBuffer {
            buffer,
            _held: held,
        }))
    }

    /// Reads a body of which several copies exist while it is served. The memory is counted for all
    /// of them from the start, so that no complete body waits for more.
    pub async fn read_copied(
        &self,
        owner: Owner,
        mut body: Incoming,
        max_bytes: usize,
        copies: usize,
    ) -> Result<(Vec<u8>, Held<Complete>), ReadFault> {
        let shed = Arc::new(Notify::new());
        let held = self.arrive(owner, shed.clone());
        let buffer = tokio::select! {
            biased;
            () = shed.notified() => Err(ReadFault::Stalled),
            buffer = held.fill(&mut body, max_bytes, copies) => buffer,
        };
        match buffer {
            Ok(buffer) => Ok((buffer, held.complete())),
            Err(fault) => {
                discard(body, max_bytes);
                Err(fault)
            }
        }
    }

    fn arrive(&self, owner: Owner, shed: Arc<Notify>) -> Held<Arriving> {
        let mut state = self.lock();
        let key = state.budget.arrive(HostClock.now(), owner);
        state.readers.insert(key, shed);
        Held {
            memory: self.clone(),
            key,
            stage: PhantomData,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        // Each change of the state is complete when the lock is released.
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the task that reads a body to give it up.
    fn shed(&self, key: HoldingKey) {
        let reader = self.lock().readers.get(&key).cloned();
        self.inner.shed.fetch_add(1, Ordering::Relaxed);
        if let Some(reader) = reader {
            reader.notify_one();
        }
    }
}

impl Held<Arriving> {
    /// Reads a body into one buffer. The memory for a stated length is counted before any of it is
    /// read: bodies that each hold a part and wait for the rest would keep each other from their ends.
    async fn fill(
        &self,
        body: &mut Incoming,
        max_bytes: usize,
        copies: usize,
    ) -> Result<Vec<u8>, ReadFault> {
        let limits = self.memory.limits();
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if stated > max_bytes {
            return Err(ReadFault::TooLarge);
        }
        let mut counted = limits.charge(stated, copies);
        self.grow(counted).await?;
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| ReadFault::Incomplete)?.into_data() else {
                continue;
            };
            let needed = buffer.len() + data.len();
            if needed > max_bytes {
                return Err(ReadFault::TooLarge);
            }
            if needed > buffer.capacity() {
                let capacity = next_capacity(needed, stated, max_bytes);
                let charge = limits.charge(capacity, copies);
                if charge > counted {
                    self.grow(charge - counted).await?;
                    counted = charge;
                }
                buffer.reserve_exact(capacity - buffer.len());
            }
            buffer.extend_from_slice(&data);
            self.arrived(buffer.len());
        }
        Ok(buffer)
    }

    fn arrived(&self, total: usize) {
        let now = HostClock.now();
        self.memory.lock().budget.arrived(now, self.key, total);
    }

    /// Waits until the body may grow by this number of bytes.
    async fn grow(&self, bytes: usize) -> Result<(), ReadFault> {
        loop {
            let freed = self.memory.inner.freed.notified();
            let now = HostClock.now();
            let grant = self.memory.lock().budget.grow(now, self.key, bytes);
            match grant {
                Grant::Admit => return Ok(()),
                Grant::Shed(other) => self.memory.shed(other),
                Grant::Wait => {}
                Grant::Refuse => {
                    self.log_refusal(bytes);
                    return Err(ReadFault::NoRoom);
                }
            }
            tokio::select! {
                () = freed => {}
                () = sleep(WAIT_INTERVAL) => {}
            }
        }
    }

    fn log_refusal(&self, bytes: usize) {
        self.memory.inner.refused.fetch_add(1, Ordering::Relaxed);
        let (used, limits) = (self.memory.used(), self.memory.limits());
        emit(
            Event::BodyRefused,
            &[
                ("bytes", &bytes),
                ("used", &used),
                ("bodies", &limits.bodies),
                ("share", &limits.share),
            ],
        );
    }

    fn complete(self) -> Held<Complete> {
        self.memory.lock().budget.complete(self.key);
        let held = Held {
            memory: self.memory.clone(),
            key: self.key,
            stage: PhantomData,
        };
        // The memory is now returned by the new handle.
        std::mem::forget(self);
        held
    }
}

/// Reads and discards the rest of a body, bounded in bytes and time. Closing a connection with
/// unread bytes resets it, and the caller would lose the response.
pub fn discard(mut body: Incoming, max_bytes: usize) {
    if body.is_end_stream() {
        return;
    }
    let read = async move {
        let mut left = max_bytes;
        while let Some(Ok(frame)) = body.frame().await {
            let read = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(read) else {
                return;
            };
            left = rest;
        }
    };
    tokio::spawn(timeout(DISCARD_TIMEOUT, read));
}

/// Returns the size of a buffer that has to hold `needed` bytes. It stays below the stated length,
/// or the limit if none is stated.
fn next_capacity(needed: usize, stated: usize, max_bytes: usize) -> usize {
    let most = if stated > 0 { stated } else { max_bytes };
    let grown = needed + (needed / GROWTH_DIVISOR).max(MIN_GROWTH_BYTES);
    grown.min(most).max(needed)
}
