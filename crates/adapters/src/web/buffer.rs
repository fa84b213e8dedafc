//! Memory for the bodies of responses, bounded over all connections of a pool.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Maximum size of all bodies that are being read, in bytes.
const MAX_BUFFERED_BYTES: usize = 48 << 20;

/// Number of bytes that a part of a body counts for at least. Parts of a few bytes cost processor
/// time, so a body without an end is given up sooner if it comes in small parts.
const MIN_PART_BYTES: usize = 256;

/// Reason why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum BodyFault {
    /// The connection ended before the end of the body.
    Incomplete(String),
    /// The body does not fit into the memory for it.
    TooLarge(String),
}

/// Number of bytes of all bodies that are being read. Clones share the same count.
#[derive(Clone, Debug, Default)]
pub(super) struct BufferBudget {
    used: Arc<AtomicUsize>,
}

/// Bytes of one body, which are returned to the budget when this is dropped.
#[derive(Debug)]
struct Reserved<'a> {
    budget: &'a BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    /// Reads a complete body. Fails if it is larger than `max_bytes`, if all bodies together exceed
    /// the budget, or if the body is incomplete.
    pub(super) async fn read(
        &self,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, BodyFault> {
        let mut reserved = Reserved {
            budget: self,
            bytes: 0,
        };
        let mut buffer = BytesMut::new();
        let mut counted = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| BodyFault::Incomplete(e.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            counted += data.len().max(MIN_PART_BYTES);
            if counted > max_bytes.max(MIN_PART_BYTES) {
                let reason = format!("the body is larger than {max_bytes} bytes");
                return Err(BodyFault::TooLarge(reason));
            }
            if !reserved.add(data.len()) {
                let reason = "the bodies of all responses are too large".to_owned();
                return Err(BodyFault::TooLarge(reason));
            }
            buffer.extend_from_slice(&data);
        }
        Ok(buffer.freeze())
    }
}

impl Reserved<'_> {
    /// Reserves more bytes. Returns `false` if the budget is used up.
    fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let before = self.budget.used.fetch_add(bytes, Ordering::AcqRel);
        before + bytes <= MAX_BUFFERED_BYTES
    }
}

impl Drop for Reserved<'_> {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
