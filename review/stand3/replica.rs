//! Stand-ins of replicas: a plain service, and a model replica that streams generations.

use std::io::ErrorKind;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::http::Next;
use crate::json::Json;
use crate::json::num;
use crate::json::obj;
use crate::json::text;
use crate::record::Record;
use crate::store::Store;

/// Name of the only model.
pub const MODEL: &str = "m0";

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It still goes on.
    Open,
    /// The replica has answered in full.
    Whole,
    /// The sender closed the channel.
    Left,
    /// The replica answered 422 or 500.
    Failed,
}

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Name of the replica.
    pub replica: String,
    /// `X-Attempt-Id` of the request.
    pub id: String,
    /// Time at which it reached the replica.
    pub start: Instant,
    /// Time of its end.
    pub end: Option<Instant>,
    /// How it ended.
    pub how: End,
}

/// Runs at all replicas. Clones share them.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What an item or request does at a replica.
#[derive(Clone, Copy)]
pub enum Course {
    /// A stream of this many events, one each interval.
    Stream(u64, Duration),
    /// A plain answer after this time.
    Plain(Duration),
    /// Answer this status at once.
    Fail(u16),
}

/// An order that reached a replica.
#[derive(Clone, Debug)]
pub struct Order {
    /// Name of the replica.
    pub replica: String,
    /// Holder of the duty that sent it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
    /// Time at which it reached the replica.
    pub at: Instant,
}

/// Orders to the model replicas, and the time for which the link of a holder holds each of them up.
#[derive(Clone, Default)]
pub struct Orders {
    /// Orders in the order of their arrival.
    pub seen: Arc<Mutex<Vec<Order>>>,
    /// Holder whose link loses packets, with the time that this costs.
    pub held_up: Arc<Mutex<Option<(String, Duration)>>>,
    /// Time for which the link holds up the reports, which only the holder asks for.
    pub reports: Arc<Mutex<Option<Duration>>>,
    /// Time at which a report was last asked for.
    pub asked: Arc<Mutex<Option<Instant>>>,
}

/// What a model replica knows of its weights.
struct Weights {
    version: u64,
    sequence: u64,
    busy: bool,
}

/// Time that a change of version takes.
const LOAD_TIME: Duration = Duration::from_millis(900);

/// Chooses the course of a request.
pub type CourseRule = Arc<dyn Fn(&Message) -> Course + Send + Sync>;

/// A replica.
#[derive(Clone)]
pub struct Replica {
    /// Name under which it is registered.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    born: u64,
    slots: u32,
    weights: Arc<Mutex<Weights>>,
    gone: Arc<AtomicBool>,
}

impl Replica {
    /// Starts a replica. It registers with `entry`.
    pub fn start(
        name: &str,
        service: &str,
        slots: u32,
        runs: &Runs,
        record: &Record,
        rule: CourseRule,
    ) -> Self {
        Self::start_with_orders(
            name,
            service,
            slots,
            runs,
            record,
            rule,
            &Orders::default(),
            None,
        )
    }

    /// Starts a replica that carries out orders. It writes its new version to the store.
    #[allow(clippy::too_many_arguments)]
    pub fn start_with_orders(
        name: &str,
        service: &str,
        slots: u32,
        runs: &Runs,
        record: &Record,
        rule: CourseRule,
        orders: &Orders,
        store: Option<&Store>,
    ) -> Self {
        let (runs, record, own) = (runs.clone(), record.clone(), name.to_owned());
        let weights = Arc::new(Mutex::new(Weights {
            version: 1,
            sequence: 0,
            busy: false,
        }));
        let (orders, store) = (orders.clone(), store.cloned());
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let mut replica = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            born: born.map_or(0, |time| time.as_millis() as u64),
            slots,
            weights,
            gone: Arc::default(),
        };
        let served = replica.clone();
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        // The address is known only after the start, so the handler learns it from the channel.
        let gone = replica.gone.clone();
        replica.address =
            http::serve_until(ip, gone, move |request, stream| match request.route() {
                "/report" => {
                    *orders.asked.lock().unwrap_or_else(|e| e.into_inner()) = Some(Instant::now());
                    let held_up = *orders.reports.lock().unwrap_or_else(|e| e.into_inner());
                    thread::sleep(held_up.unwrap_or_default());
                    Next::Answer(200, vec![], served.report().to_string().into_bytes())
                }
                "/order" => {
                    let mut own = served.clone();
                    own.address = stream.local_addr().unwrap_or(own.address);
                    own.order(request, stream, &orders, &record, store.as_ref())
                }
                _ => match answer(&own, &runs, &record, &rule, request, stream) {
                    Next::Answer(..) if served.gone.load(Ordering::Relaxed) => Next::Close,
                    next => next,
                },
            });
        replica
    }

    /// Carries out an order, once it has passed the link of its sender.
    fn order(
        &self,
        request: &Message,
        stream: &TcpStream,
        orders: &Orders,
        record: &Record,
        store: Option<&Store>,
    ) -> Next {
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let holder = body.get("holder").str().to_owned();
        let fence = body.get("fencingToken").int().unwrap_or(0);
        record.add(format!(
            "{holder} sends an order with token {fence} to {}",
            self.name
        ));
        let held_up = orders
            .held_up
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone();
        if let Some((_, time)) = held_up.filter(|(name, _)| *name == holder) {
            if wait_open(stream, time).is_err() {
                record.add(format!(
                    "the order of {holder} to {} was reset on its way",
                    self.name
                ));
                return Next::Close;
            }
        }
        let order = Order {
            replica: self.name.clone(),
            holder: holder.clone(),
            fence,
            at: Instant::now(),
        };
        orders
            .seen
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(order);
        let mut weights = self.weights.lock().unwrap_or_else(|e| e.into_inner());
        let version = body.get("version").int().unwrap_or(0);
        let status = match body.get("precondition").int() {
            _ if version <= weights.version => 200,
            Some(expected) if weights.busy || expected != weights.sequence => 409,
            _ => 202,
        };
        record.add(format!(
            "the order of {holder} with token {fence} reaches {}: {status}",
            self.name
        ));
        if status == 202 {
            weights.busy = true;
            weights.sequence += 1;
            let (own, store) = (self.clone(), store.cloned());
            thread::spawn(move || {
                thread::sleep(LOAD_TIME);
                {
                    let mut weights = own.weights.lock().unwrap_or_else(|e| e.into_inner());
                    weights.version = version;
                    weights.busy = false;
                }
                if let Some(store) = store {
                    store.put("servers", &own.name, own.entry("ready"));
                }
            });
        }
        Next::Answer(status, vec![], vec![])
    }

    fn model(&self) -> Json {
        let weights = self.weights.lock().unwrap_or_else(|e| e.into_inner());
        obj(vec![
            ("name", text(MODEL)),
            ("version", num(weights.version)),
            ("adapters", Json::Arr(vec![])),
        ])
    }

    fn report(&self) -> Json {
        let model = self.model();
        let weights = self.weights.lock().unwrap_or_else(|e| e.into_inner());
        obj(vec![
            ("stage", text("both")),
            ("models", Json::Arr(vec![model])),
            ("busy", Json::Bool(weights.busy)),
            ("sequence", num(weights.sequence)),
            ("waiting", num(0)),
            ("running", num(0)),
            ("kvUsed", num(0)),
            ("kvTotal", num(74_436)),
            ("handles", num(0)),
        ])
    }

    /// Ends the replica. What it works on is lost, and new channels are refused.
    pub fn exit(&self) {
        self.gone.store(true, Ordering::Relaxed);
    }

    /// Returns the entry of the replica in the store.
    pub fn entry(&self, state: &str) -> Json {
        let models = match self.service.as_str() {
            "works-app" => vec![],
            _ => vec![self.model()],
        };
        obj(vec![
            ("service", text(&self.service)),
            ("address", text(self.address)),
            ("zone", text("qld-a")),
            ("version", text("v1")),
            ("slots", num(self.slots)),
            ("state", text(state)),
            ("coldRemainingMs", num(0)),
            ("sequence", num(0)),
            ("stage", text("both")),
            ("models", Json::Arr(models)),
            ("born", num(self.born)),
        ])
    }
}

fn answer(
    own: &str,
    runs: &Runs,
    record: &Record,
    rule: &CourseRule,
    request: &Message,
    stream: &mut TcpStream,
) -> Next {
    let id = request.header("x-attempt-id").to_owned();
    let named = ("X-Attempt-Id".to_owned(), id.clone());
    let expected = request.header("x-expect-replica");
    if !expected.is_empty() && expected != own {
        return Next::Answer(421, vec![named], vec![]);
    }
    if request.route() == "/health" {
        let name = ("X-Replica-Id".to_owned(), own.to_owned());
        return Next::Answer(200, vec![name], vec![]);
    }
    let index = {
        let mut runs = runs.lock().unwrap_or_else(|e| e.into_inner());
        runs.push(Run {
            replica: own.to_owned(),
            id: id.clone(),
            start: Instant::now(),
            end: None,
            how: End::Open,
        });
        runs.len() - 1
    };
    let after = request.header("last-event-id");
    record.add(format!(
        "run {id} at {own} after event {}",
        if after.is_empty() { "0" } else { after }
    ));
    let stamp = ("X-Server-Stamp".to_owned(), format!("d.{own}.{id}"));
    let (how, next) = match rule(request) {
        Course::Plain(time) => {
            thread::sleep(time);
            let body = format!("body of {id}").into_bytes();
            (End::Whole, Next::Answer(200, vec![named, stamp], body))
        }
        Course::Fail(status) => (
            End::Failed,
            Next::Answer(status, vec![named, stamp], vec![]),
        ),
        Course::Stream(events, interval) => {
            let after = after.parse().unwrap_or(0);
            let whole = generate(stream, &id, &stamp.1, after, events, interval).is_ok();
            (if whole { End::Whole } else { End::Left }, Next::Close)
        }
    };
    record.add(format!("end {id} at {own}: {how:?}"));
    if let Some(run) = runs
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .get_mut(index)
    {
        run.end = Some(Instant::now());
        run.how = how;
    }
    next
}

/// Streams the events of a generation. Fails once the sender has closed the channel.
fn generate(
    stream: &mut TcpStream,
    id: &str,
    stamp: &str,
    after: u64,
    events: u64,
    interval: Duration,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: {stamp}\r\nX-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for event in after + 1..=events {
        wait_open(stream, interval)?;
        let event = format!("id: {event}\ndata: {id}-{event}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Waits for a time. Fails at once if the sender closes the channel meanwhile.
fn wait_open(stream: &TcpStream, time: Duration) -> std::io::Result<()> {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(1) {
            return Ok(());
        }
        stream.set_read_timeout(Some(left.min(Duration::from_millis(5))))?;
        match stream.peek(&mut [0]) {
            Ok(0) => return Err(ErrorKind::ConnectionReset.into()),
            Ok(_) => thread::sleep(left),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
    }
}
