//! Prefix cache of the model engine, which publishes its events after a delay.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::decision::prefix::prefix_hashes;

/// Maximum number of events kept for readers. A reader that is further behind sees a gap.
const MAX_EVENTS: usize = 1024;

/// Cache events after a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// Sequence number of the last published event.
    pub sequence: u64,
    /// Hashes of the prefixes that were added.
    pub cached: Vec<u64>,
    /// Hashes of the prefixes that were evicted.
    pub evicted: Vec<u64>,
    /// True if events after the requested sequence number are missing.
    pub gap: bool,
}

#[derive(Debug)]
struct Event {
    sequence: u64,
    time: Instant,
    prefix: u64,
    added: bool,
}

/// Cache with a limited number of blocks, which evicts the least recently used block.
#[derive(Debug)]
pub(super) struct PrefixCache {
    /// Maximum number of blocks.
    capacity: usize,
    /// Number of accesses so far.
    clock: u64,
    /// Value of the clock at the last access to each prefix.
    last_used: BTreeMap<u64, u64>,
    sequence: u64,
    /// Sequence number of the newest event that is no longer kept.
    last_dropped: u64,
    events: VecDeque<Event>,
    /// Number of upcoming events that are dropped instead of published.
    pub(super) drop_next: u32,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_used: BTreeMap::new(),
            sequence: 0,
            last_dropped: 0,
            events: VecDeque::new(),
            drop_next: 0,
        }
    }

    /// Adds the blocks of a prompt and returns how many of them were not cached.
    pub(super) fn admit(&mut self, prompt: &str, now: Instant) -> usize {
        let prefixes = prefix_hashes(prompt);
        let cached = prefixes
            .iter()
            .take_while(|p| self.last_used.contains_key(p));
        let missing = prefixes.len() - cached.count();
        for prefix in prefixes {
            self.touch(prefix, now);
        }
        missing
    }

    /// Returns the events after a sequence number that are at least `lag` old.
    pub(super) fn events_after(&self, after: u64, lag: Duration, now: Instant) -> CacheEvents {
        let due = |event: &&Event| event.time + lag <= now;
        let published: Vec<_> = self.events.iter().take_while(due).collect();
        let sequence = published.last().map_or(self.last_dropped, |e| e.sequence);
        let newer = || published.iter().filter(|event| event.sequence > after);
        let expected = sequence.saturating_sub(after);
        CacheEvents {
            sequence,
            cached: newer().filter(|e| e.added).map(|e| e.prefix).collect(),
            evicted: newer().filter(|e| !e.added).map(|e| e.prefix).collect(),
            gap: after > self.sequence || newer().count() as u64 != expected,
        }
    }

    fn touch(&mut self, prefix: u64, now: Instant) {
        self.clock += 1;
        if self.last_used.insert(prefix, self.clock).is_none() {
            self.publish(prefix, true, now);
        }
        if self.last_used.len() > self.capacity {
            let oldest = self.last_used.iter().min_by_key(|(_, last)| **last);
            if let Some(oldest) = oldest.map(|(prefix, _)| *prefix) {
                self.last_used.remove(&oldest);
                self.publish(oldest, false, now);
            }
        }
    }

    fn publish(&mut self, prefix: u64, added: bool, now: Instant) {
        self.sequence += 1;
        if self.drop_next > 0 {
            self.drop_next -= 1;
            return;
        }
        self.events.push_back(Event {
            sequence: self.sequence,
            time: now,
            prefix,
            added,
        });
        if self.events.len() > MAX_EVENTS {
            let oldest = self.events.pop_front();
            self.last_dropped = oldest.map_or(self.last_dropped, |event| event.sequence);
        }
    }
}
