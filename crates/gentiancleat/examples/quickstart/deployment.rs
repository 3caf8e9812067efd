//! Starts the instances and fake endpoints of the quickstart.

use std::error::Error;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use fakes::engine::EngineSettings;
use fakes::http::{
    AnnouncementSettings, BookingServer, BookingSettings, EngineServer, EngineServerSettings,
    GenerationLength,
};
use names::{DataCentreName, InstanceName, RegionName};
use node::{Access, Node, Peer, Settings};
use protocol::FleetKey;
use session::Role;
use telemetry::{LOG_LINES_PER_SECOND_DEFAULT, LogLevel, logger};
use tempfile::TempDir;

/// Length of each generation, in tokens.
const GENERATION_TOKENS: u32 = 40;

const INSTANCES: [&str; 3] = ["plovdiv", "sofia", "tarnovo"];
const MODEL: &str = "advice";
const REGION: &str = "bulgaria";
const SERVICE: &str = "booking";

/// Running deployment: three instances, two fake engines and a fake booking service.
pub struct Deployment {
    pub booking: BookingServer,
    pub nodes: Vec<Node>,
    _engines: Vec<EngineServer>,
    _folder: TempDir,
}

impl Deployment {
    /// Starts all parts on loopback, with temporary data folders.
    pub async fn open() -> Result<Self, Box<dyn Error>> {
        let folder = TempDir::new()?;
        let peers = peers()?;
        let mut nodes = Vec::new();
        for peer in &peers {
            nodes.push(Node::open(instance_settings(&folder, peer, &peers)?).await?);
        }
        let addresses: Vec<SocketAddr> =
            nodes.iter().map(|node| node.addresses().endpoint).collect();
        let mut engines = Vec::new();
        for name in ["engine-1", "engine-2"] {
            engines.push(EngineServer::spawn(engine_settings(name, &addresses)).await?);
        }
        Ok(Self {
            _engines: engines,
            _folder: folder,
            booking: BookingServer::spawn(booking_settings(&addresses)).await?,
            nodes,
        })
    }
}

fn loopback_any_port() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

fn booking_settings(instances: &[SocketAddr]) -> BookingSettings {
    BookingSettings {
        address: loopback_any_port(),
        announcement: announcement_settings("booking-1", instances),
        call_ms: 5,
        calls_max: 64,
        service: SERVICE.to_owned(),
    }
}

fn engine_settings(name: &str, instances: &[SocketAddr]) -> EngineServerSettings {
    EngineServerSettings {
        address: loopback_any_port(),
        announcement: announcement_settings(name, instances),
        checks_fencing: true,
        engine: EngineSettings::default(),
        length: GenerationLength::Fixed(GENERATION_TOKENS),
        model: MODEL.to_owned(),
        report_lag_ms: 500,
        version: "1".to_owned(),
    }
}

/// Returns the instances, with inner addresses on ports that the kernel chose.
fn peers() -> Result<Vec<Peer>, Box<dyn Error>> {
    let listeners: Vec<TcpListener> = INSTANCES
        .iter()
        .map(|_| TcpListener::bind(loopback_any_port()))
        .collect::<Result<_, _>>()?;
    INSTANCES
        .iter()
        .zip(&listeners)
        .map(|(name, listener)| {
            Ok(Peer {
                address: listener.local_addr()?,
                name: InstanceName::new(name)?,
            })
        })
        .collect()
}

fn announcement_settings(name: &str, instances: &[SocketAddr]) -> AnnouncementSettings {
    AnnouncementSettings {
        data_centre: "plovdiv".to_owned(),
        incarnation: 1,
        instances: instances.to_vec(),
        name: name.to_owned(),
        region: REGION.to_owned(),
    }
}

fn instance_settings(
    folder: &TempDir,
    instance: &Peer,
    peers: &[Peer],
) -> Result<Settings, Box<dyn Error>> {
    let level: LogLevel = "error".parse()?;
    Ok(Settings {
        access: Access::Insecure,
        admin_address: loopback_any_port(),
        client_address: loopback_any_port(),
        data_centre: DataCentreName::new(instance.name.as_str())?,
        data_folder: Some(folder.path().join(instance.name.as_str())),
        drain_wait_ms: 0,
        endpoint_address: loopback_any_port(),
        fleet_key: FleetKey::new(b"quickstart"),
        inner_address: instance.address,
        inner_advertised: None,
        log: logger(level, LOG_LINES_PER_SECOND_DEFAULT),
        name: instance.name.clone(),
        peers: peers.to_vec(),
        region: RegionName::new(REGION)?,
        roles: vec![Role::Control, Role::Dispatch, Role::Entry],
        shards_per_offer: 1,
        voters: peers.iter().map(|peer| peer.name.clone()).collect(),
    })
}
