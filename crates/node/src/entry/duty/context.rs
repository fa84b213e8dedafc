//! State that the duties share: ports, platform threads and access to other processes.

use std::sync::Arc;

use sardinepath_adapters::rpc::client::RpcClient;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_core::decision::lease::Permit;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::order::OrderError;
use sardinepath_core::port::order::OrderPort;
use sardinepath_core::port::order::TargetOrder;
use sardinepath_core::port::order::TargetState;
use sardinepath_core::port::usage::UsageError;
use sardinepath_core::port::usage::UsagePort;
use sardinepath_core::port::usage::UsageReport;
use sardinepath_core::port::weight::WeightPort;

use crate::entry::duty::DutyMessage;
use crate::entry::duty::metrics::DutyMetrics;
use crate::entry::inbox::Inbox;
use crate::entry::platform::PlatformPool;
use crate::entry::platform::QueueFull;

/// Ports that the duties call on the platform threads.
#[derive(Clone)]
pub struct Ports {
    /// Clocks of the host, for time intervals and for the time of day.
    pub clock: Arc<dyn Clock>,
    /// The object API.
    pub objects: Arc<dyn ObjectPort>,
    /// The interface for usage reports, if one is configured.
    pub usage: Option<Arc<dyn UsagePort>>,
    /// The interface for target orders, if one is configured.
    pub orders: Option<Arc<dyn OrderPort>>,
    /// The weight store, if one is configured.
    pub weights: Option<Arc<dyn WeightPort>>,
}

/// State that the duties share.
pub struct Context {
    /// Ports of the platform.
    pub ports: Ports,
    /// Starts tasks on the traffic threads.
    pub spawner: Spawner,
    /// Connections to other processes.
    pub peers: Arc<RpcClient>,
    /// Sender to the control thread.
    pub control: Inbox<DutyMessage>,
    /// Threads for lease calls only, so that an interface that does not answer cannot delay
    /// renewals.
    pub leases: PlatformPool<DutyMessage>,
    /// Threads for all other calls.
    pub calls: PlatformPool<DutyMessage>,
    /// Metrics of the duties.
    pub metrics: DutyMetrics,
    /// Number of calls of the duties that have not been answered.
    pub pending: usize,
}

impl Ports {
    /// Sends a usage report. The permit is checked as the last step before the write.
    pub fn report(&self, report: &UsageReport, permit: Permit) -> Result<(), UsageError> {
        let Some(usage) = &self.usage else {
            let reason = "no usage interface is configured".to_owned();
            return Err(UsageError::Unavailable(reason));
        };
        usage.report_if(report, &|| permit.allows(self.clock.now()))
    }
}

impl Ports {
    /// Sends an order. The connection is opened first, so that the check of the permit is the last
    /// step before the write.
    pub fn order(&self, order: &TargetOrder, permit: Permit) -> Result<(), OrderError> {
        let orders = self.orders()?;
        orders.prepare()?;
        if !permit.allows(self.clock.now()) {
            return Err(OrderError::Unavailable(
                "the lease expired before the order was sent".to_owned(),
            ));
        }
        orders.send(order)
    }

    /// Reads the states of the targets of a data centre.
    pub fn states(&self, centre: &CentreName) -> Result<Vec<TargetState>, OrderError> {
        self.orders()?.states(centre)
    }

    /// Returns the latest version of a model in the weight store, or a text with the cause of
    /// failure.
    pub fn latest(&self, model: &ModelName) -> Result<WeightVersion, String> {
        let weights = self.weights.as_ref();
        weights
            .ok_or("no weight store is configured")?
            .latest(model)
    }

    fn orders(&self) -> Result<&dyn OrderPort, OrderError> {
        let reason = || OrderError::Unavailable("no order interface is configured".to_owned());
        self.orders.as_deref().ok_or_else(reason)
    }
}

impl Context {
    /// Queues a call on a platform thread. It is pending until the message with its result is
    /// handled.
    pub fn call(
        &mut self,
        job: impl FnOnce(&Ports) -> DutyMessage + Send + 'static,
    ) -> Result<(), QueueFull> {
        let ports = self.ports.clone();
        self.calls.call(move || Some(job(&ports)))?;
        self.pending += 1;
        Ok(())
    }
}
