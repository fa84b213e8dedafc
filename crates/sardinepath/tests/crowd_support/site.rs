//! A gateway process with a store, an engine and a plain service in the process of the test.

use std::fs;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sardinepath_platform::names;
use sardinepath_soak::callers::HOST;
use sardinepath_soak::callers::KEY;
use sardinepath_soak::callers::config;
use sardinepath_soak::fleet::free_address;
use sardinepath_soak::store::StoreStandIn;
use sardinepath_soak::target::TargetStandIn;
use serde_json::json;
use tokio::runtime::Runtime;

use crate::crowd_support::Client;
use crate::crowd_support::Sending;

/// Time in which an ordinary request must be answered, which a slow machine needs too.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time limit of each step of an attempt of an ordinary request.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Deadline that a client of a crowd states, in milliseconds. No body is given up because of it
/// during a test.
const CROWD_DEADLINE: u64 = 120_000;

/// Resources that the settings of a gateway state, and the limit of its configuration for bodies.
#[derive(Clone, Copy, Debug)]
pub struct Resources {
    pub memory_megabytes: u64,
    pub descriptors: usize,
    pub body_bytes: usize,
}

/// A gateway process and its surroundings.
pub struct GatewaySite {
    pub runtime: Runtime,
    pub front: SocketAddr,
    child: Child,
    _store: Arc<StoreStandIn>,
    _targets: Vec<Arc<TargetStandIn>>,
}

impl GatewaySite {
    /// Starts a gateway and waits until it answers an ordinary request.
    pub fn start(name: &str, resources: Resources) -> Self {
        let runtime = Runtime::new().unwrap();
        let (store, address) = runtime.block_on(StoreStandIn::start()).unwrap();
        let start = |name, pool| TargetStandIn::start(store.clone(), name, pool);
        let targets = vec![
            runtime.block_on(start("e0", "engines")).unwrap(),
            runtime.block_on(start("s0", "shop")).unwrap(),
        ];
        let mut spec = config(1, &[KEY]);
        spec["limits"]["bodyBytes"] = json!(resources.body_bytes);
        store.put("config", "main", &spec);
        let [front, ready, internal] = [(); 3].map(|()| free_address().unwrap());
        let settings = json!({
            "node": "g0", "ip": "127.0.0.1", "zone": "z",
            "listen": { "front": front.to_string(), "ready": ready.to_string() },
            "internalPortRange": [internal.port(), internal.port()],
            "limits": {
                "cpuShare": 1.0, "memoryMb": resources.memory_megabytes,
                "fileDescriptors": resources.descriptors,
            },
            "platform": { "address": address.to_string() },
        });
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).unwrap();
        let log = fs::File::create(file.with_extension("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_sardinepath"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut site = Self {
            runtime,
            front,
            child,
            _store: store,
            _targets: targets,
        };
        site.await_answer(16);
        site
    }

    /// Returns the process ID. Fails if the process has ended.
    pub fn pid(&mut self) -> u32 {
        assert_eq!(
            self.child.try_wait().unwrap(),
            None,
            "the process has ended"
        );
        self.child.id()
    }

    /// Returns clients that send requests with a key to a path, each with its own id.
    pub fn clients(&self, count: usize, path: &str, key: &str, sending: Sending) -> Vec<Client> {
        let client = |number: usize| Client {
            address: self.front,
            head: format!(
                "POST {path} HTTP/1.1\r\nhost: {HOST}\r\n{}: {key}\r\n{}: crowd-{number}\r\n\
                 {}: {CROWD_DEADLINE}\r\n",
                names::KEY,
                names::REQUEST_ID,
                names::DEADLINE,
            ),
            sending,
            body: Vec::new(),
        };
        (0..count).map(client).collect()
    }

    /// Waits until the gateway answers an ordinary request with a body of this length. Like the
    /// callers of the pages, it tries again after a refusal or a closed connection.
    pub fn await_answer(&mut self, length: usize) {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            self.pid();
            let status = self.request("POST", "/page/ordinary", &vec![b'x'; length]);
            if status.as_ref().is_ok_and(|status| *status == 200) {
                return;
            }
            assert!(Instant::now() < end, "no ordinary answer, last {status:?}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Returns the status of a read of the results of a job.
    pub fn read_job(&self, id: &str) -> std::io::Result<u16> {
        self.request("GET", &format!("/lots/{id}?after=0"), &[])
    }

    /// Sends a request on a connection of its own and returns the status of the answer.
    fn request(&self, method: &str, path: &str, body: &[u8]) -> std::io::Result<u16> {
        let mut stream = TcpStream::connect(self.front)?;
        stream.set_read_timeout(Some(ATTEMPT_TIMEOUT))?;
        stream.set_write_timeout(Some(ATTEMPT_TIMEOUT))?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{}: {KEY}\r\n{}: ordinary\r\n\
             connection: close\r\ncontent-length: {}\r\n\r\n",
            names::KEY,
            names::REQUEST_ID,
            body.len(),
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        let answer = String::from_utf8_lossy(&answer);
        let status = answer.split(' ').nth(1).and_then(|text| text.parse().ok());
        status.ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }
}

impl Drop for GatewaySite {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
