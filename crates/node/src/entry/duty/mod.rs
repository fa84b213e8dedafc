//! Duties of an entry: work that at most one process does at a time.

pub mod lease;
