//! Report streams from the agents of the targets that the entry follows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_adapters::rpc::client::RpcClient;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_adapters::runtime::Task;
use sardinepath_adapters::runtime::sleep;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::subset::followed_targets;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::target::Report;

use crate::entry::inbox::Inbox;

/// Interval at which agents are asked to report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before a stream that ended is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of reports of one stream that wait for the control thread.
const REPORT_QUEUE_CAPACITY: usize = 4;

/// The open report streams of an entry, by the address of the agent.
pub struct ReportStreams {
    host: HostName,
    /// Hosts of the other live entries.
    entries: Vec<HostName>,
    spawner: Spawner,
    peers: Arc<RpcClient>,
    control: Inbox<Report>,
    streams: HashMap<SocketAddr, Task>,
}

impl ReportStreams {
    /// Creates an empty set of streams.
    pub fn new(
        host: HostName,
        spawner: Spawner,
        peers: Arc<RpcClient>,
        control: Inbox<Report>,
    ) -> Self {
        Self {
            host,
            entries: Vec::new(),
            spawner,
            peers,
            control,
            streams: HashMap::new(),
        }
    }

    /// Sets the other live entries, which share the targets with this one, and opens and closes
    /// streams accordingly.
    pub fn set_entries(&mut self, entries: Vec<HostName>, config: &Config) {
        self.entries = entries;
        self.configure(config);
    }

    /// Opens streams to the agents of the targets that this entry follows and closes all others.
    pub fn configure(&mut self, config: &Config) {
        let mut old = std::mem::take(&mut self.streams);
        let trees = config.teams().values().filter_map(|t| t.tree.as_deref());
        for pool in trees.flat_map(|tree| tree.pools.values()) {
            for target in followed_targets(&self.host, &self.entries, pool) {
                let agent = pool.targets[target].agent;
                if self.streams.contains_key(&agent) {
                    continue;
                }
                let stream = old.remove(&agent).unwrap_or_else(|| self.open(agent));
                self.streams.insert(agent, stream);
            }
        }
    }

    fn open(&self, agent: SocketAddr) -> Task {
        let peers = self.peers.clone();
        let control = self.control.clone();
        let (sender, reports) = flume::bounded(REPORT_QUEUE_CAPACITY);
        self.spawner.spawn(async move {
            let forward = async {
                while let Ok(report) = reports.recv_async().await {
                    if control.send_async(report).await.is_err() {
                        return;
                    }
                }
            };
            let receive = async {
                loop {
                    peers.reports(agent, REPORT_INTERVAL, sender.clone()).await;
                    sleep(REOPEN_DELAY).await;
                }
            };
            futures_util::future::select(Box::pin(forward), Box::pin(receive)).await;
        })
    }
}
