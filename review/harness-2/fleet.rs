//! A small deployment on loopback addresses: the store, the platform's interface for duties,
//! replicas, and the project's gateways as separate processes.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::CHILDREN;
use crate::http;
use crate::http::Message;
use crate::store::Store;

pub const FRONT_PORT: u16 = 8689;
const READY_PORT: u16 = 8687;
const CONTROL_PORT: u16 = 8683;
const PLATFORM_PORT: u16 = 8688;
const REPLICA_PORT: u16 = 8080;
const ZONE: &str = "qld-a";
pub const MODEL: &str = "daka510000";
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Everything that a case records: what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>7} ms  {text}");
    }
}

/// A running deployment. Dropping it ends its processes.
pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    net: [u8; 2],
    folder: PathBuf,
    gateways: BTreeMap<u8, Child>,
    bounds: String,
}

/// A request that a replica got, before it decides what to do.
pub struct Arrival<'a> {
    pub request: &'a Message,
    pub stream: &'a mut TcpStream,
    pub replica: &'a Arc<Replica>,
    /// Number of the request on its channel, from 0.
    pub number: usize,
}

/// Stand-in of a replica.
pub struct Replica {
    pub name: String,
    pub address: SocketAddr,
    pub service: String,
    pub runs: Mutex<Vec<(Instant, String)>>,
    version: Mutex<(u64, u64)>,
}

impl Fleet {
    /// Starts the store and the interface for duties. `case` names the folder of the record.
    pub fn start(case: &str, bounds: &[(&str, &str)]) -> std::io::Result<Self> {
        let net = free_net()?;
        let folder =
            std::env::temp_dir().join(format!("sardinepath-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let start = Instant::now();
        let file = Mutex::new(File::create(case)?);
        let record = Arc::new(Record { file, start });
        let store = Store::start(address(net, 200, PLATFORM_PORT))?;
        let duties = record.clone();
        http::serve(address(net, 201, PLATFORM_PORT), move |request, stream| {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let fence = request.header("x-fencing-token").unwrap_or("").to_owned();
            duties.line(&format!("duty {} fence {fence} {body}", request.line));
            http::respond(stream, 200, &[], b"").is_ok()
        })?;
        let mut known: BTreeMap<&str, &str> = BTreeMap::from([
            ("contactMs", "3000"),
            ("drainMs", "2000"),
            ("gracePeriodS", "8"),
            ("lossSlackMs", "200"),
            ("configApplyMs", "2000"),
            ("outerMs", "5000"),
            ("fencingEnforced", "true"),
            ("leaseDurationMs", "3000"),
            ("usageWindowS", "5"),
            ("usageTolerance", "0.05"),
            ("usageLateS", "10"),
            ("recoveryS", "12"),
            ("finishS", "10"),
            ("statusS", "120"),
            ("cancelMs", "3000"),
            ("settleMs", "1000"),
        ]);
        known.extend(bounds.iter().copied());
        let bounds: Vec<String> = known.iter().map(|(n, v)| format!("\"{n}\": {v}")).collect();
        let fleet = Self {
            record,
            store,
            net,
            folder,
            gateways: BTreeMap::new(),
            bounds: bounds.join(", "),
        };
        fleet
            .record
            .line(&format!("net 127.{}.{}.0", net[0], net[1]));
        Ok(fleet)
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        address(self.net, host, port)
    }

    pub fn front(&self, gateway: u8) -> SocketAddr {
        address(self.net, gateway, FRONT_PORT)
    }

    /// Starts a gateway as the deploy file does.
    pub fn start_gateway(&mut self, number: u8) -> std::io::Result<()> {
        let ip = self.address(number, 0).ip();
        let settings = format!(
            "{{\"node\": \"front-{ZONE}-{number}\", \"role\": \"gateway\", \"machineClass\": \"front\",
 \"serves\": [\"front\"], \"ip\": \"{ip}\", \"zone\": \"{ZONE}\", \"region\": \"qld\",
 \"zones\": {{\"{ZONE}\": \"qld\"}},
 \"listen\": {{\"front\": \"{ip}:{FRONT_PORT}\", \"ready\": \"{ip}:{READY_PORT}\", \"control\": \"{ip}:{CONTROL_PORT}\"}},
 \"internalPortRange\": [7360, 7375], \"seeds\": [], \"firstStart\": true, \"inFaultBudget\": false,
 \"limits\": {{\"cpuShare\": 0.19, \"cores\": 1, \"memoryMb\": 260, \"fileDescriptors\": 4100, \"linkMbps\": 1000.0, \"diskMb\": 0}},
 \"dataDirectory\": null, \"discovery\": \"platform\", \"entry\": \"virtual_ip\", \"heartbeatIntervalMs\": 1200,
 \"contracts\": [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"samples\", \"stream\", \"engine\", \"batch\", \"tenants\", \"leader\", \"platform\"],
 \"faultTolerance\": {{\"machines\": 1, \"zones\": 0, \"regions\": 0}}, \"bounds\": {{{}}},
 \"platform\": {{\"address\": \"{}\", \"form\": \"objects\", \"writesPerS\": 400, \"readsPerS\": 2000, \"historyS\": 20, \"valueBytes\": 1048576, \"ttlMinMs\": 1000}},
 \"cloud\": {{\"address\": \"{}\", \"ratePerS\": 50.0, \"duties\": [\"usage\", \"scale\"], \"dutyPerS\": 50.0}}}}",
            self.bounds,
            self.address(200, PLATFORM_PORT),
            self.address(201, PLATFORM_PORT),
        );
        let file = self.folder.join(format!("settings-{number}.json"));
        std::fs::write(&file, settings)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("gateway-{number}.log")))?;
        let child = Command::new("target/release/sardinepath")
            .args(["gateway", "--metrics", "9464"])
            .env("SARDINEPATH_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!(
            "started gateway {number} as process {}",
            child.id()
        ));
        CHILDREN.lock().unwrap().push(child.id());
        self.gateways.insert(number, child);
        Ok(())
    }

    /// Returns `true` if a gateway answers its readiness check.
    pub fn is_ready(&self, number: u8) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let address = address(self.net, number, READY_PORT);
        let answer = http::call(address, request, b"", Duration::from_millis(500));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until the gateways are ready. Returns `false` if they are not within 10 seconds.
    pub fn wait_ready(&self, gateways: &[u8]) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while !gateways.iter().all(|number| self.is_ready(*number)) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Starts a replica and registers it. `behave` serves the requests that are neither reports nor
    /// orders, and returns `false` to end the channel.
    pub fn start_replica(
        &self,
        host: u8,
        service: &str,
        slots: u32,
        behave: impl Fn(Arrival<'_>) -> bool + Send + Sync + 'static,
    ) -> std::io::Result<Arc<Replica>> {
        let replica = Arc::new(Replica {
            name: format!("i-{service}-{host}"),
            address: self.address(host, REPLICA_PORT),
            service: service.to_owned(),
            runs: Mutex::default(),
            version: Mutex::new((1, 0)),
        });
        let (served, store) = (replica.clone(), self.store.clone());
        let behave = Arc::new(behave);
        let listener = TcpListener::bind(replica.address)?;
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, store, behave) = (served.clone(), store.clone(), behave.clone());
                thread::spawn(move || serve_channel(&replica, &store, slots, stream, &*behave));
            }
        });
        replica.register(&self.store, slots, "ready");
        Ok(replica)
    }
}

/// Ends a process that the fleet started.
fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    CHILDREN.lock().unwrap().retain(|id| *id != child.id());
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.values_mut().for_each(end);
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Replica {
    pub fn register(&self, store: &Store, slots: u32, state: &str) {
        let (version, sequence) = *self.version.lock().unwrap();
        store.put(
            "servers",
            &self.name,
            &format!(
                "{{\"service\": \"{}\", \"address\": \"{}\", \"zone\": \"{ZONE}\", \"version\": \"v1\",
 \"slots\": {slots}, \"state\": \"{state}\", \"coldRemainingMs\": 0, \"stage\": \"both\", \"sequence\": {sequence},
 \"models\": [{{\"name\": \"{MODEL}\", \"version\": {version}, \"adapters\": []}}]}}",
                self.service, self.address
            ),
        );
    }

    /// Records that the replica begins to run a request.
    pub fn record_run(&self, id: &str) {
        self.runs
            .lock()
            .unwrap()
            .push((Instant::now(), id.to_owned()));
    }
}

/// Serves a channel of a replica.
fn serve_channel(
    replica: &Arc<Replica>,
    store: &Arc<Store>,
    slots: u32,
    stream: TcpStream,
    behave: &(dyn Fn(Arrival<'_>) -> bool + Send + Sync),
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = std::io::BufReader::new(stream);
    let mut number = 0;
    while let Some(request) = http::read(&mut reader, false) {
        let kept = match request.target() {
            "/report" => {
                let (version, sequence) = *replica.version.lock().unwrap();
                let body = format!(
                    "{{\"stage\": \"both\", \"models\": [{{\"name\": \"{MODEL}\", \"version\": {version}, \"adapters\": []}}], \"busy\": false, \"sequence\": {sequence}, \"waiting\": 0, \"running\": 0, \"kvUsed\": 0, \"kvTotal\": 40000, \"handles\": 0}}"
                );
                let kind = [("Content-Type", "application/json")];
                http::respond(&mut writer, 200, &kind, body.as_bytes()).is_ok()
            }
            "/order" => {
                let body = std::str::from_utf8(&request.body)
                    .ok()
                    .and_then(crate::json::parse);
                let wanted = body
                    .and_then(|body| body.get("version").number())
                    .unwrap_or(0);
                {
                    let mut version = replica.version.lock().unwrap();
                    version.0 = version.0.max(wanted);
                    version.1 += 1;
                }
                replica.register(store, slots, "ready");
                http::respond(&mut writer, 202, &[], b"").is_ok()
            }
            _ => {
                let expected = request.header("x-expect-replica");
                if expected.is_some_and(|expected| expected != replica.name) {
                    let named = [("X-Replica-Id", replica.name.as_str())];
                    http::respond(&mut writer, 421, &named, b"").is_ok()
                } else {
                    behave(Arrival {
                        request: &request,
                        stream: &mut writer,
                        replica,
                        number,
                    })
                }
            }
        };
        if !kept {
            return;
        }
        number += 1;
    }
}

/// Answers a plain request with success.
pub fn answer(arrival: &mut Arrival<'_>, body: &[u8]) -> bool {
    let id = arrival
        .request
        .header("x-attempt-id")
        .unwrap_or("")
        .to_owned();
    let stamp = format!("3e1b.{id}");
    let headers = [
        ("X-Attempt-Id", id.as_str()),
        ("X-Server-Stamp", stamp.as_str()),
    ];
    http::respond(arrival.stream, 200, &headers, body).is_ok()
}

fn address(net: [u8; 2], host: u8, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(127, net[0], net[1], host);
    SocketAddr::new(IpAddr::V4(ip), port)
}

/// Returns a part of the loopback network in which nobody listens on the ports of the deployment.
fn free_net() -> std::io::Result<[u8; 2]> {
    let seed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |t| t.subsec_nanos());
    let mut draw = u64::from(seed) ^ (u64::from(std::process::id()) << 20);
    for _ in 0..50 {
        draw = draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let net = [16 + (draw >> 33) as u8 % 200, 1 + (draw >> 45) as u8 % 250];
        let ports = [(1, FRONT_PORT), (1, 9464), (1, 7360), (200, PLATFORM_PORT)];
        let free = |&(host, port): &(u8, u16)| TcpListener::bind(address(net, host, port)).is_ok();
        if ports.iter().all(free) {
            return Ok(net);
        }
    }
    Err(std::io::Error::other("no free loopback addresses"))
}
