//! One run of the soak test: injects faults drawn from a seed, ends them and checks the results.

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
use crate::fleet::start_usage_api;
use crate::proxy::Disturbance;
use crate::store::StoreFault;
use crate::store::StoreStandIn;
use crate::target::DRAIN_TIME;
use crate::target::MODEL;
use crate::target::TargetStandIn;

/// Time after the last fault within which every accepted job must complete.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(25);

/// Additional time that a terminated gateway has to drain before it is killed and restarted.
const STOP_TIME: Duration = Duration::from_secs(4);

/// Number of model engines. The other targets are plain services.
const ENGINE_COUNT: usize = 3;

/// Probability that a target begins to leave when a fault is injected.
const LEAVE_PROBABILITY: f64 = 0.15;

/// Time within which all gateways must accept connections.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed from which the faults are drawn.
    pub seed: u64,
    /// Time during which faults are injected.
    pub time: Duration,
    /// Number of gateways.
    pub gateways: usize,
    /// Path of the `sardinepath` program.
    pub program: PathBuf,
    /// Folder for the settings and logs of the gateways.
    pub folder: PathBuf,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Violated guarantees.
    pub faults: Vec<String>,
    /// Injected faults, each with its time since the start in milliseconds.
    pub history: Vec<String>,
    /// One line of figures about requests, jobs and usage windows.
    pub summary: String,
}

struct Run {
    random: ChaCha8Rng,
    /// Random numbers for targets that leave, apart from those for the other faults.
    leave_random: ChaCha8Rng,
    store: Arc<StoreStandIn>,
    fleet: Vec<GatewayProcess>,
    targets: Vec<Arc<TargetStandIn>>,
    config_version: u64,
    start: Instant,
    history: Vec<String>,
    /// Scheduled recoveries from the faults that are in effect.
    recoveries: Vec<(Instant, Recovery)>,
    faults: Vec<String>,
}

#[derive(Clone, Copy, Debug)]
enum Recovery {
    RestartGateway(usize),
    ResumeGateway(usize),
    RestorePath(usize),
    RestoreStore,
    RestoreTarget(usize),
    /// A target that left starts anew.
    StartTarget(usize),
}

/// Runs the soak test with the parameters of a plan.
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
    run.inject_faults(stop).await;
    run.recover_all();
    let steps = trainer.await?;
    for task in plain {
        task.await?;
    }
    sleep(Duration::from_secs(1)).await;
    for (name, min_version) in &steps {
        if callers.observations().results.contains_key(name) {
            callers.reread(name, *min_version).await;
        }
    }
    let reports = reports
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    run.check_guarantees(&callers, &reports);
    let seen = callers.observations();
    let summary = format!(
        "{} answered, {} refused, {} jobs complete, {} refused, {} unclear, {} windows",
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

/// Publishes weight versions and runs training steps until `stop`. Returns the name and the lowest
/// allowed version of each step.
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
        let min_version = version.saturating_sub(1).max(1);
        let name = format!("b{step}");
        steps.push((name.clone(), min_version));
        callers
            .run_step(&name, min_version, stop + SETTLE_TIMEOUT)
            .await;
    }
    steps
}

impl Run {
    /// Starts the stand-ins and the gateways of a plan.
    async fn start(plan: &Plan) -> anyhow::Result<(Self, Arc<Mutex<Reports>>)> {
        std::fs::create_dir_all(&plan.folder)?;
        let (store, address) = StoreStandIn::start().await?;
        let (reports, cloud) = start_usage_api().await?;
        store.put("config", "main", &config(1, &[KEY, "spare"]));
        let mut targets = Vec::new();
        for index in 0..5 {
            let pool = pool_of(index);
            let name = format!("{}{index}", &pool[..1]);
            targets.push(TargetStandIn::start(store.clone(), &name, pool).await?);
        }
        let mut fleet = Vec::new();
        for index in 0..plan.gateways {
            let (program, folder) = (&plan.program, &plan.folder);
            fleet.push(GatewayProcess::start(program, folder, index, address, cloud).await?);
        }
        let run = Self {
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            leave_random: ChaCha8Rng::seed_from_u64(!plan.seed),
            store,
            fleet,
            targets,
            config_version: 1,
            start: Instant::now(),
            history: Vec::new(),
            recoveries: Vec::new(),
            faults: Vec::new(),
        };
        Ok((run, reports))
    }

    async fn wait_ready(&mut self) -> anyhow::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        for gateway in &self.fleet {
            while tokio::net::TcpStream::connect(gateway.front).await.is_err() {
                anyhow::ensure!(
                    Instant::now() < until,
                    "a gateway did not accept connections within {START_TIMEOUT:?}"
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
        sleep(Duration::from_millis(500)).await;
        Ok(())
    }

    /// Injects faults until `stop`. Several can be in effect at once.
    async fn inject_faults(&mut self, stop: Instant) {
        while Instant::now() < stop {
            self.recover_due(Instant::now());
            self.inject_fault();
            if self.leave_random.random_bool(LEAVE_PROBABILITY) {
                self.leave_target();
            }
            let pause = self.random.random_range(100..900);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Draws and injects one fault or change.
    fn inject_fault(&mut self) {
        let node = self.random.random_range(0..self.fleet.len());
        let length = Duration::from_millis(self.random.random_range(300..3_500));
        let short = Duration::from_millis(self.random.random_range(50..300));
        match self.random.random_range(0..14) {
            0..=4 => self.fail_process(node, length),
            5..=7 => self.fail_path(node, length, short),
            8 | 9 => self.fail_store(length, short),
            10 => {
                self.record("store: history dropped".to_owned());
                self.store.compact();
            }
            11 => {
                self.config_version += 1;
                let spare = !self.config_version.is_multiple_of(2);
                let keys: &[&str] = if spare { &[KEY, "spare"] } else { &[KEY] };
                self.record(format!("configuration {}", self.config_version));
                self.store
                    .put("config", "main", &config(self.config_version, keys));
            }
            12 => {
                let target = self.random.random_range(0..3);
                self.record(format!("target {target} slow for {length:?}"));
                self.targets[target].set_event_interval(Duration::from_millis(90));
                self.recoveries
                    .push((Instant::now() + length, Recovery::RestoreTarget(target)));
            }
            _ => {
                self.record(format!("hang-up signal to g{node}"));
                self.fleet[node].signal(Signal::HUP);
            }
        }
    }

    /// Makes a target say that it is leaving, unless another one of its pool does. Its entry says so
    /// in every second case.
    fn leave_target(&mut self) {
        let target = self.leave_random.random_range(0..self.targets.len());
        let pool = pool_of(target);
        let leaving = self.recoveries.iter().any(|(_, recovery)| {
            matches!(recovery, Recovery::StartTarget(other) if pool_of(*other) == pool)
        });
        if leaving {
            return;
        }
        let listed = self.leave_random.random_bool(0.5);
        self.record(format!("target {target} leaves, listed: {listed}"));
        self.targets[target].say_leaving();
        if listed {
            self.targets[target].leave(pool);
        }
        let end = Instant::now() + 2 * DRAIN_TIME;
        self.recoveries.push((end, Recovery::StartTarget(target)));
    }

    /// Kills, terminates or pauses a gateway.
    fn fail_process(&mut self, node: usize, length: Duration) {
        let end = Instant::now() + length;
        match self.random.random_range(0..5) {
            0 | 1 => {
                self.record(format!("kill g{node}"));
                self.fleet[node].signal(Signal::KILL);
                self.recoveries.push((end, Recovery::RestartGateway(node)));
            }
            2 => {
                self.record(format!("terminate g{node}"));
                self.fleet[node].signal(Signal::TERM);
                self.recoveries
                    .push((end + STOP_TIME, Recovery::RestartGateway(node)));
            }
            _ => {
                self.record(format!("freeze g{node} for {length:?}"));
                self.fleet[node].signal(Signal::STOP);
                self.recoveries.push((end, Recovery::ResumeGateway(node)));
            }
        }
    }

    /// Disturbs the path from a gateway to the store.
    fn fail_path(&mut self, node: usize, length: Duration, short: Duration) {
        let kinds = [
            Disturbance::Delay(short),
            Disturbance::Refuse,
            Disturbance::Silence,
            Disturbance::OneWay,
        ];
        let kind = kinds[self.random.random_range(0..kinds.len())];
        self.record(format!(
            "path g{node} to the store: {kind:?} for {length:?}"
        ));
        self.fleet[node].store.disturb(kind);
        self.recoveries
            .push((Instant::now() + length, Recovery::RestorePath(node)));
    }

    /// Makes the store fail for all gateways.
    fn fail_store(&mut self, length: Duration, short: Duration) {
        let kinds = [
            StoreFault::Busy,
            StoreFault::Silent,
            StoreFault::Slow(short),
            StoreFault::AnswerLost,
            StoreFault::Late(Duration::from_millis(1_500)),
        ];
        let kind = kinds[self.random.random_range(0..kinds.len())];
        self.record(format!("store: {kind:?} for {length:?}"));
        self.store.set_fault(kind);
        self.recoveries
            .push((Instant::now() + length, Recovery::RestoreStore));
    }

    fn recover_due(&mut self, now: Instant) {
        let due: Vec<_> = self
            .recoveries
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, recovery) in due {
            self.recover(recovery);
        }
    }

    fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::RestartGateway(node) => {
                if let Some(code) = self.fleet[node].exit_code().filter(|code| *code != 0) {
                    self.faults.push(format!("g{node} ended with code {code}"));
                }
                // Kills a process that still drains, as the platform does after its grace period.
                self.fleet[node].signal(Signal::KILL);
                std::thread::sleep(Duration::from_millis(20));
                if let Err(e) = self.fleet[node].spawn() {
                    self.faults.push(format!("g{node} cannot be started: {e}"));
                }
            }
            Recovery::ResumeGateway(node) => self.fleet[node].signal(Signal::CONT),
            Recovery::RestorePath(node) => self.fleet[node].store.disturb(Disturbance::None),
            Recovery::RestoreStore => self.store.set_fault(StoreFault::None),
            Recovery::RestoreTarget(target) => {
                self.targets[target].set_event_interval(Duration::from_millis(15))
            }
            Recovery::StartTarget(target) => self.targets[target].start_anew(pool_of(target)),
        }
    }

    /// Ends all faults and starts every process that is not running.
    fn recover_all(&mut self) {
        self.record("everything heals".to_owned());
        for (_, recovery) in std::mem::take(&mut self.recoveries) {
            self.recover(recovery);
        }
        for node in 0..self.fleet.len() {
            self.recover(Recovery::ResumeGateway(node));
            self.recover(Recovery::RestorePath(node));
            if let Err(e) = self.fleet[node].spawn() {
                self.faults.push(format!("g{node} cannot be started: {e}"));
            }
        }
        self.recover(Recovery::RestoreStore);
    }

    fn record(&mut self, event: String) {
        let at = self.start.elapsed().as_millis();
        self.history.push(format!("{at} ms: {event}"));
    }

    /// Compares the observations of the callers with the logs of the targets and the usage reports.
    fn check_guarantees(&mut self, callers: &Callers, reports: &Reports) {
        let mut seen = callers.observations();
        let mut faults = std::mem::take(&mut seen.faults);
        for target in &self.targets {
            let log = target.log();
            for id in &seen.refused {
                if log.runs.contains_key(id) {
                    faults.push(format!("{id}: reported as not run, but it ran"));
                }
            }
            for id in log.runs.keys() {
                let job = id.split('.').next().unwrap_or("");
                if seen.refused_jobs.iter().any(|name| name == job) {
                    faults.push(format!("{id}: ran although its job was always refused"));
                }
            }
            faults.extend(
                log.leaked_keys
                    .iter()
                    .map(|id| format!("{id}: a key reached a target")),
            );
            faults.extend(
                log.late_requests
                    .iter()
                    .map(|id| format!("{id}: sent to a target that had said that it leaves")),
            );
            for pair in log.orders.windows(2) {
                let (first, second) = (&pair[0], &pair[1]);
                if second.1 < first.1 || (second.1 == first.1 && second.0 != first.0) {
                    faults.push(format!("orders of two holders: {first:?}, {second:?}"));
                }
            }
        }
        faults.extend(repeated_runs(&self.targets));
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

/// Returns a fault for each request to an unsafe route that was executed more than once.
fn repeated_runs(targets: &[Arc<TargetStandIn>]) -> Vec<String> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for target in targets {
        for (id, times) in target.log().runs {
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

/// Returns the pool of the target with this number.
fn pool_of(target: usize) -> &'static str {
    if target < ENGINE_COUNT {
        "engines"
    } else {
        "shop"
    }
}

/// Returns the path of the `sardinepath` program in the folder of this program.
pub fn default_program() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    Ok(folder.join("sardinepath"))
}
