//! Administration address: metrics and health.
