//! Runs the scenario files of `tests/scenarios`. `docs/scenarios.md` documents their language.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;
use std::path::Path;
use std::str::FromStr;

use sardinepath_core::decision::order::Active;
use sardinepath_core::decision::order::Dispatcher;
use sardinepath_core::domain::ids::Fence;

use crate::support::CallOutcome;
use crate::support::FakeStore;
use crate::support::lease::Process;
use crate::support::order;
use crate::support::order::Checks;
use crate::support::order::FakeInterface;
use crate::support::reporters::Outbox;
use crate::support::reporters::Reporter;
use crate::support::sample;
use crate::support::sample::Runner;
use crate::support::usage;

type Outcome = Result<(), String>;

/// A holder of an order duty.
struct Holder {
    /// Fencing token of the lease.
    fence: u64,
    /// Time of the acquisition in milliseconds.
    acquired: u64,
    /// Sends the orders, once it is open.
    dispatcher: Option<Dispatcher<Active>>,
}

/// The simulated processes and interfaces of a scenario, by their names in the file.
struct ScenarioState {
    /// Virtual time in milliseconds.
    now: u64,
    leases: FakeStore,
    processes: BTreeMap<String, Process>,
    orders: order::Simulation,
    holders: BTreeMap<String, Holder>,
    usage: usage::Simulation,
    reporters: BTreeMap<String, Outbox>,
    samples: sample::Simulation,
    runners: BTreeMap<(String, u32), Runner>,
}

/// The remaining words of a line after its command.
struct Words<'a>(std::str::SplitWhitespace<'a>);

impl Words<'_> {
    /// Reads a word.
    fn text(&mut self) -> Result<String, String> {
        self.0
            .next()
            .map(str::to_owned)
            .ok_or_else(|| "an argument is missing".into())
    }

    /// Reads a number.
    fn number<T: FromStr>(&mut self) -> Result<T, String> {
        let text = self.text()?;
        text.parse()
            .map_err(|_| format!("{text:?} is not a number"))
    }

    /// Reads seconds with up to three decimals and returns them in milliseconds.
    fn seconds(&mut self) -> Result<u64, String> {
        Ok((self.number::<f64>()? * 1000.0).round() as u64)
    }

    /// Reads the outcome of a call, which is a success if no word is left.
    fn call_outcome(&mut self) -> Result<CallOutcome, String> {
        match self.0.next() {
            None => Ok(CallOutcome::Done),
            Some("answer-lost") => Ok(CallOutcome::AnswerLost),
            Some("call-lost") => Ok(CallOutcome::CallLost),
            Some("late") => Ok(CallOutcome::Late),
            Some("down") => Ok(CallOutcome::Down),
            Some(other) => Err(format!("{other:?} is not the outcome of a call")),
        }
    }

    /// Reads an action and returns `true` if it starts a target.
    fn start_action(&mut self) -> Result<bool, String> {
        match self.text()?.as_str() {
            "start" => Ok(true),
            "stop" => Ok(false),
            other => Err(format!("{other:?} is not an action")),
        }
    }

    /// Returns all remaining words.
    fn rest(&mut self) -> Vec<String> {
        self.0.by_ref().map(str::to_owned).collect()
    }
}

/// Returns an error if the values differ.
fn expect_equal<T: PartialEq + std::fmt::Debug>(found: T, expected: T) -> Outcome {
    match found == expected {
        true => Ok(()),
        false => Err(format!("expected {expected:?}, found {found:?}")),
    }
}

impl ScenarioState {
    fn new() -> Self {
        let interface = FakeInterface::new(Checks::LastIds);
        let store = FakeStore::default();
        Self {
            now: 0,
            leases: FakeStore::default(),
            processes: BTreeMap::new(),
            orders: order::Simulation { store, interface },
            holders: BTreeMap::new(),
            usage: usage::Simulation::default(),
            reporters: BTreeMap::new(),
            samples: sample::Simulation::default(),
            runners: BTreeMap::new(),
        }
    }

    /// Runs the command of one line.
    fn run_command(&mut self, command: &str, words: &mut Words) -> Outcome {
        match command {
            "at" => self.advance_time(words),
            "arrive" => {
                self.leases.arrive();
                self.orders.store.arrive();
                self.usage.store.arrive();
                self.samples.store.arrive();
                Ok(())
            }
            "clock" | "lease" | "release" | "restart" | "acts" | "idle" => {
                self.run_lease(command, words)
            }
            "interface" | "holder" | "want" | "order" | "book" => self.run_order(command, words),
            "answer" | "crash" | "wall" | "report" | "billed" => self.run_usage(command, words),
            _ => self.run_sample(command, words),
        }
    }

    fn advance_time(&mut self, words: &mut Words) -> Outcome {
        let next = words.seconds()?;
        if next < self.now {
            return Err("the time is before the current time".into());
        }
        self.now = next;
        self.orders.interface.arrive(next);
        Ok(())
    }

    fn run_lease(&mut self, command: &str, words: &mut Words) -> Outcome {
        let (name, now) = (words.text()?, self.now);
        let number = self.processes.len() as u64 + 1;
        let process = self.processes.entry(name);
        let process = process.or_insert_with(|| Process::new(number, 100));
        match command {
            "clock" => process.speed = words.number()?,
            "lease" => process.step(now, &mut self.leases, words.call_outcome()?, 0),
            "restart" => process.restart(),
            "release" => process.release(&mut self.leases, words.call_outcome()?)?,
            "acts" => expect_equal(process.acts(now), Some(Fence(words.number()?)))?,
            _ => expect_equal(process.acts(now), None)?,
        }
        Ok(())
    }

    fn run_order(&mut self, command: &str, words: &mut Words) -> Outcome {
        match command {
            "interface" => {
                self.orders.interface.checks = match words.text()?.as_str() {
                    "fences" => Checks::Fences,
                    "all-ids" => Checks::AllIds,
                    "last-ids" => Checks::LastIds,
                    other => return Err(format!("{other:?} is not a known check")),
                };
            }
            "holder" => {
                let (name, fence) = (words.text()?, words.number()?);
                let (acquired, dispatcher) = (self.now, None);
                self.holders.insert(
                    name,
                    Holder {
                        fence,
                        acquired,
                        dispatcher,
                    },
                );
            }
            "book" => {
                let applied = self.orders.interface.applied.iter();
                let found: Vec<_> = applied
                    .map(|o| format!("{}/{}", o.fence.0, o.intent))
                    .collect();
                expect_equal(found, words.rest())?;
            }
            _ => self.run_holder(command, words)?,
        }
        Ok(())
    }

    fn run_holder(&mut self, command: &str, words: &mut Words) -> Outcome {
        let (name, now) = (words.text()?, self.now);
        let holder = self
            .holders
            .get_mut(&name)
            .ok_or("the holder does not exist")?;
        if holder.dispatcher.is_none() {
            holder.dispatcher =
                order::open_dispatcher(holder.fence, holder.acquired, now, &self.orders);
        }
        let Some(dispatcher) = &mut holder.dispatcher else {
            return expect_equal(words.rest(), vec!["waits".to_owned()]);
        };
        if command == "want" {
            let start = words.start_action()?;
            order::request_order(dispatcher, now, Some((words.number()?, start)));
            return Ok(());
        }
        let fate = words.call_outcome()?;
        let delay = if fate == CallOutcome::Late {
            words.seconds()?
        } else {
            0
        };
        let arrive = false;
        order::step(
            dispatcher,
            &mut self.orders,
            now,
            u64::MAX,
            order::CallPlan {
                outcome: fate,
                delay,
                arrive,
            },
        );
        Ok(())
    }

    fn run_usage(&mut self, command: &str, words: &mut Words) -> Outcome {
        match command {
            "answer" => {
                let (agent, entry) = (words.number()?, words.number()?);
                self.usage.answer(agent, entry, words.number()?);
            }
            "crash" => self.usage.restart_agent(words.number()?),
            "wall" => self.usage.wall = words.number()?,
            "report" => {
                let (name, times) = (words.text()?, words.number::<u32>()?);
                let fate = words.call_outcome()?;
                let reporter = self.reporters.entry(name).or_insert_with(Outbox::start);
                (0..times).for_each(|_| reporter.step(&mut self.usage, fate, [true; 4]));
            }
            _ => {
                let found = (
                    self.usage.billed(),
                    self.usage.reports(),
                    self.usage.contradictions,
                );
                expect_equal(found, (words.number()?, words.number()?, 0))?;
            }
        }
        Ok(())
    }

    fn run_sample(&mut self, command: &str, words: &mut Words) -> Outcome {
        match command {
            "version" => self.samples.trainer = words.number()?,
            "lag" => self.samples.lag = words.number()?,
            "generate" => {
                let (name, group) = (words.text()?, words.number()?);
                let slot = self.runners.entry((name, group)).or_insert(Runner::Idle);
                let old = std::mem::replace(slot, Runner::Idle);
                *slot = sample::run(old, group, &mut self.samples, words.call_outcome()?);
            }
            "deliver" => self.samples.deliver(words.call_outcome()?),
            "poll" => {
                let reply = self.samples.reply();
                self.samples.receive(reply);
            }
            "received" => {
                let found = (self.samples.received.len(), self.samples.withheld.len());
                expect_equal(found, (words.number()?, words.number()?))?;
                expect_equal(self.samples.fault.clone(), None)?;
            }
            other => return Err(format!("{other:?} is not a command")),
        }
        Ok(())
    }
}

/// Runs one scenario file.
fn run(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let mut state = ScenarioState::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default();
        let mut words = Words(line.split_whitespace());
        let Some(command) = words.0.next() else {
            continue;
        };
        let result = state.run_command(command, &mut words);
        let result = result.and_then(|()| expect_equal(words.rest(), Vec::new()));
        result.map_err(|fault| format!("line {}: {line}: {fault}", index + 1))?;
    }
    Ok(())
}

datatest_stable::harness! {
    { test = run, root = "tests/scenarios", pattern = r"\.scenario$" },
}
