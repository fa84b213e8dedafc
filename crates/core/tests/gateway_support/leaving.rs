//! Targets that say in their answers that they are leaving, and what gateways tell each other of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sardinepath_core::decision::directory::Choice;
use sardinepath_core::decision::gateway::message::CallId;
use sardinepath_core::decision::gateway::message::Effect;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::PingRequest;
use sardinepath_core::decision::gateway::message::Pong;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::leave::LeaveStatement;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::time::Time;
use sardinepath_core::domain::time::WallTime;

use crate::gateway_support::STEP_MS;
use crate::gateway_support::Simulation;
use crate::gateway_support::StoreFault;
use crate::gateway_support::fixtures::host;

/// Time in milliseconds after which a gateway that was told by a target that it leaves must not send
/// to it.
pub const DRAIN_MS: u64 = 2_000;

/// Statements of leaving targets, and the requests that they still get.
#[derive(Default)]
pub struct Leaving {
    /// Targets that state in each answer that they are leaving.
    pub targets: BTreeSet<TargetName>,
    /// Time at which each gateway first got such an answer of a target.
    told: BTreeMap<(usize, TargetName), u64>,
    /// Time, gateway and target of each request that was sent too late.
    pub late: Vec<(u64, usize, TargetName)>,
}

impl Simulation {
    /// Makes a target state from now on that it is leaving.
    pub fn say_leaving(&mut self, target: &str) {
        self.leaving.targets.insert(TargetName::from(target));
    }

    /// Returns the number of requests that a gateway sent to a target since a time.
    pub fn arrivals_from(&self, index: usize, target: &str, since: u64) -> usize {
        let sent = self.arrivals.iter().zip(&self.senders);
        sent.filter(|((at, name), sender)| {
            *at >= since && name.as_str() == target && **sender == index
        })
        .count()
    }

    /// Records a request to a target, which answers that it is leaving if it does.
    pub(super) fn arrive_leaving(&mut self, index: usize, choice: &Choice) {
        let key = (index, choice.name.clone());
        let told = self.leaving.told.get(&key);
        if told.is_some_and(|told| self.now > told + DRAIN_MS) {
            let late = (self.now, index, choice.name.clone());
            self.leaving.late.push(late);
        }
        if !self.leaving.targets.contains(&choice.name) {
            return;
        }
        let told = self.now + STEP_MS;
        self.leaving.told.entry(key).or_insert(told);
        let statement = LeaveStatement {
            target: choice.name.clone(),
            started_at: choice.started_at,
            stated_at: WallTime(self.wall_time()),
        };
        self.send(index, STEP_MS, Message::LeavingStated(statement));
    }

    /// Forgets what a target said, which has started anew or to a process that has.
    pub(super) fn forget_leaving(&mut self, concerns: impl Fn(usize, &TargetName) -> bool) {
        self.leaving
            .told
            .retain(|(index, target), _| !concerns(*index, target));
    }

    /// Returns the answer of a gateway to the ping of another one, or `None` if it does not run.
    pub(super) fn pong(
        &mut self,
        asker: usize,
        name: &HostName,
        ping: PingRequest,
    ) -> Option<Pong> {
        let index = (0..self.nodes.len()).find(|i| host(*i) == *name)?;
        let unreached = self.nodes[asker].unreached.contains(&index);
        if unreached || self.nodes[asker].cut || self.nodes[index].cut {
            return None;
        }
        let load = self.load(index);
        let node = &mut self.nodes[index];
        let gateway = node.gateway.as_mut().filter(|_| !node.frozen)?;
        let ask = Message::Ask(CallId(0), Question::Ping(ping));
        let effects = gateway.handle(Time(self.now), ask);
        let answered = effects.into_iter().find_map(|effect| match effect {
            Effect::Reply(_, Reply::Pong(pong)) => Some(pong),
            _ => None,
        });
        let answered: Pong = answered?;
        let unavailable = node.fault == StoreFault::Unavailable;
        Some(Pong {
            incarnation: Incarnation(u64::try_from(index).unwrap() * 1_000 + node.incarnation),
            silence: if unavailable { 60_000 } else { 0 },
            load,
            ..answered
        })
    }
}
