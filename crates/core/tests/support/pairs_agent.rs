//! The steps of an agent between its decisions, and its fake target with an execution log.

use std::collections::BTreeMap;

use sardinepath_core::decision::agent::AgentState;
use sardinepath_core::decision::agent::AnswerCollector;
use sardinepath_core::decision::agent::ForwardStep;
use sardinepath_core::domain::call::AnswerSummary;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::target::StatedVersions;
use sardinepath_core::port::target::TargetEvent;

use crate::support::pairs::Message;
use crate::support::pairs::Place;
use crate::support::pairs::Run;
use crate::support::pairs::StreamId;
use crate::support::pairs::World;
use crate::support::pairs::agent_state;
use crate::support::pairs_fault::Ambush;
use crate::support::pairs_fixture;

/// Silence after which the entry gives a stream up, in milliseconds.
pub const SILENCE: u64 = 4_000;

/// Interval of reports in milliseconds.
const REPORTS: u64 = 1_000;

/// An agent and its target.
pub struct Agent {
    pub number: usize,
    /// Counts the restarts.
    pub life: u32,
    pub state: AgentState,
    pub runs: BTreeMap<u64, Running>,
    /// No connection to the agent succeeds before this time.
    pub down: u64,
    /// No connection to the target succeeds before this time.
    pub target_down: u64,
    /// No report leaves the agent before this time.
    pub silent: u64,
    /// Runs of this life.
    begun: u64,
}

/// An attempt that runs.
pub struct Running {
    /// The stream of the entry, or none for the second copy of a message.
    pub stream: Option<StreamId>,
    call: Call,
    gathered: AnswerCollector,
}

impl Agent {
    /// Starts an agent.
    pub fn new(number: usize) -> Self {
        Self {
            number,
            life: 0,
            state: agent_state(number, 0),
            runs: BTreeMap::new(),
            down: 0,
            target_down: 0,
            silent: 0,
            begun: 0,
        }
    }

    /// Starts another life without any memory.
    pub fn restart(&mut self, down: u64) {
        self.life += 1;
        self.state = agent_state(self.number, self.life);
        self.runs.clear();
        self.down = down;
    }

    fn report(&self) -> Report {
        Report {
            incarnation: self.state.incarnation(),
            target: format!("t{}", self.number).into(),
            version: WeightVersion(0),
            running: self.state.running(),
            queued: 0,
            capacity: 8,
            state: self.state.serving(),
            cached: vec![],
            evicted: vec![],
            cache_gap: false,
        }
    }
}

impl World {
    /// Sends an attempt to an agent, unless a failure meets the message.
    pub fn execute(&mut self, agent: usize, stream: StreamId, call: Call) {
        let of = (call.request, call.attempt);
        let mut after = self.way();
        if self.now < self.agents[agent].down {
            let event = CallEvent::Failed(Failure::from(ErrorKind::Unreachable));
            return self.tell_task(stream.0, after, Message::Event(stream, of, event));
        }
        let place = Place::Agent(agent, self.agents[agent].life);
        let lane = (3, agent, self.agents[agent].life);
        let message = Message::Execute(agent, stream, call);
        match self.ambush.take() {
            Some(Ambush::Lose) => return self.end_silent(stream, of),
            Some(Ambush::Delay(more)) => after += more,
            Some(Ambush::Double(more)) => {
                let Message::Execute(_, _, call) = message.clone() else {
                    unreachable!()
                };
                let copy = Message::Execute(agent, (usize::MAX, 0), call);
                self.send(place, after + more, copy);
            }
            Some(Ambush::Cross) => self.ambush = Some(Ambush::CrossWith(stream)),
            Some(Ambush::CrossWith(other)) => {
                self.crossed.insert(stream, other);
                self.crossed.insert(other, stream);
            }
            None => {}
        }
        self.send_in_order(place, lane, after, message);
    }

    /// Ends a stream on which the entry hears nothing more.
    pub fn end_silent(&mut self, stream: StreamId, of: (RequestId, Attempt)) {
        self.cut.insert(stream);
        let event = CallEvent::Failed(Failure::from(ErrorKind::TargetSilent));
        let place = Place::Entry(self.entry.life);
        self.send(place, SILENCE, Message::Event(stream, of, event));
    }

    /// Makes a step of an agent.
    pub fn step_agent(&mut self, message: Message) {
        match message {
            Message::Execute(agent, stream, call) => self.begin(agent, stream, call),
            Message::Cancel(agent, stream) => self.cancel(agent, stream),
            Message::Part(agent, run, event) => self.part(agent, run, event),
            Message::ReportTick(agent) => {
                self.report(agent);
                self.send(Place::Outside, REPORTS, Message::ReportTick(agent));
            }
            other => panic!("{other:?} is no step of an agent"),
        }
    }

    /// Sends a report, unless the stream is silent.
    pub fn report(&mut self, agent: usize) {
        let from = &self.agents[agent];
        if self.now < from.silent.max(from.down) {
            return;
        }
        let report = from.report();
        let after = self.way();
        let lane = (5, agent, self.entry.life);
        let place = Place::Entry(self.entry.life);
        self.send_in_order(place, lane, after, Message::Report(report));
    }

    fn begin(&mut self, agent: usize, stream: StreamId, call: Call) {
        let at = &mut self.agents[agent];
        let of = (call.request, call.attempt);
        let stream = Some(stream).filter(|(request, _)| *request != usize::MAX);
        if let Err(kind) = at.state.begin(call.request, call.attempt, call.idempotent) {
            let event = CallEvent::Failed(Failure::from(kind));
            return self.answer(stream, of, event);
        }
        at.begun += 1;
        let run = at.begun;
        let gathered = AnswerCollector::new(None);
        let running = Running {
            stream,
            call: call.clone(),
            gathered,
        };
        at.runs.insert(run, running);
        self.call_target(agent, run, &call);
    }

    /// Starts a call at the target, which plans its whole answer.
    fn call_target(&mut self, agent: usize, run: u64, call: &Call) {
        let place = Place::Agent(agent, self.agents[agent].life);
        if self.now < self.agents[agent].target_down {
            let failure = Failure::from(ErrorKind::Unreachable);
            let event = TargetEvent::Failed(failure);
            return self.send(place, 1, Message::Part(agent, run, event));
        }
        let request = usize::try_from(call.request.0).unwrap();
        self.log.push(Run {
            request,
            workspace: call.workspace.clone(),
            agent,
            at: self.now,
            left: self.seen.left.contains_key(&agent),
        });
        let pace = self.callers[request].pace;
        let fields = vec![];
        let head = TargetEvent::Head {
            status: 200,
            fields,
        };
        self.send(place, 1, Message::Part(agent, run, head));
        for number in 0..pairs_fixture::PARTS {
            let event = TargetEvent::Chunk {
                bytes: pairs_fixture::part(request, number),
                versions: StatedVersions::Nothing,
                tokens: None,
            };
            let after = pace * (u64::from(number) + 1);
            self.send(place, after, Message::Part(agent, run, event));
        }
        let after = pace * u64::from(pairs_fixture::PARTS) + 1;
        self.send(place, after, Message::Part(agent, run, TargetEvent::End));
    }

    fn part(&mut self, agent: usize, run: u64, event: TargetEvent) {
        let event = match event {
            TargetEvent::End if self.lose_whole == Some(agent) => {
                self.lose_whole = None;
                TargetEvent::Failed(Failure::from(ErrorKind::Truncated))
            }
            event => event,
        };
        let at = &mut self.agents[agent];
        let Some(running) = at.runs.get_mut(&run) else {
            return;
        };
        let (stream, call) = (running.stream, running.call.clone());
        let event = match running.gathered.handle_event(event) {
            ForwardStep::Pass(event) => event,
            ForwardStep::Complete => {
                let counter = at.state.end(call.request, &call.workspace, Some(1));
                at.runs.remove(&run);
                CallEvent::End(AnswerSummary {
                    tokens: 1,
                    versions: vec![],
                    counter,
                })
            }
            ForwardStep::NotRun(failure) => {
                at.state.refuse(call.request, call.attempt);
                at.runs.remove(&run);
                CallEvent::Failed(failure)
            }
            ForwardStep::Failed(failure) => {
                at.state.end(call.request, &call.workspace, None);
                at.runs.remove(&run);
                CallEvent::Failed(failure)
            }
        };
        self.answer(stream, (call.request, call.attempt), event);
    }

    /// Sends an event to the entry on the stream of an attempt.
    fn answer(&mut self, stream: Option<StreamId>, of: (RequestId, Attempt), event: CallEvent) {
        let Some(stream) = stream else {
            return;
        };
        if self.cut.contains(&stream) {
            return;
        }
        let to = self.crossed.get(&stream).copied().unwrap_or(stream);
        let after = self.way()
            + self
                .stalled
                .get(&stream)
                .map_or(0, |at| at.saturating_sub(self.now));
        let lane = (4, stream.0, stream.1);
        let place = Place::Entry(self.entry.life);
        self.send_in_order(place, lane, after, Message::Event(to, of, event));
    }

    fn cancel(&mut self, agent: usize, stream: StreamId) {
        let at = &mut self.agents[agent];
        let found = at.runs.iter().find(|(_, run)| run.stream == Some(stream));
        let Some(run) = found.map(|(run, _)| *run) else {
            return;
        };
        let running = at.runs.remove(&run).unwrap();
        at.state
            .end(running.call.request, &running.call.workspace, None);
    }
}
