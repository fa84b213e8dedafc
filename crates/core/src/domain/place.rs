//! Regions in which requests may be served.

use std::collections::BTreeSet;

use crate::domain::name::RegionName;

/// Regions whose processes and targets may get the requests of a route or workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes(BTreeSet<RegionName>);

/// Reason why no target of a pool may get a request, although the pool has targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closure {
    /// The data centres of all targets that may serve the request are evacuated.
    Evacuated,
    /// No target lies in a region that may serve the request.
    NoHome,
}

impl Homes {
    /// Returns `true` if requests and their bodies may go to a region. `None` is an unknown one.
    pub fn allow(&self, region: Option<&RegionName>) -> bool {
        region.is_some_and(|region| self.0.contains(region))
    }

    /// Returns the regions that both allow.
    pub fn intersection(&self, other: &Self) -> Self {
        Self(self.0.intersection(&other.0).cloned().collect())
    }

    /// Returns the names of the regions.
    pub fn regions(&self) -> impl Iterator<Item = &RegionName> {
        self.0.iter()
    }
}

impl FromIterator<RegionName> for Homes {
    fn from_iter<T: IntoIterator<Item = RegionName>>(regions: T) -> Self {
        Self(regions.into_iter().collect())
    }
}
