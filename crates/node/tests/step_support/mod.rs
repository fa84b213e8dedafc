//! Fixtures of the step tests: entries, agents and engines in one process with the HTTP object API.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sardinepath_adapters::platform::object::HttpObjects;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::port::object::Change;
use sardinepath_core::port::object::Listing;
use sardinepath_core::port::object::Object;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_node::agent::Agent;
use sardinepath_node::entry::Entry;
use sardinepath_standins::engine::Engine;
use sardinepath_standins::engine::EngineSettings;
use sardinepath_standins::object_api::ObjectApi;
use sardinepath_standins::objects::MemoryObjects;
use sardinepath_standins::scoring::ScoreState;
use sardinepath_standins::scoring::Scoring;
use sardinepath_standins::scoring::score;
use sardinepath_standins::trainer::Faults;
use sardinepath_standins::trainer::GroupOrder;
use sardinepath_standins::trainer::Polled;
use sardinepath_standins::trainer::Trainer;
use sardinepath_standins::trainer::TrainerSettings;
use sardinepath_standins::weights::WeightState;
use sardinepath_standins::weights::Weights;
use serde_json::json;

use crate::common::agent_settings;
use crate::common::entry_settings;

/// Key of the trainer's workspace.
pub const KEY: &str = "key-of-dream-diary-0001";

/// Key of the other workspace that may use the route.
pub const OTHER_KEY: &str = "key-of-order-dispatcher-00002";

/// Maximum time to wait for a condition. A test waits this long only if it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

/// Weight version of engines and trainers at the start.
pub const FIRST_VERSION: WeightVersion = WeightVersion(1);

/// Number and behaviour of the processes that a test starts.
pub struct Setup {
    pub engines: usize,
    pub entries: usize,
    /// Time in which an engine generates one token.
    pub token_time: Duration,
    /// True if the entries use the scoring service.
    pub scoring: bool,
    /// True if every entry acts as the holder of every lease, like a holder that was paused and has
    /// not yet noticed that its lease expired.
    pub ignore_leases: bool,
}

/// Passes all calls on to the object API, except that every lease appears to be free and every
/// write of a lease succeeds.
struct LeaseIgnoringObjects(HttpObjects);

/// Running processes and the stand-ins of the platform. A killed entry is `None`.
pub struct Fleet {
    pub entries: Vec<Option<Entry>>,
    pub addresses: Vec<SocketAddr>,
    pub engines: Vec<Engine>,
    pub api: ObjectApi,
    pub scoring: Scoring,
    pub weights: Weights,
    agents: Vec<Agent>,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            engines: 2,
            entries: 1,
            token_time: Duration::from_millis(1),
            scoring: true,
            ignore_leases: false,
        }
    }
}

impl ObjectPort for LeaseIgnoringObjects {
    fn get(&self, path: &str) -> Result<Option<Object>, ObjectError> {
        if path.starts_with("leases/") {
            return Ok(None);
        }
        self.0.get(path)
    }

    fn list(&self, prefix: &str) -> Result<Listing, ObjectError> {
        self.0.list(prefix)
    }

    fn put(&self, path: &str, value: &str, expect: Precondition) -> Result<Revision, ObjectError> {
        if path.starts_with("leases/") {
            return Ok(Revision(1));
        }
        self.0.put(path, value, expect)
    }

    fn delete(&self, path: &str, at: Revision) -> Result<Revision, ObjectError> {
        self.0.delete(path, at)
    }

    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Change>), ObjectError> {
        self.0.watch(prefix, after, wait)
    }
}

/// Starts a fleet and waits until every entry serves the route.
pub fn start_fleet(setup: &Setup) -> Fleet {
    let engine = |seed| {
        let (version, token_time) = (FIRST_VERSION, setup.token_time);
        let settings = EngineSettings {
            version,
            token_time,
            seed,
            ..EngineSettings::default()
        };
        Engine::start(settings).unwrap()
    };
    let engines: Vec<_> = (0..setup.engines as u64).map(engine).collect();
    let agent = |(n, engine): (usize, &Engine)| {
        Agent::start(&agent_settings(&format!("engine-{n}"), engine.address)).unwrap()
    };
    let agents: Vec<_> = engines.iter().enumerate().map(agent).collect();
    let objects = Arc::new(MemoryObjects::default());
    objects
        .put("config/print", &team_tree(&agents), Precondition::Absent)
        .unwrap();
    let api = ObjectApi::start(objects).unwrap();
    let scoring = Scoring::serve(ScoreState::default()).unwrap();
    let weights = Weights::serve(WeightState::new(64, 1 << 20)).unwrap();
    let mut fleet = Fleet {
        entries: Vec::new(),
        addresses: Vec::new(),
        engines,
        api,
        scoring,
        weights,
        agents,
    };
    for number in 0..setup.entries {
        start_entry(&mut fleet, number, setup);
    }
    fleet
}

/// Starts an entry and waits until it serves the route.
fn start_entry(fleet: &mut Fleet, number: usize, setup: &Setup) {
    let mut settings = entry_settings(&format!("host-{number}"), fleet.api.address);
    settings.scoring = setup.scoring.then_some(fleet.scoring.address);
    let http = HttpObjects::new(fleet.api.address);
    let objects: Arc<dyn ObjectPort> = match setup.ignore_leases {
        true => Arc::new(LeaseIgnoringObjects(http)),
        false => Arc::new(http),
    };
    let entry = Entry::start(&settings, objects).unwrap();
    let url = format!("http://{}/print/open/v1/completions", entry.address);
    wait_until("the entry serves", || {
        let warm = json!({"prompt": "warm-up", "max_tokens": 1}).to_string();
        let answer = minreq::post(&url).with_body(warm).with_timeout(5).send();
        answer.is_ok_and(|answer| answer.status_code == 200)
    });
    fleet.addresses.push(entry.address);
    fleet.entries.push(Some(entry));
}

/// Returns the configuration of a team whose targets have these agents.
fn team_tree(agents: &[Agent]) -> String {
    let target = |(n, agent): (usize, &Agent)| {
        let spec = json!({"agent": agent.address, "centre": "cx1"});
        (format!("engine-{n}"), spec)
    };
    let targets: BTreeMap<_, _> = agents.iter().enumerate().map(target).collect();
    let digest = |key: &str| String::from(KeyDigest::of(key.as_bytes()));
    let both = json!({"workspaces": ["diary", "dispatcher"]});
    json!({
        "scheme": "slug",
        "workspaces": {"diary": {}, "dispatcher": {}},
        "keys": {
            "trainer": {"workspace": "diary", "digest": digest(KEY)},
            "dispatcher-app": {"workspace": "dispatcher", "digest": digest(OTHER_KEY)},
        },
        "pools": {"small": {"kind": "model", "model": "small", "targets": targets}},
        "routes": {
            "train": {"pool": "small", "access": both, "repeat": "always", "deadline": 60},
            "open": {"pool": "small", "access": {"open": "diary"}, "repeat": "always"},
        },
    })
    .to_string()
}

/// Creates a trainer that uses the entries of these numbers in turn.
pub fn new_trainer(fleet: &Fleet, entries: &[usize], staleness: u64) -> Trainer {
    let settings = TrainerSettings {
        name: "t1".into(),
        team: "print".into(),
        route: "train".into(),
        key: KEY.to_owned(),
        entries: entries.iter().map(|n| fleet.addresses[*n]).collect(),
        store: fleet.weights.address,
        model: "small".into(),
        staleness,
    };
    Trainer::new(settings, FIRST_VERSION)
}

/// Returns requests for `count` groups of two samples. Group `N` of step `T` has the tag `sT-gN`.
pub fn groups(step: u64, count: usize, max_tokens: u32) -> Vec<GroupOrder> {
    let group = |n| GroupOrder {
        group: format!("g{n}"),
        prompt: format!("dream {n} tag:s{step}-g{n}"),
        samples: 2,
        max_tokens,
    };
    (0..count).map(group).collect()
}

/// Polls until the step is done. After an error the trainer polls its next entry.
pub fn poll_until_done(trainer: &mut Trainer, step: u64) {
    wait_until("the step is done", || {
        trainer.poll(step) == Ok(Polled::Done)
    });
}

/// Stops an entry without a drain, so that it does not release its leases.
pub fn kill_entry(fleet: &mut Fleet, number: usize) {
    drop(fleet.entries[number].take());
}

/// Orders an engine to load a weight version, as a roll-out does, and returns the HTTP status.
pub fn order_load(engine: &Engine, version: u64) -> i32 {
    let body = json!({"model": "small", "version": version, "fence": 1}).to_string();
    let url = format!("http://{}/orders/load", engine.address);
    let answer = minreq::post(url).with_body(body).with_timeout(60).send();
    answer.unwrap().status_code.into()
}

/// Checks the samples that a trainer received: each one arrived once, is fresh, has its score, and
/// is labelled with the weight versions by which an engine generated it.
pub fn check_samples(fleet: &Fleet, trainer: &Trainer) {
    assert_eq!(trainer.faults(), Faults::default());
    let logs: Vec<_> = fleet.engines.iter().map(Engine::log).collect();
    for entry in trainer.samples() {
        let tag = format!("s{}-{}", entry.step, entry.group);
        let text = &entry.sample.text;
        assert!(text.starts_with(&format!("tag:{tag}")), "{text}");
        assert!(text.ends_with(&format!("end:{tag}")), "{text}");
        let mut runs = logs.iter().flat_map(|log| log.tagged(&tag));
        let found = runs.any(|run| {
            let mut versions = run.versions.clone();
            versions.sort_unstable();
            versions == entry.sample.versions && run.tokens == entry.sample.tokens
        });
        assert!(found, "no engine generated {:?}", entry.sample);
        assert!((entry.sample.score - score(text)).abs() < 1e-9);
    }
}

/// Returns the number of executions of a step at all engines.
pub fn count_executions(fleet: &Fleet, step: u64) -> usize {
    let logs = fleet.engines.iter().map(Engine::log);
    let tags = format!("s{step}-");
    let count = |log: sardinepath_standins::engine::EngineLog| {
        let runs = log.executions.iter();
        runs.filter(|run| run.tag.starts_with(&tags)).count()
    };
    logs.map(count).sum()
}

/// Returns the number of stored groups of a step that are in this state.
pub fn count_stored(fleet: &Fleet, step: u64, state: &str) -> usize {
    let prefix = format!("samples/print/diary/t1/{step}/");
    let listing = fleet.api.objects.list(&prefix).unwrap();
    let named = format!("\"state\":\"{state}\"");
    let groups = listing.objects.iter();
    groups.filter(|group| group.value.contains(&named)).count()
}

/// Returns the value of a counter in the metrics of an entry.
pub fn read_counter(fleet: &Fleet, entry: usize, name: &str) -> u64 {
    let admin = fleet.entries[entry].as_ref().unwrap().admin;
    let page = minreq::get(format!("http://{admin}/metrics"))
        .send()
        .unwrap();
    let text = page.as_str().unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.unwrap().trim().parse().unwrap()
}

/// Waits until the condition holds. Panics after `WAIT_TIMEOUT`.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "gave up waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
