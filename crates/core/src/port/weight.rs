//! Port to the rate-limited weight store.

use crate::domain::ids::WeightVersion;
use crate::domain::name::ModelName;

/// The weight store.
pub trait WeightPort: Send + Sync {
    /// Returns the newest published version of a model.
    fn latest(&self, model: &ModelName) -> Result<WeightVersion, String>;
}
