//! Starts of the processes of the simulation.

use std::time::Duration;

use sardinepath_core::decision::gateway::Gateway;
use sardinepath_core::decision::gateway::GatewaySettings;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::decision::lease::Terms;
use sardinepath_core::decision::memory::MemoryLimits;
use sardinepath_core::domain::cold::ColdTolerance;
use sardinepath_core::domain::fleet::Peer;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::time::Time;

use crate::gateway_support::EPOCH_MS;
use crate::gateway_support::JOB_RETENTION;
use crate::gateway_support::STORE_LATENCY_MS;
use crate::gateway_support::Simulation;
use crate::gateway_support::fixtures::address;
use crate::gateway_support::fixtures::host;
use crate::gateway_support::places::regions;

impl Simulation {
    /// Returns the settings of a run of a process.
    fn settings(&self, index: usize, incarnation: u64) -> GatewaySettings {
        GatewaySettings {
            peer: Peer {
                host: host(index),
                address: address(index),
                incarnation: Incarnation(u64::try_from(index).unwrap() * 1_000 + incarnation),
                cpu_percent: self.nodes[index].power,
                region: self.places.on.then(|| self.nodes[index].region.clone()),
            },
            centre: CentreName::from("c"),
            region: self.nodes[index].region.clone(),
            regions: regions(),
            places: self.places.on,
            epoch: EPOCH_MS,
            lease: Terms {
                length: Duration::from_secs(3),
                renewal: Duration::from_secs(1),
                poll: Duration::from_millis(1_500),
                retry: Duration::from_millis(400),
            },
            entry_lapse: Duration::from_millis(1_200),
            job_retention: JOB_RETENTION,
            fence_checked: self.fence_checked,
            usage_window: Some(Duration::from_secs(5)),
            report_deadline: Duration::from_secs(10),
            cold_tolerance: ColdTolerance {
                overage: 1.5,
                slack: 5.0,
            },
            memory: MemoryLimits::for_host(256 << 20),
            seed: incarnation + 77 * u64::try_from(index).unwrap(),
        }
    }

    /// Starts or restarts a process.
    pub fn start(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        let me = self.settings(index, incarnation);
        let node = &mut self.nodes[index];
        node.incarnation = incarnation;
        node.gateway = Some(Gateway::new(me, Time(self.now)));
        node.inbox.clear();
        node.replies.clear();
        node.runs.clear();
        node.plain_calls.clear();
        node.duty_calls.clear();
        self.forget_leaving(|of, _| of == index);
        let targets = self
            .targets
            .iter()
            .cloned()
            .map(WatchedObject::Target)
            .collect();
        let heads = self.views(Kind::Heads);
        let peers = self.views(Kind::Peers);
        let limits = self.views(Kind::Limits);
        let software = self.views(Kind::Software);
        let crashes = self.views(Kind::Crashes);
        if let Some(table) = self.nodes[index].table.clone() {
            self.configure(index, table);
        }
        for message in [
            Message::Listing(Kind::Targets, targets),
            Message::Listing(Kind::Heads, heads),
            Message::Listing(Kind::Peers, peers),
            Message::Listing(Kind::Limits, limits),
            Message::Listing(Kind::Software, software),
            Message::Listing(Kind::Crashes, crashes),
        ] {
            self.send(index, STORE_LATENCY_MS, message);
        }
        self.list_evacuations(index);
    }
}
