//! Number of results that fit into one object or answer.

/// Space of a page for encoded results.
#[derive(Clone, Copy, Debug)]
pub struct EncodedPage {
    remaining: usize,
    empty: bool,
}

impl EncodedPage {
    /// Creates an empty page for this number of bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            remaining: bytes,
            empty: true,
        }
    }

    /// Adds a result of an encoded size, if it fits. The first one always does, since no result could
    /// be listed behind it otherwise.
    pub fn add(&mut self, size: usize) -> bool {
        // A comma separates the results.
        let size = size + 1;
        let fits = self.empty || size <= self.remaining;
        if fits {
            self.remaining = self.remaining.saturating_sub(size);
            self.empty = false;
        }
        fits
    }
}
