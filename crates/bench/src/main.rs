//! bench
fn main() {}
