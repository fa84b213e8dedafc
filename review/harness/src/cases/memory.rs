//! A trainer submits a step every four seconds and ends it. Its submissions are well below the largest
//! body that the configuration allows. The platform kills a process that uses more memory than its
//! settings allow; such an end counts as one of the process itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use bytes::Bytes;
use http::Method;
use hyper::Request;
use rustix::process::Signal;
use sardinepath_adapters::web::Body;
use sardinepath_adapters::web::Pool;
use tokio::time::sleep;

use crate::record::Record;
use crate::site::BODY_BYTES;
use crate::site::FRONT_PORT;
use crate::site::HOST;
use crate::site::MEMORY_MB;
use crate::site::Site;
use crate::site::TENANTS;
use crate::site::config;
use crate::site::item_of;
use crate::site::job;
use crate::site::routes;

const GATEWAYS: usize = 4;
const ITEMS: usize = 100;

/// Size of the body of an item.
const LARGE_BODY: usize = 100_000;
const SMALL_BODY: usize = 600;

/// Interval between two steps, as the sheet states it.
const STEP_INTERVAL: Duration = Duration::from_secs(4);

/// Time for which steps are submitted.
const RUN_TIME: Duration = Duration::from_secs(85);

/// Interval between two looks at the memory of the processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Number of consumers with a kept channel at each gateway.
const CONSUMERS: usize = 8;

/// Time that a plain request takes at its replica.
const WORK_TIME: Duration = Duration::from_millis(150);

/// Closed channels with a request that had been passed on, above which the rule is broken.
const MAX_LOST: usize = 3;

/// Requests on kept channels that ended without an answer, by gateway.
type Unanswered = Arc<Mutex<BTreeMap<usize, Vec<(String, Instant)>>>>;

pub async fn play(record: Record, trouble: bool) -> anyhow::Result<Vec<String>> {
    let mut site = Site::start(record, GATEWAYS, 9, 8, &config(1, &routes())).await?;
    for shop in &site.shops {
        shop.set_pace(1, WORK_TIME);
    }
    let done = Arc::new(AtomicBool::new(false));
    let unanswered = Unanswered::default();
    for gateway in 0..GATEWAYS {
        for name in 0..CONSUMERS {
            let front = SocketAddr::from((site.gateways[gateway].ip, FRONT_PORT));
            tokio::spawn(consume(
                front,
                gateway,
                name,
                done.clone(),
                unanswered.clone(),
            ));
        }
    }
    let body = vec![7_u8; if trouble { LARGE_BODY } else { SMALL_BODY }];
    let mut kills: Vec<(usize, Instant)> = Vec::new();
    let mut peak = 0;
    let start = Instant::now();
    for step in 0.. {
        if start.elapsed() > RUN_TIME || kills.len() >= 2 {
            break;
        }
        let began = Instant::now();
        let play = play_step(&site, step, &body);
        let mut over: BTreeSet<usize> = BTreeSet::new();
        {
            let pids: Vec<Option<u32>> = site.gateways.iter().map(|g| g.last_pid()).collect();
            let mut play = std::pin::pin!(play);
            let mut played = false;
            while !played || began.elapsed() < STEP_INTERVAL {
                tokio::select! {
                    size = &mut play, if !played => {
                        played = true;
                        if size? > BODY_BYTES {
                            bail!("the submission is too large");
                        }
                    }
                    () = sleep(LOOK_INTERVAL) => {}
                }
                let memory = pids
                    .iter()
                    .map(|pid| pid.and_then(resident_kb).unwrap_or(0) / 1024);
                for (index, memory) in memory.enumerate() {
                    peak = peak.max(memory);
                    if memory > MEMORY_MB {
                        over.insert(index);
                    }
                }
                if !over.is_empty() {
                    break;
                }
            }
        }
        for index in over {
            let name = site.gateways[index].name.clone();
            site.record.line(&format!(
                "platform: {name} uses more than {MEMORY_MB} MB and is killed"
            ));
            site.signal(index, Signal::KILL);
            kills.push((index, Instant::now()));
            sleep(RESTART_DELAY).await;
            site.spawn(index)?;
        }
    }
    sleep(Duration::from_secs(1)).await;
    done.store(true, Ordering::Release);
    site.record
        .line(&format!("highest use of memory: {peak} MB"));
    Ok(lost(&site, &kills, &unanswered))
}

/// Returns the requests that a killed gateway had passed on and left without an answer.
fn lost(site: &Site, kills: &[(usize, Instant)], unanswered: &Unanswered) -> Vec<String> {
    let arrived: BTreeSet<String> = site
        .shops
        .iter()
        .flat_map(|shop| shop.arrivals())
        .filter(|arrival| arrival.status == 200)
        .map(|arrival| arrival.id)
        .collect();
    let unanswered = unanswered.lock().unwrap_or_else(PoisonError::into_inner);
    let mut faults = Vec::new();
    for (gateway, at) in kills {
        let of_gateway = unanswered.get(gateway).cloned().unwrap_or_default();
        let near = |ended: Instant| {
            let gap = Duration::from_millis(500);
            ended < *at + gap && *at < ended + gap
        };
        let ids: Vec<String> = of_gateway
            .into_iter()
            .filter(|(id, ended)| near(*ended) && arrived.contains(id))
            .map(|(id, _)| id)
            .collect();
        for id in &ids {
            site.record.line(&format!(
                "{id} was passed on and its channel closed without an answer"
            ));
        }
        if ids.len() > MAX_LOST {
            faults.push(format!(
                "LOST: {} ended by its use of memory and closed {} kept channels with a request that a \
                 replica had",
                site.gateways[*gateway].name,
                ids.len()
            ));
        }
    }
    faults
}

/// Submits a step, reads its results and ends it. Returns the size of the submission.
async fn play_step(site: &Site, step: u64, body: &[u8]) -> anyhow::Result<u64> {
    let key = TENANTS[0].1;
    let id = format!("b{step:015}");
    let items = (0..ITEMS).map(|n| {
        let group = format!("g{step}-{}", n / 4);
        item_of(&format!("a{step:04}{n:011}"), &group, body, &[])
    });
    let job = job(step, items.collect());
    let size = u64::try_from(job.to_string().len())?;
    let first = usize::try_from(step)? % GATEWAYS;
    if !site.submit(&id, key, &job, first).await {
        bail!("step {step} was not accepted");
    }
    site.collect(&id, key, ITEMS * 9 / 10, Duration::from_millis(2_500))
        .await;
    let path = format!("/lots/{id}");
    site.call(
        first,
        Method::DELETE,
        &path,
        &format!("end-{id}"),
        key,
        &[],
        Bytes::new(),
    )
    .await;
    Ok(size)
}

/// Sends one request after the other on a kept channel.
async fn consume(
    front: SocketAddr,
    gateway: usize,
    name: usize,
    done: Arc<AtomicBool>,
    unanswered: Unanswered,
) {
    let pool = Pool::default();
    let mut kept = false;
    for count in 0.. {
        if done.load(Ordering::Acquire) {
            return;
        }
        let id = format!("plain-{gateway}-{name}-{count}");
        let request = Request::post("/page/x")
            .header("host", HOST)
            .header("x-key", TENANTS[1].1)
            .header("x-attempt-id", &id)
            .header("x-deadline-ms", "1500");
        let Ok(request) = request.body(Body::default()) else {
            return;
        };
        let answered = pool
            .call(front, request, Duration::from_secs(2), 1 << 20)
            .await;
        if answered.is_err() && kept {
            let mut unanswered = unanswered.lock().unwrap_or_else(PoisonError::into_inner);
            unanswered
                .entry(gateway)
                .or_default()
                .push((id, Instant::now()));
        }
        kept = answered.is_ok();
        if !kept {
            sleep(Duration::from_millis(300)).await;
        }
    }
}

/// Returns the resident memory of a process in KB.
fn resident_kb(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
