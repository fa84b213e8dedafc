//! One run of the soak test: injects faults drawn from a seed, ends them and checks the results.

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
use crate::evacuation::Evacuation;
use crate::failing::FAILING_JOB;
use crate::fleet::GatewayProcess;
use crate::fleet::Reports;
use crate::fleet::start_usage_api;
use crate::proxy::Disturbance;
use crate::store::StoreFault;
use crate::store::StoreStandIn;
use crate::target::MODEL;
use crate::target::OTHER_CENTRE;
use crate::target::TargetStandIn;

/// Time after the last fault within which every accepted job must complete.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(25);

/// Time after the last fault for which a request that crashes targets goes on coming.
const CRASHING_TIME: Duration = Duration::from_secs(5);

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

/// State of a run.
pub(crate) struct Run {
    pub(crate) random: ChaCha8Rng,
    /// Evacuation of a data centre, which is in force from its time to the end of the run.
    pub(crate) evacuation: Evacuation,
    /// Random numbers for targets that leave, apart from those for the other faults.
    pub(crate) leave_random: ChaCha8Rng,
    pub(crate) store: Arc<StoreStandIn>,
    pub(crate) fleet: Vec<GatewayProcess>,
    pub(crate) targets: Vec<Arc<TargetStandIn>>,
    pub(crate) config_version: u64,
    pub(crate) start: Instant,
    pub(crate) history: Vec<String>,
    /// Scheduled recoveries from the faults that are in effect.
    pub(crate) recoveries: Vec<(Instant, Recovery)>,
    pub(crate) faults: Vec<String>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Recovery {
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
    let calm = stop + CRASHING_TIME;
    let plain = paths.iter().enumerate().map(|(name, path)| {
        let caller = callers.clone();
        tokio::spawn(caller.plain(name, path, calm))
    });
    let plain: Vec<_> = plain.collect();
    let crashing = tokio::spawn(callers.clone().crashing(stop + CRASHING_TIME));
    let trainer = tokio::spawn(train(callers.clone(), run.store.clone(), stop));
    run.inject_faults(stop).await;
    run.recover_all();
    let healed = std::time::Instant::now();
    let steps = trainer.await?;
    crashing.await?;
    for task in plain {
        task.await?;
    }
    run.take_back();
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
    run.check_crashes(healed);
    run.check_failing();
    run.check_evacuation(healed);
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
        let kind = if step % 3 == 2 { FAILING_JOB } else { 'b' };
        let name = format!("{kind}{step}");
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
            let target = TargetStandIn::start(store.clone(), &name, pool).await?;
            if index % 2 == 1 {
                target.move_to(pool, OTHER_CENTRE);
            }
            targets.push(target);
        }
        let mut fleet = Vec::new();
        for index in 0..plan.gateways {
            let (program, folder) = (&plan.program, &plan.folder);
            fleet.push(GatewayProcess::start(program, folder, index, address, cloud).await?);
        }
        let run = Self {
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            evacuation: Evacuation::draw(plan.seed, plan.time),
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
            self.evacuate_due();
            self.inject_fault();
            if self.leave_random.random_bool(LEAVE_PROBABILITY) {
                self.leave_target();
            }
            let pause = self.random.random_range(100..900);
            sleep(Duration::from_millis(pause)).await;
        }
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

    pub(crate) fn record(&mut self, event: String) {
        let at = self.start.elapsed().as_millis();
        self.history.push(format!("{at} ms: {event}"));
    }
}

/// Returns the pool of the target with this number.
pub(crate) fn pool_of(target: usize) -> &'static str {
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
