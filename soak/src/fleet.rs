//! Gateways as separate processes, each with its own proxy on the path to the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs::File;
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use anyhow::Context;
use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use rand::RngExt;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use sardinepath_adapters::web::Listener;
use sardinepath_adapters::web::Shutdown;
use sardinepath_platform::names;
use serde_json::Value;
use serde_json::json;

use crate::body;
use crate::proxy::Proxy;
use crate::store::LISTENER_LIMITS;
use crate::store::json_response;
use crate::target::DEFAULT_CENTRE;
use crate::target::OTHER_CENTRE;

/// Range of the ports on which gateways listen.
const GATEWAY_PORTS: Range<u16> = 20_000..32_000;

/// Number of parts of the range, of which each process uses one.
const PORT_PARTS: u16 = 16;

/// Accepted usage reports: window number, duty holder, fencing token and counts.
pub type Reports = Vec<(u64, String, u64, Value)>;

/// A gateway process.
#[derive(Debug)]
pub struct GatewayProcess {
    /// Address that serves callers.
    pub front: SocketAddr,
    /// Address that serves the readiness probe.
    pub ready: SocketAddr,
    /// Proxy between the gateway and the store.
    pub store: Proxy,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl GatewayProcess {
    /// Writes the settings of a gateway into a folder and starts its process.
    pub async fn start(
        program: &Path,
        folder: &Path,
        index: usize,
        store: SocketAddr,
        cloud: SocketAddr,
    ) -> anyhow::Result<Self> {
        let store = Proxy::start(store).await?;
        let (front, ready, internal) = (free_address()?, free_address()?, free_address()?);
        let settings = json!({
            "node": format!("g{index}"), "ip": "127.0.0.1", "zone": DEFAULT_CENTRE,
            "contracts": ["places"], "zones": { DEFAULT_CENTRE: "r", OTHER_CENTRE: "r" },
            "listen": { "front": front.to_string(), "ready": ready.to_string() },
            "internalPortRange": [internal.port(), internal.port()],
            "bounds": {
                "leaseDurationMs": 3_000, "usageWindowS": 2.0, "usageLateS": 10.0, "gracePeriodS": 8.0,
            },
            "platform": { "address": store.address.to_string() },
            "cloud": { "address": cloud.to_string(), "duties": ["usage"] },
        });
        let file = folder.join(format!("g{index}.json"));
        std::fs::write(&file, settings.to_string())?;
        let mut process = Self {
            front,
            ready,
            store,
            program: program.to_owned(),
            settings: file,
            log: folder.join(format!("g{index}.log")),
            child: None,
        };
        process.spawn()?;
        Ok(process)
    }

    /// Starts the process unless it is running.
    pub fn spawn(&mut self) -> anyhow::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("could not start {}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let pid = self
            .child
            .as_ref()
            .and_then(|c| i32::try_from(c.id()).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // The process may have exited in the meantime.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns `true` if the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the exit code, or `None` if the process is running or was ended by a signal.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.as_mut()?.try_wait().ok()??.code()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Starts the usage report API, which refuses reports with an outdated fencing token.
pub async fn start_usage_api() -> anyhow::Result<(Arc<Mutex<Reports>>, SocketAddr)> {
    let reports: Arc<Mutex<Reports>> = Arc::default();
    let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = listener.address()?;
    let recorded = reports.clone();
    let fences: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let handle = move |request: Request<Incoming>| {
        let (recorded, fences) = (recorded.clone(), fences.clone());
        async move {
            let (head, body) = request.into_parts();
            let body = body::json(body).await;
            let text = |name: &str| {
                head.headers
                    .get(name)
                    .and_then(|v| v.to_str().ok())
                    .unwrap_or("")
            };
            let fence: u64 = text(names::FENCING_TOKEN).parse().unwrap_or(0);
            let mut fences = fences.lock().unwrap_or_else(PoisonError::into_inner);
            let highest_fence = fences.entry("usage".to_owned()).or_default();
            if fence < *highest_fence {
                return json_response(StatusCode::CONFLICT, &json!({}));
            }
            *highest_fence = fence;
            let window = body["windowNumber"].as_u64().unwrap_or(0);
            let entry = (
                window,
                text(names::DUTY_HOLDER).to_owned(),
                fence,
                body["counts"].clone(),
            );
            recorded
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(entry);
            json_response(StatusCode::OK, &json!({}))
        }
    };
    tokio::spawn(listener.serve(Shutdown::default(), || LISTENER_LIMITS, handle));
    Ok((reports, address))
}

/// Returns a free loopback address.
///
/// The port lies below the system's range of ephemeral ports: an outgoing connection could take an
/// ephemeral port while its gateway is down, as happened with seed 120. Each port is
/// returned only once per process, since two callers could find the same port free before either
/// of them listens. Processes that run at the same time use different parts of the range, since one
/// could take the port of a gateway of another one while that is down, as happened with seed 19.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    static USED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let port = rand::rng().random_range(own_ports(std::process::id()));
        let mut used_ports = USED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
        if used_ports.insert(port)
            && let Ok(listener) = TcpListener::bind(("127.0.0.1", port))
        {
            return Ok(listener.local_addr()?);
        }
    }
}

/// Returns the part of the ports that a process uses.
fn own_ports(process: u32) -> Range<u16> {
    let part = u16::try_from(process % u32::from(PORT_PARTS)).unwrap_or(0);
    let length = (GATEWAY_PORTS.end - GATEWAY_PORTS.start) / PORT_PARTS;
    let start = GATEWAY_PORTS.start + part * length;
    start..start + length
}
