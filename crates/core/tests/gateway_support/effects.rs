//! Steps of the gateways of the simulation, and what follows from their effects.

use std::sync::Arc;

use sardinepath_core::decision::batch::RunId;
use sardinepath_core::decision::batch::ScoreEnd;
use sardinepath_core::decision::directory::Choice;
use sardinepath_core::decision::gateway::message::Effect;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::PingRequest;
use sardinepath_core::decision::tally::Counts;
use sardinepath_core::domain::time::Time;

use crate::gateway_support::STEP_MS;
use crate::gateway_support::Simulation;
use crate::gateway_support::duty::DutyCall;
use crate::gateway_support::fixtures::batch;

impl Simulation {
    /// Handles the messages that are due at a gateway, and runs its timers.
    pub(super) fn step(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.frozen || node.gateway.is_none() {
            return;
        }
        let mut due: Vec<_> = node.inbox.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, _)| *at);
        for (_, message) in due {
            if let Message::RunEnded(run, ..) | Message::ScoringEnded(run, _) = &message
                && self.nodes[index].runs.remove(run).is_none()
            {
                continue;
            }
            let Some(gateway) = &mut self.nodes[index].gateway else {
                return;
            };
            let effects = gateway.handle(Time(now), message);
            self.apply_effects(index, effects);
        }
        let Some(gateway) = &mut self.nodes[index].gateway else {
            return;
        };
        let effects = gateway.tick(Time(now));
        self.apply_effects(index, effects);
    }

    fn apply_effects(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reply(call, reply) => drop(self.nodes[index].replies.insert(call, reply)),
                Effect::Store(purpose, call) => {
                    let delay = self.store_latency(index);
                    let answer = self.call_store(index, call);
                    self.send(index, delay, Message::Stored(purpose, answer));
                }
                Effect::StoreWithin(purpose, call, homes) => {
                    self.places.relayed.push((index, homes));
                    let delay = self.store_latency(index);
                    let answer = self.call_store(index, call);
                    self.send(index, delay, Message::Stored(purpose, answer));
                }
                Effect::Decode(id, source) => {
                    self.decodes += 1;
                    let decoded = (!self.undecodable).then(|| batch(source.parse().unwrap()));
                    self.send(index, 0, Message::Decoded(id, decoded));
                }
                Effect::StartRun(run) => self.generate(index, &run),
                Effect::Score(run, choice, _) => self.score(index, run, choice),
                Effect::MoveRun(run) => self.move_run(index, run),
                Effect::StopRun(run) => drop(self.nodes[index].runs.remove(&run)),
                Effect::Ping(runner, ping) => {
                    let pong = self.pong(index, &runner.host, ping);
                    self.send(index, STEP_MS, Message::PingEnded(runner.host, pong));
                }
                Effect::TellEnded(address, id, revision) => {
                    self.tell_ended(index, address, id, revision);
                }
                Effect::AskPermits(address, request) => {
                    self.ask_permits(index, address, request);
                }
                Effect::CollectCounts(window, peer) => {
                    let alive = self
                        .pong(index, &peer.host, PingRequest::default())
                        .is_some();
                    let counts = alive.then(Counts::new);
                    self.send(
                        index,
                        STEP_MS,
                        Message::CountsCollected(window, peer.host, counts),
                    );
                }
                Effect::OrderLoad(load, _, permit) => {
                    self.queue_duty_call(index, DutyCall::Order(load, permit));
                }
                Effect::ReportUsage(window, counts, permit) => {
                    self.queue_duty_call(index, DutyCall::Report(window, counts, permit));
                }
                Effect::SetSource(source) => self.nodes[index].source = source,
                Effect::Publish(_)
                | Effect::PublishSuspects(_)
                | Effect::StopAccepting
                | Effect::Drained
                | Effect::SetRelays(_)
                | Effect::Log(..) => {}
            }
        }
    }

    /// Runs a scoring request.
    fn score(&mut self, index: usize, run: RunId, choice: Choice) {
        self.arrive(index, &choice);
        self.places.scored.push(choice.name.clone());
        self.nodes[index].runs.insert(run, choice.name);
        let end = if self.crashing.scores {
            ScoreEnd::Crashed("the target crashed".to_owned())
        } else if self.failing_scores {
            ScoreEnd::Failed
        } else {
            ScoreEnd::Scored(Arc::from("digest"))
        };
        self.crashing.scored.push(self.now);
        self.send(index, STEP_MS, Message::ScoringEnded(run, end));
    }
}
