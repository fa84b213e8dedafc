//! Division of the memory of a host among what a process holds for its callers.

/// Memory of a process that serves nothing, in bytes, with what its libraries keep.
const BASE_BYTES: usize = 24 << 20;

/// Divisor of the memory above the base that gives the part for bodies.
const BODIES_DIVISOR: usize = 2;

/// Divisor of the memory above the base that gives the part for jobs. What is left is for answers
/// and for copies that last only as long as a call.
const JOBS_DIVISOR: usize = 4;

/// Divisor of the memory above the base that gives the part for connections.
const CONNECTIONS_DIVISOR: usize = 4;

/// Memory of an open connection, in bytes: buffers of the head and the state of its task.
const CONNECTION_BYTES: usize = 32 << 10;

/// Divisor of the part for bodies that gives the reserve for small ones.
const RESERVE_DIVISOR: usize = 8;

/// Divisor of what large bodies may use that gives the part which one owner leaves to the others.
const OTHERS_DIVISOR: usize = 8;

/// Descriptors of a host that are not for sockets.
const RESERVED_DESCRIPTORS: usize = 200;

/// Divisor of the descriptors for sockets that gives those for callers. The others are for targets,
/// the store and other processes.
const CALLERS_DIVISOR: usize = 2;

/// Bounds on what a process holds for its callers, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// All bodies of callers together.
    pub bodies: usize,
    /// Part of `bodies` that only small bodies may use.
    pub reserve: usize,
    /// Largest part of `bodies` that one owner may use.
    pub share: usize,
    /// Submissions that are kept in memory after they were accepted.
    pub jobs: usize,
}

impl MemoryLimits {
    /// Divides the memory of a host, in bytes.
    pub fn for_host(memory: usize) -> Self {
        let free = memory.saturating_sub(BASE_BYTES);
        let bodies = free / BODIES_DIVISOR;
        let reserve = bodies / RESERVE_DIVISOR;
        Self {
            bodies,
            reserve,
            share: (bodies - reserve) - (bodies - reserve) / OTHERS_DIVISOR,
            jobs: free / JOBS_DIVISOR,
        }
    }

    /// Returns `true` if a body of this size can be held while nothing else is.
    pub fn fits(&self, body: usize) -> bool {
        body <= self.largest()
    }

    /// Returns the number of bytes that are counted for a body of which several copies exist while it
    /// is served. A large one is counted with what one owner can have at most, less a part for its
    /// other requests, so that it is served alone.
    pub fn charge(&self, bytes: usize, copies: usize) -> usize {
        let most = self.largest() - self.largest() / OTHERS_DIVISOR;
        bytes.max(bytes.saturating_mul(copies).min(most))
    }

    /// Returns the size of the largest body that can be held.
    pub fn largest(&self) -> usize {
        self.share
    }
}

/// Returns the number of connections of callers that a host with this memory, in bytes, and this
/// number of descriptors can hold.
pub fn max_connections(memory: usize, descriptors: usize) -> usize {
    let sockets = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let for_memory = memory.saturating_sub(BASE_BYTES) / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
    (sockets / CALLERS_DIVISOR).min(for_memory).max(1)
}
