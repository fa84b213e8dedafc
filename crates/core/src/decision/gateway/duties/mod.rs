//! Work of the holder of the duty.

pub(super) mod duty;
pub(super) mod usage;
