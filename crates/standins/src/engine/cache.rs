//! Prefix cache of the model engine, with events that are published late.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::decision::prefix::prefix_hashes;

/// Events that are kept for readers. A reader that is further behind sees a gap.
const EVENT_ROOM: usize = 1024;

/// Cache events after a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// Sequence number of the last published event.
    pub sequence: u64,
    /// Prefixes that were added.
    pub cached: Vec<u64>,
    /// Prefixes that were evicted.
    pub evicted: Vec<u64>,
    /// True if events between the two sequence numbers are missing.
    pub gap: bool,
}

#[derive(Debug)]
struct Event {
    sequence: u64,
    time: Instant,
    prefix: u64,
    added: bool,
}

/// Cache of a limited number of blocks; the least recently used block goes first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    room: usize,
    clock: u64,
    used: BTreeMap<u64, u64>,
    sequence: u64,
    /// Sequence number of the newest event that is no longer kept.
    dropped: u64,
    events: VecDeque<Event>,
    /// Events that will be lost instead of published.
    pub(super) lose: u32,
}

impl PrefixCache {
    pub(super) fn new(room: usize) -> Self {
        Self {
            room,
            clock: 0,
            used: BTreeMap::new(),
            sequence: 0,
            dropped: 0,
            events: VecDeque::new(),
            lose: 0,
        }
    }

    /// Takes a prompt in and returns how many of its blocks were missing.
    pub(super) fn admit(&mut self, prompt: &str, now: Instant) -> usize {
        let prefixes = prefix_hashes(prompt);
        let known = prefixes.iter().take_while(|p| self.used.contains_key(p));
        let missing = prefixes.len() - known.count();
        for prefix in prefixes {
            self.touch(prefix, now);
        }
        missing
    }

    /// Returns the events after a sequence number that are at least `lag` old.
    pub(super) fn news(&self, after: u64, lag: Duration, now: Instant) -> CacheEvents {
        let due = |event: &&Event| event.time + lag <= now;
        let published: Vec<_> = self.events.iter().take_while(due).collect();
        let sequence = published.last().map_or(self.dropped, |e| e.sequence);
        let fresh = || published.iter().filter(|event| event.sequence > after);
        let expected = sequence.saturating_sub(after);
        CacheEvents {
            sequence,
            cached: fresh().filter(|e| e.added).map(|e| e.prefix).collect(),
            evicted: fresh().filter(|e| !e.added).map(|e| e.prefix).collect(),
            gap: after > self.sequence || fresh().count() as u64 != expected,
        }
    }

    fn touch(&mut self, prefix: u64, now: Instant) {
        self.clock += 1;
        if self.used.insert(prefix, self.clock).is_none() {
            self.publish(prefix, true, now);
        }
        if self.used.len() > self.room {
            let oldest = self.used.iter().min_by_key(|(_, used)| **used);
            if let Some(oldest) = oldest.map(|(prefix, _)| *prefix) {
                self.used.remove(&oldest);
                self.publish(oldest, false, now);
            }
        }
    }

    fn publish(&mut self, prefix: u64, added: bool, now: Instant) {
        self.sequence += 1;
        if self.lose > 0 {
            self.lose -= 1;
            return;
        }
        self.events.push_back(Event {
            sequence: self.sequence,
            time: now,
            prefix,
            added,
        });
        if self.events.len() > EVENT_ROOM {
            let oldest = self.events.pop_front();
            self.dropped = oldest.map_or(self.dropped, |event| event.sequence);
        }
    }
}
