//! The platform's interfaces.

pub mod object;
