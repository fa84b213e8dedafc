//! Port to the rate-limited weight store.

use crate::domain::ids::WeightVersion;
use crate::domain::name::ModelName;

/// Client of the weight store.
pub trait WeightPort: Send + Sync {
    /// Returns the newest published version of a model. An error holds the reason.
    fn latest(&self, model: &ModelName) -> Result<WeightVersion, String>;
}
