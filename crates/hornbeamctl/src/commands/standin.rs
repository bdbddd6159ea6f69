//! Runs the stand-ins on their own, for separate entry VM processes to connect to.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use error_stack::ResultExt as _;
use hornbeamtiller_standin::control;
use hornbeamtiller_standin::deployment::{Deployment, SERVICE_TIME};
use hornbeamtiller_standin::fixture::{Fixture, Settings};
use hornbeamtiller_standin::platform::Vm;

use crate::cli::StandinFlags;
use crate::error::{Error, Result};

/// Caller port of each listed VM.
const CALLER_PORT: u16 = 8080;
/// Peer port of each listed VM.
const PEER_PORT: u16 = 8081;

/// Runs the stand-ins until the process is terminated.
///
/// # Errors
///
/// [`Error::Start`] if a listener can't be bound, [`Error::Runtime`] if the runtime can't be
/// created.
pub fn run(flags: &StandinFlags) -> Result<()> {
    let deployment: Deployment = flags.deployment.into();
    let mut platform_listen = flags.listen;
    if platform_listen.port() != 0 {
        platform_listen.set_port(platform_listen.port() + 1);
    }
    let settings = Settings {
        deployment,
        listen: platform_listen,
        service_time: SERVICE_TIME,
        relays: 0,
        configure_engine: |_| {},
    };
    let vms: Vec<Vm> = (1..=flags.vms)
        .map(|number| listed_vm(deployment, number))
        .collect();
    crate::block_on(async move {
        let fixture = Fixture::open(&settings).change_context(Error::Start("the stand-ins"))?;
        fixture.store().set_vms(vms);
        let fixture = Rc::new(fixture);
        let control = control::bind(flags.listen, fixture.clone())
            .change_context(Error::Start("the control listener"))?;
        println!("control at {}", control.address());
        println!("platform at {}", fixture.platform_address());
        for (runner, address) in fixture.runners() {
            println!(
                "{} {} at {address} in {}",
                runner.endpoint, runner.id, runner.zone
            );
        }
        loop {
            monoio::time::sleep(Duration::from_secs(3600)).await;
        }
    })
}

fn listed_vm(deployment: Deployment, number: u8) -> Vm {
    let zones = deployment.zones();
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, number));
    Vm {
        id: u32::from(number),
        zone: zones[usize::from(number - 1) % zones.len()].to_owned(),
        caller: SocketAddr::new(ip, CALLER_PORT),
        peer: SocketAddr::new(ip, PEER_PORT),
        leaving: false,
    }
}
