//! sardinepath
fn main() {}
