//! All stand-ins of a deployment, running together on one thread.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;

use crate::deployment::{Deployment, Role, Runner};
use crate::engine::{self, Engine};
use crate::fault::Fault;
use crate::observed::Observed;
use crate::platform::{Platform, Store};
use crate::relay::{Impairment, Relay};
use crate::service::{Executions, Service};

/// Where stand-ins listen, one after the other.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    next: SocketAddr,
}

impl Addresses {
    /// Begins at an address; port 0 lets the system choose each port.
    pub fn from(first: SocketAddr) -> Self {
        Self { next: first }
    }

    /// Gives the next address.
    pub fn take(&mut self) -> SocketAddr {
        let address = self.next;
        if address.port() != 0 {
            self.next.set_port(address.port() + 1);
        }
        address
    }
}

/// Changes to how the stand-ins perform.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Which runners there are.
    pub deployment: Deployment,
    /// Where the first one listens.
    pub listen: SocketAddr,
    /// Time that a plain service takes for a call.
    pub service_time: Duration,
    /// Number of stretches of network to put before entry VMs' peer listeners.
    pub relays: u32,
    /// Changes engines before they start.
    pub configure_engine: fn(&mut engine::Settings),
}

/// A running deployment.
pub struct Fixture {
    deployment: Deployment,
    platform: Platform,
    engines: BTreeMap<String, Engine>,
    services: BTreeMap<String, Service>,
    runners: Vec<(Runner, SocketAddr)>,
    executions: Executions,
    relays: Vec<(Relay, Rc<Cell<SocketAddr>>)>,
}

impl Fixture {
    /// Starts all stand-ins and publishes the first ticket.
    ///
    /// # Errors
    ///
    /// The system's error where an address can't be listened at.
    pub fn open(settings: &Settings) -> io::Result<Self> {
        let mut addresses = Addresses::from(settings.listen);
        let platform = Platform::bind(addresses.take(), Store::default())?;
        let executions = Executions::default();
        let (mut engines, mut services, mut runners) =
            (BTreeMap::new(), BTreeMap::new(), Vec::new());
        for runner in settings.deployment.runners() {
            let address = addresses.take();
            let address = if runner.role == Role::Both {
                let service = Service::bind(
                    &runner.id,
                    address,
                    settings.service_time,
                    executions.clone(),
                )?;
                let address = service.address();
                services.insert(runner.id.clone(), service);
                address
            } else {
                let mut tuned = engine::Settings::new(runner.endpoint, &runner.id);
                (settings.configure_engine)(&mut tuned);
                let engine = Engine::bind(address, tuned)?;
                let address = engine.address();
                engines.insert(runner.id.clone(), engine);
                address
            };
            runners.push((runner, address));
        }
        platform
            .store()
            .publish(settings.deployment.items(&runners));
        let relays = open_relays(settings)?;
        Ok(Self {
            deployment: settings.deployment,
            platform,
            engines,
            services,
            runners,
            executions,
            relays,
        })
    }

    /// Which deployment it is.
    pub fn deployment(&self) -> Deployment {
        self.deployment
    }

    /// Where the platform listens.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// What the platform holds.
    pub fn store(&self) -> &Store {
        self.platform.store()
    }

    /// All runners and where they listen.
    pub fn runners(&self) -> &[(Runner, SocketAddr)] {
        &self.runners
    }

    /// Items of a ticket with all runners as they are.
    pub fn items(&self) -> Value {
        self.deployment.items(&self.runners)
    }

    /// Where the stretches of network listen; the first one is for VM 1.
    pub fn relay_addresses(&self) -> Vec<SocketAddr> {
        self.relays
            .iter()
            .map(|(relay, _)| relay.address())
            .collect()
    }

    /// Says where the stretch before a VM leads, or what passes on it; tells whether there is one.
    pub fn set_relay(
        &self,
        vm: u32,
        target: Option<SocketAddr>,
        impairment: Option<Impairment>,
    ) -> bool {
        let Some((relay, leads_to)) = (vm as usize)
            .checked_sub(1)
            .and_then(|at| self.relays.get(at))
        else {
            return false;
        };
        if let Some(target) = target {
            leads_to.set(target);
        }
        if let Some(impairment) = impairment {
            relay.set_impairment(impairment);
        }
        true
    }

    /// Puts a fault in force at a runner; tells whether there is such a runner.
    ///
    /// # Errors
    ///
    /// The system's error where the runner can't listen again after a crash.
    pub fn set_fault(&self, runner: &str, fault: Fault) -> io::Result<bool> {
        if let Some(engine) = self.engines.get(runner) {
            engine.set_fault(fault)?;
        } else if let Some(service) = self.services.get(runner) {
            service.set_fault(fault)?;
        } else {
            return Ok(false);
        }
        Ok(true)
    }

    /// What all of them saw.
    pub fn observed(&self) -> Observed {
        let mut observed = Observed {
            executions: self.executions.borrow().clone(),
            platform_calls: self.store().calls(),
            ..Observed::default()
        };
        self.engines
            .values()
            .for_each(|engine| observed.add(engine.observed()));
        for service in self.services.values() {
            let id = service.name().to_owned();
            let endpoint = self.deployment.service().to_owned();
            let requests = service.requests();
            observed.add(crate::observed::Runner {
                id,
                endpoint,
                requests,
                ..Default::default()
            });
        }
        observed
    }
}

fn open_relays(settings: &Settings) -> io::Result<Vec<(Relay, Rc<Cell<SocketAddr>>)>> {
    let any = SocketAddr::new(settings.listen.ip(), 0);
    (0..settings.relays)
        .map(|_| {
            let target = Rc::new(Cell::new(any));
            Ok((Relay::bind(any, target.clone())?, target))
        })
        .collect()
}
