//! Data centres: the region of each, and which ones are evacuated.
//!
//! An evacuation ends when its object is removed. A listing without it may be older than what a watch
//! said before, so it stays in force for a while then.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::domain::name::CentreName;
use crate::domain::name::RegionName;
use crate::domain::place::Homes;
use crate::domain::time::Time;

/// Time for which an evacuation stays in force that a listing lacks. A stale listing is up to 3 s old,
/// and the watch from it repeats what came later.
const MISSING_TIME: Duration = Duration::from_millis(3_200);

/// Regions of data centres, and evacuations.
#[derive(Debug, Default)]
pub struct Places {
    regions: BTreeMap<CentreName, RegionName>,
    knowledge: Knowledge,
    /// Evacuated data centres, each with the time from which on a listing lacked it, if any did.
    evacuated: BTreeMap<CentreName, Option<Time>>,
}

/// What is known of evacuations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Knowledge {
    /// The deployment has no evacuations and no homes.
    #[default]
    Unneeded,
    /// They were not listed yet, so any data centre may be evacuated.
    Awaited,
    /// They were listed.
    Listed,
}

/// What a report of an evacuation changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// Nothing: it was in force already.
    Known,
    /// It is in force from now on.
    Begun,
    /// It is in force from now on, for a data centre without a known region.
    BegunUnknown,
}

impl Places {
    /// Creates the state of a deployment with evacuations and homes, before its evacuations are known.
    pub fn awaiting(regions: BTreeMap<CentreName, RegionName>) -> Self {
        Self {
            regions,
            knowledge: Knowledge::Awaited,
            evacuated: BTreeMap::new(),
        }
    }

    /// Returns `true` if the targets of a data centre may get requests and orders.
    pub fn is_open(&self, centre: &CentreName) -> bool {
        match self.knowledge {
            Knowledge::Unneeded => true,
            Knowledge::Awaited => false,
            Knowledge::Listed => !self.evacuated.contains_key(centre),
        }
    }

    /// Returns `true` if a data centre is certainly evacuated.
    pub fn is_evacuated(&self, centre: &CentreName) -> bool {
        self.evacuated.contains_key(centre)
    }

    /// Returns `true` if a data centre lies in a region that may serve a request with these homes.
    pub fn is_home(&self, centre: &CentreName, homes: Option<&Homes>) -> bool {
        self.knowledge == Knowledge::Unneeded
            || homes.is_none_or(|homes| homes.allow(self.regions.get(centre)))
    }

    /// Returns the homes that bind here: none in a deployment without homes.
    pub fn binding(&self, homes: Option<Homes>) -> Option<Homes> {
        homes.filter(|_| self.knowledge != Knowledge::Unneeded)
    }

    /// Returns `true` if some known region may serve a request with these homes.
    pub fn has_home(&self, homes: &Homes) -> bool {
        self.regions
            .values()
            .any(|region| homes.allow(Some(region)))
    }

    /// Records an evacuation that the store holds.
    pub fn begin(&mut self, centre: &CentreName) -> EvacuationChange {
        let known = self.evacuated.insert(centre.clone(), None).is_some();
        match (known, self.regions.contains_key(centre)) {
            (true, _) => EvacuationChange::Known,
            (false, true) => EvacuationChange::Begun,
            (false, false) => EvacuationChange::BegunUnknown,
        }
    }

    /// Records that the store no longer holds an evacuation. Returns `true` if it was in force.
    pub fn end(&mut self, centre: &CentreName) -> bool {
        self.evacuated.remove(centre).is_some()
    }

    /// Records that a listing contained these evacuations and no others.
    pub fn record_listing(&mut self, now: Time, listed: &[CentreName]) {
        if self.knowledge == Knowledge::Awaited {
            self.knowledge = Knowledge::Listed;
        }
        for (centre, missing) in &mut self.evacuated {
            match listed.contains(centre) {
                true => *missing = None,
                false => *missing = missing.or(Some(now)),
            }
        }
    }

    /// Ends evacuations that were missing for long enough, and returns their data centres.
    pub fn expire(&mut self, now: Time) -> Vec<CentreName> {
        let is_over = |missing: &Option<Time>| missing.is_some_and(|at| now >= at + MISSING_TIME);
        let over = self.evacuated.extract_if(.., |_, missing| is_over(missing));
        over.map(|(centre, _)| centre).collect()
    }
}
