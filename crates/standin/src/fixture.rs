//! All stand-ins of a deployment, running on one thread.

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

/// Allocator of the addresses at which stand-ins listen: consecutive ports of one IP address.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    next: SocketAddr,
}

impl Addresses {
    /// Starts at an address; with port 0 the OS chooses each port.
    pub fn starting_at(first: SocketAddr) -> Self {
        Self { next: first }
    }

    /// Returns the next address.
    pub fn allocate(&mut self) -> SocketAddr {
        let address = self.next;
        if address.port() != 0 {
            self.next.set_port(address.port() + 1);
        }
        address
    }
}

/// Settings of the stand-ins.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Deployment whose runners are started.
    pub deployment: Deployment,
    /// Address of the first stand-in, the platform.
    pub listen: SocketAddr,
    /// Time that a plain service takes for a call.
    pub service_time: Duration,
    /// Number of entry VMs that get a TCP relay in front of their peer listener, from VM 1 on.
    pub relays: u32,
    /// Adjusts the settings of each engine before it starts.
    pub configure_engine: fn(&mut engine::Settings),
}

/// The running stand-ins of a deployment.
pub struct Fixture {
    deployment: Deployment,
    platform: Platform,
    engines: BTreeMap<String, Engine>,
    services: BTreeMap<String, Service>,
    runners: Vec<(Runner, SocketAddr)>,
    executions: Executions,
    /// Relays of the VMs from VM 1 on, each with the address that it forwards to.
    relays: Vec<(Relay, Rc<Cell<SocketAddr>>)>,
}

impl Fixture {
    /// Starts all stand-ins and publishes the first ticket.
    ///
    /// # Errors
    ///
    /// Returns the OS error if an address can't be bound.
    pub fn open(settings: &Settings) -> io::Result<Self> {
        let mut addresses = Addresses::starting_at(settings.listen);
        let platform = Platform::bind(addresses.allocate(), Store::default())?;
        let executions = Executions::default();
        let (mut engines, mut services, mut runners) =
            (BTreeMap::new(), BTreeMap::new(), Vec::new());
        for runner in settings.deployment.runners() {
            let address = addresses.allocate();
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
                let mut engine_settings = engine::Settings::new(runner.endpoint, &runner.id);
                (settings.configure_engine)(&mut engine_settings);
                let engine = Engine::bind(address, engine_settings)?;
                let address = engine.address();
                engines.insert(runner.id.clone(), engine);
                address
            };
            runners.push((runner, address));
        }
        platform
            .store()
            .publish(settings.deployment.ticket_items(&runners));
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

    /// Returns the deployment.
    pub fn deployment(&self) -> Deployment {
        self.deployment
    }

    /// Returns the address of the platform's configuration service.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Returns the data of the platform's configuration service.
    pub fn store(&self) -> &Store {
        self.platform.store()
    }

    /// Returns all runners and their addresses.
    pub fn runners(&self) -> &[(Runner, SocketAddr)] {
        &self.runners
    }

    /// Returns the items of a ticket that lists all runners.
    pub fn ticket_items(&self) -> Value {
        self.deployment.ticket_items(&self.runners)
    }

    /// Returns the addresses of the relays; the first one is for VM 1.
    pub fn relay_addresses(&self) -> Vec<SocketAddr> {
        self.relays
            .iter()
            .map(|(relay, _)| relay.address())
            .collect()
    }

    /// Sets the target or the impairment of a VM's relay; returns whether the VM has a relay.
    pub fn configure_relay(
        &self,
        vm: u32,
        target: Option<SocketAddr>,
        impairment: Option<Impairment>,
    ) -> bool {
        let Some((relay, relay_target)) = (vm as usize)
            .checked_sub(1)
            .and_then(|at| self.relays.get(at))
        else {
            return false;
        };
        if let Some(target) = target {
            relay_target.set(target);
        }
        if let Some(impairment) = impairment {
            relay.set_impairment(impairment);
        }
        true
    }

    /// Sets the fault of a runner; returns whether the runner exists.
    ///
    /// # Errors
    ///
    /// Returns the OS error if the runner's listener can't be bound again after a crash.
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

    /// Returns the counters of all stand-ins.
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
    let any_port = SocketAddr::new(settings.listen.ip(), 0);
    (0..settings.relays)
        .map(|_| {
            let target = Rc::new(Cell::new(any_port));
            Ok((Relay::bind(any_port, target.clone())?, target))
        })
        .collect()
}
