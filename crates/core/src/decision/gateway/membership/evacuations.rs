//! Evacuations of data centres, and the check of homes in a configuration.

use crate::decision::gateway::Gateway;
use crate::decision::gateway::stored::WatchedObject;
use crate::decision::places::EvacuationChange;
use crate::domain::event::Event;
use crate::domain::name::CentreName;
use crate::domain::place::Homes;
use crate::domain::table::RouteTable;

impl Gateway {
    /// Handles a listing of all evacuations. One that it lacks stays in force for a while.
    pub(in crate::decision::gateway) fn evacuations_listed(&mut self, views: &[WatchedObject]) {
        let listed: Vec<CentreName> = views
            .iter()
            .filter_map(|view| match view {
                WatchedObject::Evacuation(centre) => Some(centre.clone()),
                _ => None,
            })
            .collect();
        for centre in &listed {
            self.evacuation_begun(centre);
        }
        let now = self.now;
        self.directory.places.record_listing(now, &listed);
        self.tick_weights();
    }

    /// Records that a data centre is evacuated.
    pub(in crate::decision::gateway) fn evacuation_begun(&mut self, centre: &CentreName) {
        let event = match self.directory.places.begin(centre) {
            EvacuationChange::Known => return,
            EvacuationChange::Begun => Event::EvacuationBegun,
            EvacuationChange::BegunUnknown => Event::EvacuationUnknown,
        };
        let entries = self.directory.entries();
        let targets = entries.filter(|entry| entry.centre == *centre);
        let names: Vec<_> = targets.map(|entry| entry.name.clone()).collect();
        let load = names.iter().map(|name| self.directory.total_load(name));
        let fields = vec![
            ("centre", centre.to_string()),
            ("targets", names.len().to_string()),
            ("running", load.sum::<u32>().to_string()),
        ];
        self.log(event, fields);
    }

    /// Handles the removal of an evacuation.
    pub(in crate::decision::gateway) fn evacuation_gone(&mut self, centre: &CentreName) {
        if self.directory.places.end(centre) {
            self.evacuation_ended(centre, "removed");
        }
    }

    /// Ends the evacuations that a listing lacked.
    pub(in crate::decision::gateway) fn tick_evacuations(&mut self) {
        for centre in self.directory.places.expire(self.now) {
            self.evacuation_ended(&centre, "not_listed");
        }
    }

    /// Acts on the end of an evacuation: the targets of the data centre may get requests and orders, as
    /// many as cold ones tolerate until their entries tell.
    fn evacuation_ended(&mut self, centre: &CentreName, reason: &str) {
        self.directory.reopen(self.now, centre);
        let fields = vec![
            ("centre", centre.to_string()),
            ("reason", reason.to_owned()),
        ];
        self.log(Event::EvacuationEnded, fields);
        self.tick_weights();
        self.dispatch();
    }

    /// Logs the routes and workspaces of a configuration whose homes no known region meets, so that all
    /// of their requests are refused.
    pub(in crate::decision::gateway) fn check_homes(&mut self, table: &RouteTable) {
        let mut unmet = Vec::new();
        let places = &self.directory.places;
        let mut check = |of: &'static str, name: String, homes: &Homes| {
            if places.binding(Some(homes.clone())).is_some() && !places.has_home(homes) {
                let regions: Vec<_> = homes.regions().map(ToString::to_string).collect();
                unmet.push(vec![(of, name), ("homes", regions.join(","))]);
            }
        };
        for route in table.hosts.values().flatten() {
            if let Some(homes) = &route.homes {
                check("route", route.name.to_string(), homes);
            }
        }
        for (workspace, homes) in &table.workspace_homes {
            check("workspace", workspace.to_string(), homes);
        }
        for fields in unmet {
            self.log(Event::HomesUnknown, fields);
        }
    }
}
