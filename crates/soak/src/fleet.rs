use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use hyper::Method;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;
use tokio::time::sleep;

use crate::http::Http;
use crate::proxy::Proxy;

const LOOK_MS: u64 = 50;
const LOOKS_MAX: usize = 2_400;

/// How many instances, and how they are spread.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// Instances in all.
    pub instances: usize,
    /// Regions, filled in turn.
    pub regions: usize,
    /// Instances with a data folder, which vote.
    pub voters: usize,
}

/// Instances as processes with data folders of their own.
#[derive(Debug)]
pub struct Fleet {
    binary: PathBuf,
    folder: TempDir,
    /// The instances; their numbers are their positions.
    pub instances: Vec<Instance>,
}

/// One instance, running or not.
#[derive(Debug)]
pub struct Instance {
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Where callers connect.
    pub caller: SocketAddr,
    child: Option<Child>,
    /// Where endpoints connect.
    pub endpoint: SocketAddr,
    inner: SocketAddr,
    /// Its name.
    pub name: String,
    /// What stands between it and the others.
    pub proxy: Proxy,
    /// Its region.
    pub region: String,
    /// Whether it has a data folder.
    pub votes: bool,
}

impl Fleet {
    /// Starts all instances of a layout from the program `binary`.
    ///
    /// # Panics
    ///
    /// Panics if a process or a socket cannot be had.
    pub async fn start(binary: &Path, layout: Layout) -> Self {
        let mut ports = Ports::new(unused_ip());
        let mut instances = Vec::new();
        for number in 0..layout.instances {
            let instance = Instance::new(number, layout, &mut ports).await;
            instances.push(instance.expect("sockets"));
        }
        drop(ports);
        let mut fleet = Self {
            binary: binary.to_owned(),
            folder: TempDir::new().expect("a temporary folder"),
            instances,
        };
        for number in 0..layout.instances {
            fleet.restart(number);
        }
        fleet
    }

    /// Where endpoints connect, on all instances.
    #[must_use]
    pub fn endpoint_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.endpoint).collect()
    }

    /// Folder for logs and data.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps the folder when the fleet ends.
    pub fn keep_folder(&mut self) {
        self.folder.disable_cleanup(true);
    }

    /// Kills an instance without notice.
    ///
    /// # Panics
    ///
    /// Panics if it does not run.
    pub fn kill(&mut self, number: usize) {
        let mut child = self.instances[number].child.take().expect("it runs");
        child.kill().expect("own processes can be killed");
        child.wait().expect("own processes can be waited for");
    }

    /// Starts an instance that does not run.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    pub fn restart(&mut self, number: usize) {
        let peers: Vec<String> = self.instances.iter().map(Instance::peer).collect();
        let voters: Vec<&str> = self
            .instances
            .iter()
            .filter(|instance| instance.votes)
            .map(|instance| instance.name.as_str())
            .collect();
        let instance = &self.instances[number];
        let child = instance
            .spawn(
                &self.binary,
                self.folder.path(),
                &peers.join(","),
                &voters.join(","),
            )
            .expect("the program starts");
        self.instances[number].child = Some(child);
    }

    /// Freezes or thaws an instance.
    ///
    /// # Panics
    ///
    /// Panics if it does not run.
    pub fn set_frozen(&self, number: usize, frozen: bool) {
        let child = self.instances[number].child.as_ref().expect("it runs");
        let signal = if frozen { Signal::STOP } else { Signal::CONT };
        kill_process(Pid::from_child(child), signal).expect("own processes take signals");
    }

    /// Asks for a planned stop and waits for the exit code; none where it takes too long.
    ///
    /// # Panics
    ///
    /// Panics if it does not run.
    pub async fn stop(&mut self, number: usize) -> Option<i32> {
        let admin = self.instances[number].admin;
        let http = Http::new("operator");
        http.call(Method::POST, admin, "/v1/drain", &[], "").await;
        let mut child = self.instances[number].child.take().expect("it runs");
        for _ in 0..LOOKS_MAX {
            if let Some(status) = child.try_wait().expect("own processes can be waited for") {
                return status.code();
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
        child.kill().expect("own processes can be killed");
        child.wait().expect("own processes can be waited for");
        None
    }

    /// Removes the data folder of an instance that does not run.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be removed.
    pub fn wipe(&self, number: usize) -> io::Result<()> {
        fs::remove_dir_all(self.folder.path().join(&self.instances[number].name))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.instances.iter_mut().filter_map(|i| i.child.as_mut()) {
            // A process that has ended already needs no end.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Instance {
    async fn new(number: usize, layout: Layout, ports: &mut Ports) -> io::Result<Self> {
        let inner = ports.reserve()?;
        Ok(Self {
            admin: ports.reserve()?,
            caller: ports.reserve()?,
            child: None,
            endpoint: ports.reserve()?,
            inner,
            name: format!("instance-{number}"),
            proxy: Proxy::bind(SocketAddr::new(ports.ip, 0), inner).await?,
            region: format!("region-{}", number % layout.regions),
            votes: number < layout.voters,
        })
    }

    /// Number of its process, while it runs.
    #[must_use]
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether its process runs.
    #[must_use]
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    fn peer(&self) -> String {
        format!("{}={}", self.name, self.proxy.address())
    }

    fn spawn(&self, binary: &Path, folder: &Path, peers: &str, voters: &str) -> io::Result<Child> {
        let log = File::options()
            .append(true)
            .create(true)
            .open(folder.join(format!("{}.log", self.name)))?;
        let mut command = Command::new(binary);
        command
            .arg("serve")
            .args(["--name", &self.name])
            .args(["--region", &self.region])
            .args(["--data-centre", &format!("{}-1", self.region)])
            .args(["--admin-address", &self.admin.to_string()])
            .args(["--caller-address", &self.caller.to_string()])
            .args(["--endpoint-address", &self.endpoint.to_string()])
            .args(["--inner-address", &self.inner.to_string()])
            .args(["--inner-advertised", &self.proxy.address().to_string()])
            .args(["--peers", peers])
            .args(["--voters", voters])
            .args(["--insecure", "yes"])
            .args(["--drain-wait-ms", "200"])
            .args(["--log-level", "info"])
            .stdin(Stdio::null())
            .stderr(log);
        if self.votes {
            command.arg("--data").arg(folder.join(&self.name));
        }
        command.spawn()
    }
}

/// Ports that the kernel chose, held until all are chosen, so that none is chosen twice.
///
/// Nobody else uses the address, so they stay free afterwards.
struct Ports {
    held: Vec<TcpListener>,
    ip: IpAddr,
}

impl Ports {
    fn new(ip: IpAddr) -> Self {
        Self {
            held: Vec::new(),
            ip,
        }
    }

    fn reserve(&mut self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.ip, 0))?;
        let address = listener.local_addr()?;
        self.held.push(listener);
        Ok(address)
    }
}

/// A loopback address for one fleet; connections between others take no port of it.
fn unused_ip() -> IpAddr {
    static FLEETS: AtomicU8 = AtomicU8::new(2);
    let [.., high, low] = std::process::id().to_be_bytes();
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, high, low, fleet))
}
