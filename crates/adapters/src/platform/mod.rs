//! The platform's interfaces.
