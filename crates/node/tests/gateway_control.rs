//! Panics while the control thread of a gateway handles messages.
#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use sardinepath_adapters::clock::HostClock;
use sardinepath_adapters::panic::EndReport;
use sardinepath_core::decision::gateway::Gateway;
use sardinepath_core::decision::gateway::GatewaySettings;
use sardinepath_core::decision::gateway::message::CallId;
use sardinepath_core::decision::gateway::message::Effect;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::PingRequest;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::decision::lease::Terms;
use sardinepath_core::decision::memory::MemoryLimits;
use sardinepath_core::domain::cold::ColdTolerance;
use sardinepath_core::domain::fleet::Peer;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::outlet::Outlet;
use sardinepath_node::gateway::ControlEnd;
use sardinepath_node::gateway::GatewayMetrics;
use sardinepath_node::gateway::run;

/// Time in which a message is handled.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Outlet that panics at the first replies.
struct PanickingOutlet {
    panics: u32,
    replies: Sender<(CallId, Reply)>,
}

impl Outlet for PanickingOutlet {
    fn perform(&mut self, effect: Effect) {
        let Effect::Reply(call, reply) = effect else {
            return;
        };
        if self.panics > 0 {
            self.panics -= 1;
            panic!("a reply that cannot be sent");
        }
        self.replies.send((call, reply)).unwrap();
    }
}

fn gateway() -> Gateway {
    let settings = GatewaySettings {
        peer: Peer {
            host: "g0".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            incarnation: Incarnation(1),
            cpu_percent: 50,
            region: None,
        },
        centre: "c".into(),
        region: "r".into(),
        regions: BTreeMap::new(),
        places: false,
        epoch: 0,
        lease: Terms::default(),
        fence_checked: true,
        usage_window: None,
        entry_lapse: Duration::from_millis(1_200),
        job_retention: Duration::from_secs(60),
        report_deadline: Duration::from_secs(10),
        cold_tolerance: ColdTolerance::default(),
        memory: MemoryLimits::for_host(256 << 20),
        seed: 1,
    };
    Gateway::new(settings, HostClock.now())
}

/// Runs a control thread whose outlet panics at its first replies, and asks it questions.
fn ask(panics: u32, questions: u64) -> (Vec<(CallId, Reply)>, ControlEnd) {
    let (messages, received) = flume::unbounded();
    let (replies, replied): (_, Receiver<(CallId, Reply)>) = flume::unbounded();
    let control = thread::spawn(move || {
        let mut outlet = PanickingOutlet { panics, replies };
        let metrics = GatewayMetrics::new().unwrap();
        run(gateway(), &received, &mut outlet, &HostClock, &metrics)
    });
    let mut seen = Vec::new();
    for call in 0..questions {
        let question = Question::Ping(PingRequest::default());
        messages.send(Message::Ask(CallId(call), question)).unwrap();
        seen.push(replied.recv_timeout(TIMEOUT).unwrap());
    }
    messages.send(Message::Stop).unwrap();
    (seen, control.join().unwrap())
}

/// Guards against a panic at one message that ends the control thread, and with it all decisions of
/// the process, or that leaves the caller without a reply.
#[test]
fn a_panic_at_a_message_ends_only_that_message() {
    let (replies, end) = ask(1, 3);

    assert_eq!(replies[0], (CallId(0), Reply::Unsure));
    for (_, reply) in &replies[1..] {
        assert!(matches!(reply, Reply::Pong(_)), "{reply:?}");
    }
    assert_eq!(end, ControlEnd::Stopped);
}

/// Guards against an owner that waits for ever for a task that panicked, for example an item whose
/// run never ends.
#[test]
fn a_task_that_panics_reports_its_end() {
    let (sender, received) = flume::unbounded();
    let report = |fallback| EndReport::new(sender.clone(), fallback);

    let panicking = report("panicked");
    let panicked = thread::spawn(move || {
        let _report = panicking;
        panic!("a task panics");
    });
    assert!(panicked.join().is_err());
    report("unused").send("ended");
    report("unused").cancel();

    assert_eq!(received.drain().collect::<Vec<_>>(), ["panicked", "ended"]);
}
