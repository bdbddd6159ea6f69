//! Stand-ins alone, for real entry VM processes to run against.

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

/// Port for callers of each listed VM.
const CALLER_PORT: u16 = 8080;
/// Port for peers of each listed VM.
const PEER_PORT: u16 = 8081;

/// Runs the stand-ins until the process is ended.
///
/// # Errors
///
/// Where an address can't be listened at.
pub fn run(flags: &StandinFlags) -> Result<()> {
    let deployment: Deployment = flags.deployment.into();
    let mut first = flags.listen;
    if first.port() != 0 {
        first.set_port(first.port() + 1);
    }
    let settings = Settings {
        deployment,
        listen: first,
        service_time: SERVICE_TIME,
        relays: 0,
        configure_engine: |_| {},
    };
    let vms: Vec<Vm> = (1..=flags.vms)
        .map(|number| vm(deployment, number))
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

fn vm(deployment: Deployment, number: u8) -> Vm {
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
