//! What the duties share: ports, platform threads and access to other processes.

use std::sync::Arc;

use sardinepath_adapters::rpc::client::Peers;
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
use crate::entry::platform::Platform;
use crate::entry::platform::PlatformBusy;

/// Ports that the duties call on the platform threads.
#[derive(Clone)]
pub struct Ports {
    /// Clocks of the host.
    pub clock: Arc<dyn Clock>,
    /// The object API.
    pub objects: Arc<dyn ObjectPort>,
    /// The interface for usage reports, if the settings name one.
    pub usage: Option<Arc<dyn UsagePort>>,
    /// The interface for target orders, if the settings name one.
    pub orders: Option<Arc<dyn OrderPort>>,
    /// The weight store, if the settings name one.
    pub weights: Option<Arc<dyn WeightPort>>,
}

/// What the duties share.
pub struct Context {
    /// Ports of the platform.
    pub ports: Ports,
    /// Starts tasks on the traffic threads.
    pub spawner: Spawner,
    /// Connections to other processes.
    pub peers: Arc<Peers>,
    /// Queue of the control thread.
    pub control: Inbox<DutyMessage>,
    /// Threads for lease calls only, so that a silent interface does not delay renewals.
    pub leases: Platform<DutyMessage>,
    /// Threads for all other calls.
    pub calls: Platform<DutyMessage>,
    /// Metrics of the duties.
    pub metrics: DutyMetrics,
    /// Calls of the duties that have not been answered.
    pub running: usize,
}

impl Ports {
    /// Sends a report if the permit allows it at the last step before the write.
    pub fn report(&self, report: &UsageReport, permit: Permit) -> Result<(), UsageError> {
        let Some(usage) = &self.usage else {
            let reason = "the settings name no usage interface".to_owned();
            return Err(UsageError::Unavailable(reason));
        };
        usage.report_if(report, &|| permit.allows(self.clock.now()))
    }
}

impl Ports {
    /// Sends an order if the permit allows it. The connection is opened first, so that the check
    /// is the last step before the write.
    pub fn order(&self, order: &TargetOrder, permit: Permit) -> Result<(), OrderError> {
        let orders = self.orders()?;
        orders.prepare()?;
        if !permit.allows(self.clock.now()) {
            return Err(OrderError::Unavailable("the lease has ended".to_owned()));
        }
        orders.send(order)
    }

    /// Reads the states of the targets of a data centre.
    pub fn states(&self, centre: &CentreName) -> Result<Vec<TargetState>, OrderError> {
        self.orders()?.states(centre)
    }

    /// Asks the weight store for the latest version of a model.
    pub fn latest(&self, model: &ModelName) -> Result<WeightVersion, String> {
        let weights = self.weights.as_ref();
        weights
            .ok_or("the settings name no weight store")?
            .latest(model)
    }

    fn orders(&self) -> Result<&dyn OrderPort, OrderError> {
        let reason = || OrderError::Unavailable("the settings name no order interface".to_owned());
        self.orders.as_deref().ok_or_else(reason)
    }
}

impl Context {
    /// Makes a call on a platform thread. The message with its result ends the call.
    pub fn call(
        &mut self,
        job: impl FnOnce(&Ports) -> DutyMessage + Send + 'static,
    ) -> Result<(), PlatformBusy> {
        let ports = self.ports.clone();
        self.calls.call(move || Some(job(&ports)))?;
        self.running += 1;
        Ok(())
    }
}
