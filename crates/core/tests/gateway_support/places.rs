//! Data centres and regions of the simulation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::RegionName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::place::Homes;

use crate::gateway_support::STORE_LATENCY_MS;
use crate::gateway_support::Simulation;
use crate::gateway_support::StoreFault;

/// Region of the data centres `c`, `c1` and `c2`, and of all gateways unless a test moves them.
pub const HOME: &str = "home";

/// Region of the data centre `far`.
pub const AWAY: &str = "away";

/// Evacuations and homes of a deployment, and what went where.
#[derive(Default)]
pub struct Places {
    /// Whether the deployment has evacuations and homes.
    pub(super) on: bool,
    /// Data centres that are evacuated, in the store.
    evacuated: BTreeSet<CentreName>,
    /// Target of each generation.
    pub(super) generated: Vec<TargetName>,
    /// Target of each scoring request.
    pub(super) scored: Vec<TargetName>,
    /// Target and time of each order to load weights.
    pub(super) loads: Vec<(TargetName, u64)>,
    /// Gateway and homes of each call to the store that carries bodies with homes.
    pub relayed: Vec<(usize, Homes)>,
}

/// Returns the region of each data centre.
pub(super) fn regions() -> BTreeMap<CentreName, RegionName> {
    let places = [("c", HOME), ("c1", HOME), ("c2", HOME), ("far", AWAY)];
    places
        .into_iter()
        .map(|(centre, region)| (centre.into(), region.into()))
        .collect()
}

impl Simulation {
    /// Starts gateways in these regions in a deployment with evacuations and homes. The four targets lie
    /// in the data centres in turn.
    pub fn with_places(gateways: &[&str], centres: &[&str]) -> Self {
        let mut sim = Self::new(gateways.len());
        sim.places.on = true;
        for (index, region) in gateways.iter().enumerate() {
            sim.nodes[index].region = RegionName::from(*region);
        }
        for (index, target) in sim.targets.iter_mut().enumerate() {
            target.centre = CentreName::from(centres[index % centres.len()]);
        }
        sim.start_all();
        sim.arrivals.clear();
        sim
    }

    /// Stores the evacuation of a data centre. Gateways learn of it as of other objects.
    pub fn evacuate(&mut self, centre: &str) {
        let centre = CentreName::from(centre);
        self.places.evacuated.insert(centre.clone());
        self.notify(&WatchedObject::Evacuation(centre));
    }

    /// Removes the evacuation of a data centre from the store.
    pub fn take_back(&mut self, centre: &str) {
        let centre = CentreName::from(centre);
        self.places.evacuated.remove(&centre);
        self.notify(&WatchedObject::EvacuationGone(centre));
    }

    /// Sends all evacuations to a gateway.
    pub fn list_evacuations(&mut self, index: usize) {
        if !self.places.on {
            return;
        }
        let listed = self.places.evacuated.iter().cloned();
        let listed = listed.map(WatchedObject::Evacuation).collect();
        let listing = Message::Listing(Kind::Evacuations, listed);
        self.send(index, STORE_LATENCY_MS, listing);
    }

    /// Returns the requests that reached targets of a data centre after a time, each with the time and
    /// the target.
    pub fn arrivals_in(&self, centre: &str, since: u64) -> Vec<(u64, TargetName)> {
        let arrivals = self.arrivals.iter();
        arrivals
            .filter(|(at, name)| *at > since && self.lies_in(name, centre))
            .cloned()
            .collect()
    }

    /// Returns the number of orders that targets of a data centre got after a time.
    pub fn loads_in(&self, centre: &str, since: u64) -> usize {
        let loads = self.places.loads.iter();
        loads
            .filter(|(name, at)| *at > since && self.lies_in(name, centre))
            .count()
    }

    /// Returns the number of generations that targets of a data centre got.
    pub fn generated_in(&self, centre: &str) -> usize {
        let generated = self.places.generated.iter();
        generated.filter(|name| self.lies_in(name, centre)).count()
    }

    /// Returns the number of scoring requests that targets of a data centre got.
    pub fn scored_in(&self, centre: &str) -> usize {
        let scored = self.places.scored.iter();
        scored.filter(|name| self.lies_in(name, centre)).count()
    }

    fn lies_in(&self, name: &TargetName, centre: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|t| t.name == *name && t.centre.as_str() == centre)
    }

    /// Starts a process that does not get a listing of the evacuations.
    pub fn start_unlisted(&mut self, index: usize) {
        self.start(index);
        let inbox = &mut self.nodes[index].inbox;
        inbox.retain(|(_, message)| !matches!(message, Message::Listing(Kind::Evacuations, _)));
    }

    fn notify(&mut self, view: &WatchedObject) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].fault != StoreFault::Unavailable {
                let delay = STORE_LATENCY_MS + self.nodes[index].watch_lag;
                self.send(index, delay, Message::Changed(view.clone()));
            }
        }
    }
}
