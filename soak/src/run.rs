//! One run of the soak: draws faults from a seed, heals everything and judges.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::callers::Callers;
use crate::callers::KEY;
use crate::callers::config;
use crate::fleet::GatewayProcess;
use crate::fleet::Reports;
use crate::fleet::start_cloud;
use crate::proxy::Disturbance;
use crate::store::StoreFault;
use crate::store::StoreStandIn;
use crate::target::MODEL;
use crate::target::TargetStandIn;

/// Time after the last fault in which everything accepted must be done.
const SETTLE: Duration = Duration::from_secs(25);

/// Time for a gateway that was terminated before it is started again.
const DRAIN: Duration = Duration::from_secs(4);

/// Time for the gateways to become ready.
const START_LIMIT: Duration = Duration::from_secs(10);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the faults.
    pub seed: u64,
    /// Time with faults.
    pub time: Duration,
    /// Number of gateways.
    pub gateways: usize,
    /// The program whose gateways run.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Broken promises.
    pub faults: Vec<String>,
    /// What was done to the fleet, with the time in milliseconds.
    pub history: Vec<String>,
    /// Figures for the reader.
    pub summary: String,
}

struct Run {
    random: ChaCha8Rng,
    store: Arc<StoreStandIn>,
    fleet: Vec<GatewayProcess>,
    targets: Vec<Arc<TargetStandIn>>,
    version: u64,
    start: Instant,
    history: Vec<String>,
    /// Faults that end at a time.
    ends: Vec<(Instant, Undo)>,
    faults: Vec<String>,
}

#[derive(Clone, Copy, Debug)]
enum Undo {
    Start(usize),
    Wake(usize),
    Path(usize),
    Store,
    Pace(usize),
}

/// Runs a plan.
pub async fn run(plan: &Plan) -> anyhow::Result<Outcome> {
    let (mut run, reports) = Run::start(plan).await?;
    let callers = Callers::new(run.fleet.iter().map(|g| g.front).collect());
    run.wait_ready().await?;
    run.start = Instant::now();
    let stop = run.start + plan.time;
    let paths = ["/page/", "/page/", "/once/"];
    let plain = paths.iter().enumerate().map(|(name, path)| {
        let caller = callers.clone();
        tokio::spawn(caller.plain(name, path, stop))
    });
    let plain: Vec<_> = plain.collect();
    let trainer = tokio::spawn(train(callers.clone(), run.store.clone(), stop));
    run.disturb(stop).await;
    run.heal();
    let steps = trainer.await?;
    for task in plain {
        task.await?;
    }
    sleep(Duration::from_secs(1)).await;
    for (name, least) in &steps {
        if callers.seen().results.contains_key(name) {
            callers.reread(name, *least).await;
        }
    }
    let reports = reports
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    run.judge(&callers, &reports);
    let seen = callers.seen();
    let summary = format!(
        "{} answered, {} refused, {} jobs whole, {} refused, {} unclear, {} windows",
        seen.answered,
        seen.refused.len(),
        seen.results.len(),
        seen.refused_jobs.len(),
        seen.unclear_jobs,
        reports.len(),
    );
    Ok(Outcome {
        faults: run.faults,
        history: run.history,
        summary,
    })
}

/// Trains: asks for steps and names versions. Returns the steps with their oldest version.
async fn train(callers: Callers, store: Arc<StoreStandIn>, stop: Instant) -> Vec<(String, u64)> {
    let mut steps = Vec::new();
    for step in 0_u64.. {
        if Instant::now() >= stop {
            break;
        }
        let version = step + 1;
        if version > 1 {
            store.put(
                "versions",
                MODEL,
                &json!({ "model": MODEL, "version": version }),
            );
        }
        let least = version.saturating_sub(1).max(1);
        let name = format!("b{step}");
        steps.push((name.clone(), least));
        callers.step(&name, least, stop + SETTLE).await;
    }
    steps
}

impl Run {
    /// Starts the stand-ins and the gateways.
    async fn start(plan: &Plan) -> anyhow::Result<(Self, Arc<Mutex<Reports>>)> {
        std::fs::create_dir_all(&plan.folder)?;
        let (store, address) = StoreStandIn::start().await?;
        let (reports, cloud) = start_cloud().await?;
        store.put("config", "main", &config(1, &[KEY, "spare"]));
        let mut targets = Vec::new();
        for index in 0..5 {
            let (name, pool) = if index < 3 {
                ("e", "engines")
            } else {
                ("s", "shop")
            };
            let name = format!("{name}{index}");
            targets.push(TargetStandIn::start(store.clone(), &name, pool).await?);
        }
        let mut fleet = Vec::new();
        for index in 0..plan.gateways {
            let (program, folder) = (&plan.program, &plan.folder);
            fleet.push(GatewayProcess::start(program, folder, index, address, cloud).await?);
        }
        let run = Self {
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            store,
            fleet,
            targets,
            version: 1,
            start: Instant::now(),
            history: Vec::new(),
            ends: Vec::new(),
            faults: Vec::new(),
        };
        Ok((run, reports))
    }

    async fn wait_ready(&mut self) -> anyhow::Result<()> {
        let until = Instant::now() + START_LIMIT;
        for gateway in &self.fleet {
            while tokio::net::TcpStream::connect(gateway.front).await.is_err() {
                anyhow::ensure!(Instant::now() < until, "a gateway does not start");
                sleep(Duration::from_millis(50)).await;
            }
        }
        sleep(Duration::from_millis(500)).await;
        Ok(())
    }

    /// Inflicts faults, also several at once, until `stop`.
    async fn disturb(&mut self, stop: Instant) {
        while Instant::now() < stop {
            self.end_due(Instant::now());
            self.inflict();
            let pause = self.random.random_range(100..900);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Inflicts one fault.
    fn inflict(&mut self) {
        let node = self.random.random_range(0..self.fleet.len());
        let length = Duration::from_millis(self.random.random_range(300..3_500));
        let short = Duration::from_millis(self.random.random_range(50..300));
        match self.random.random_range(0..14) {
            0..=4 => self.hit_process(node, length),
            5..=7 => self.hit_path(node, length, short),
            8 | 9 => self.hit_store(length, short),
            10 => {
                self.note("store: history dropped".to_owned());
                self.store.compact();
            }
            11 => {
                self.version += 1;
                let spare = !self.version.is_multiple_of(2);
                let keys: &[&str] = if spare { &[KEY, "spare"] } else { &[KEY] };
                self.note(format!("configuration {}", self.version));
                self.store
                    .put("config", "main", &config(self.version, keys));
            }
            12 => {
                let target = self.random.random_range(0..3);
                self.note(format!("target {target} slow for {length:?}"));
                self.targets[target].set_pace(Duration::from_millis(90));
                self.ends
                    .push((Instant::now() + length, Undo::Pace(target)));
            }
            _ => {
                self.note(format!("hang-up signal to g{node}"));
                self.fleet[node].signal(Signal::HUP);
            }
        }
    }

    /// Kills, terminates or freezes a gateway.
    fn hit_process(&mut self, node: usize, length: Duration) {
        let end = Instant::now() + length;
        match self.random.random_range(0..5) {
            0 | 1 => {
                self.note(format!("kill g{node}"));
                self.fleet[node].signal(Signal::KILL);
                self.ends.push((end, Undo::Start(node)));
            }
            2 => {
                self.note(format!("terminate g{node}"));
                self.fleet[node].signal(Signal::TERM);
                self.ends.push((end + DRAIN, Undo::Start(node)));
            }
            _ => {
                self.note(format!("freeze g{node} for {length:?}"));
                self.fleet[node].signal(Signal::STOP);
                self.ends.push((end, Undo::Wake(node)));
            }
        }
    }

    /// Disturbs the path of a gateway to the store.
    fn hit_path(&mut self, node: usize, length: Duration, short: Duration) {
        let kinds = [
            Disturbance::Delay(short),
            Disturbance::Refuse,
            Disturbance::Silence,
            Disturbance::OneWay,
        ];
        let kind = kinds[self.random.random_range(0..kinds.len())];
        self.note(format!(
            "path g{node} to the store: {kind:?} for {length:?}"
        ));
        self.fleet[node].store.disturb(kind);
        self.ends.push((Instant::now() + length, Undo::Path(node)));
    }

    /// Makes the store fail for all.
    fn hit_store(&mut self, length: Duration, short: Duration) {
        let kinds = [
            StoreFault::Busy,
            StoreFault::Silent,
            StoreFault::Slow(short),
            StoreFault::AnswerLost,
            StoreFault::Late(Duration::from_millis(1_500)),
        ];
        let kind = kinds[self.random.random_range(0..kinds.len())];
        self.note(format!("store: {kind:?} for {length:?}"));
        self.store.set_fault(kind);
        self.ends.push((Instant::now() + length, Undo::Store));
    }

    fn end_due(&mut self, now: Instant) {
        let due: Vec<_> = self.ends.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, undo) in due {
            self.undo(undo);
        }
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Start(node) => {
                if let Some(code) = self.fleet[node].exit_code().filter(|code| *code != 0) {
                    self.faults.push(format!("g{node} ended with code {code}"));
                }
                // A process that still drains is ended as the platform does after its grace.
                self.fleet[node].signal(Signal::KILL);
                std::thread::sleep(Duration::from_millis(20));
                if let Err(e) = self.fleet[node].spawn() {
                    self.faults.push(format!("g{node} cannot be started: {e}"));
                }
            }
            Undo::Wake(node) => self.fleet[node].signal(Signal::CONT),
            Undo::Path(node) => self.fleet[node].store.disturb(Disturbance::None),
            Undo::Store => self.store.set_fault(StoreFault::None),
            Undo::Pace(target) => self.targets[target].set_pace(Duration::from_millis(15)),
        }
    }

    /// Ends all faults and starts every process that does not run.
    fn heal(&mut self) {
        self.note("everything heals".to_owned());
        for (_, undo) in std::mem::take(&mut self.ends) {
            self.undo(undo);
        }
        for node in 0..self.fleet.len() {
            self.undo(Undo::Wake(node));
            self.undo(Undo::Path(node));
            if let Err(e) = self.fleet[node].spawn() {
                self.faults.push(format!("g{node} cannot be started: {e}"));
            }
        }
        self.undo(Undo::Store);
    }

    fn note(&mut self, what: String) {
        let at = self.start.elapsed().as_millis();
        self.history.push(format!("{at} ms: {what}"));
    }

    /// Compares what callers saw with the books of the targets and of the usage interface.
    fn judge(&mut self, callers: &Callers, reports: &Reports) {
        let mut seen = callers.seen();
        let mut faults = std::mem::take(&mut seen.faults);
        for target in &self.targets {
            let books = target.books();
            for id in &seen.refused {
                if books.runs.contains_key(id) {
                    faults.push(format!("{id}: told that it did not run, but it ran"));
                }
            }
            for id in books.runs.keys() {
                let job = id.split('.').next().unwrap_or("");
                if seen.refused_jobs.iter().any(|name| name == job) {
                    faults.push(format!("{id}: ran although its job was always refused"));
                }
            }
            faults.extend(
                books
                    .leaks
                    .iter()
                    .map(|id| format!("{id}: a key reached a target")),
            );
            for pair in books.orders.windows(2) {
                let (before, after) = (&pair[0], &pair[1]);
                if after.1 < before.1 || (after.1 == before.1 && after.0 != before.0) {
                    faults.push(format!("orders of two holders: {before:?}, {after:?}"));
                }
            }
        }
        faults.extend(twice(&self.targets));
        let mut figures: BTreeMap<u64, _> = BTreeMap::new();
        for (window, _, _, counts) in reports {
            if figures.entry(*window).or_insert(counts) != &counts {
                faults.push(format!(
                    "window {window} was reported with different figures"
                ));
            }
        }
        self.faults.extend(faults);
    }
}

/// Returns the requests that must not be repeated and ran more than once.
fn twice(targets: &[Arc<TargetStandIn>]) -> Vec<String> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for target in targets {
        for (id, times) in target.books().runs {
            if id.starts_with("once") {
                *runs.entry(id).or_default() += times.len();
            }
        }
    }
    let repeated = runs.into_iter().filter(|(_, count)| *count > 1);
    repeated
        .map(|(id, count)| format!("{id}: ran {count} times"))
        .collect()
}

/// Returns the program beside this one.
pub fn default_program() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    Ok(folder.join("sardinepath"))
}
