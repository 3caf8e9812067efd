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

use crate::http_client::HttpClient;
use crate::proxy::TcpProxy;

const EXIT_POLL_MS: u64 = 50;
const EXIT_POLLS_MAX: usize = 2_400;

/// Number of instances in a fleet, and how they are spread over regions.
#[derive(Debug, Clone, Copy)]
pub struct FleetLayout {
    /// Number of instances.
    pub instances: usize,
    /// Number of regions; instances are assigned to them in turn.
    pub regions: usize,
    /// Number of voters: the first instances, each with a data folder.
    pub voters: usize,
}

/// Instances that run as local processes; dropping the fleet kills them.
#[derive(Debug)]
pub struct Fleet {
    binary: PathBuf,
    folder: TempDir,
    /// The instances; methods address an instance by its position here.
    pub instances: Vec<Instance>,
}

/// One instance of a fleet; its process may be running or not.
#[derive(Debug)]
pub struct Instance {
    /// Address of the operators' interface.
    pub admin_address: SocketAddr,
    /// Address of the clients' interface.
    pub client_address: SocketAddr,
    /// Address to which endpoints announce themselves.
    pub endpoint_address: SocketAddr,
    inner_address: SocketAddr,
    /// Whether the instance is a voter and has a data folder.
    pub is_voter: bool,
    /// Name in the roster, in flags and in file names.
    pub name: String,
    process: Option<Child>,
    /// Proxy through which all other instances reach this one.
    pub proxy: TcpProxy,
    /// Region in which the instance runs.
    pub region: String,
}

impl Fleet {
    /// Starts all instances of `layout` from the executable `binary`.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started or a port cannot be bound.
    pub async fn start(binary: &Path, layout: FleetLayout) -> Self {
        let mut ports = ReservedPorts::new(unused_ip());
        let mut instances = Vec::new();
        for number in 0..layout.instances {
            let instance = Instance::new(number, layout, &mut ports).await;
            instances.push(instance.expect("free ports"));
        }
        drop(ports);
        let mut fleet = Self {
            binary: binary.to_owned(),
            folder: TempDir::new().expect("a temporary folder"),
            instances,
        };
        for number in 0..layout.instances {
            fleet.start_instance(number);
        }
        fleet
    }

    /// Drains an instance and returns its exit code.
    ///
    /// Kills the instance and returns none if it has not exited after two minutes.
    ///
    /// # Panics
    ///
    /// Panics if the instance is not running.
    pub async fn drain(&mut self, number: usize) -> Option<i32> {
        let admin_address = self.instances[number].admin_address;
        let http = HttpClient::new("operator");
        http.send(Method::POST, admin_address, "/v1/drain", &[], "")
            .await;
        let mut process = self.instances[number]
            .process
            .take()
            .expect("the instance is running");
        for _ in 0..EXIT_POLLS_MAX {
            if let Some(status) = process
                .try_wait()
                .expect("child processes can be waited for")
            {
                return status.code();
            }
            sleep(Duration::from_millis(EXIT_POLL_MS)).await;
        }
        process.kill().expect("child processes can be killed");
        process.wait().expect("child processes can be waited for");
        None
    }

    /// Addresses to which endpoints announce themselves, one of each instance.
    #[must_use]
    pub fn endpoint_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.endpoint_address).collect()
    }

    /// Temporary folder with the logs and data of all instances.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps the temporary folder when the fleet is dropped.
    pub fn keep_folder(&mut self) {
        self.folder.disable_cleanup(true);
    }

    /// Kills an instance with SIGKILL.
    ///
    /// # Panics
    ///
    /// Panics if the instance is not running.
    pub fn kill(&mut self, number: usize) {
        let mut process = self.instances[number]
            .process
            .take()
            .expect("the instance is running");
        process.kill().expect("child processes can be killed");
        process.wait().expect("child processes can be waited for");
    }

    /// Removes the data folder of a voter that is not running.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be removed or the instance has none.
    pub fn remove_data(&self, number: usize) -> io::Result<()> {
        fs::remove_dir_all(self.folder.path().join(&self.instances[number].name))
    }

    /// Suspends an instance with SIGSTOP, or resumes it with SIGCONT.
    ///
    /// # Panics
    ///
    /// Panics if the instance is not running.
    pub fn set_suspended(&self, number: usize, is_suspended: bool) {
        let process = self.instances[number].process.as_ref();
        let pid = Pid::from_child(process.expect("the instance is running"));
        let signal = if is_suspended {
            Signal::STOP
        } else {
            Signal::CONT
        };
        kill_process(pid, signal).expect("child processes accept signals");
    }

    /// Starts the process of an instance that is not running.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    pub fn start_instance(&mut self, number: usize) {
        let peers: Vec<String> = self.instances.iter().map(Instance::peer_argument).collect();
        let voters: Vec<&str> = self
            .instances
            .iter()
            .filter(|instance| instance.is_voter)
            .map(|instance| instance.name.as_str())
            .collect();
        let instance = &self.instances[number];
        let process = instance
            .spawn(
                &self.binary,
                self.folder.path(),
                &peers.join(","),
                &voters.join(","),
            )
            .expect("the executable starts");
        self.instances[number].process = Some(process);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.instances.iter_mut().filter_map(|i| i.process.as_mut()) {
            // Fails if the process has already exited.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Instance {
    async fn new(
        number: usize,
        layout: FleetLayout,
        ports: &mut ReservedPorts,
    ) -> io::Result<Self> {
        let inner_address = ports.reserve()?;
        Ok(Self {
            admin_address: ports.reserve()?,
            client_address: ports.reserve()?,
            endpoint_address: ports.reserve()?,
            inner_address,
            is_voter: number < layout.voters,
            name: format!("instance-{number}"),
            process: None,
            proxy: TcpProxy::bind(SocketAddr::new(ports.ip, 0), inner_address).await?,
            region: format!("region-{}", number % layout.regions),
        })
    }

    /// Whether the process was started and not stopped since.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Process ID, or none while the instance is not running.
    #[must_use]
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// The instance as an element of the flag `--peers`.
    fn peer_argument(&self) -> String {
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
            .args(["--admin-address", &self.admin_address.to_string()])
            .args(["--caller-address", &self.client_address.to_string()])
            .args(["--endpoint-address", &self.endpoint_address.to_string()])
            .args(["--inner-address", &self.inner_address.to_string()])
            .args(["--inner-advertised", &self.proxy.address().to_string()])
            .args(["--peers", peers])
            .args(["--voters", voters])
            .args(["--insecure", "yes"])
            .args(["--drain-wait-ms", "200"])
            .args(["--log-level", "info"])
            .stdin(Stdio::null())
            .stderr(log);
        if self.is_voter {
            command.arg("--data").arg(folder.join(&self.name));
        }
        command.spawn()
    }
}

/// Ports that the kernel chose, kept bound until all are chosen so that none is chosen twice.
///
/// No other process uses `ip`, so the ports stay free after this value is dropped.
struct ReservedPorts {
    ip: IpAddr,
    listeners: Vec<TcpListener>,
}

impl ReservedPorts {
    fn new(ip: IpAddr) -> Self {
        Self {
            ip,
            listeners: Vec::new(),
        }
    }

    fn reserve(&mut self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.ip, 0))?;
        let address = listener.local_addr()?;
        self.listeners.push(listener);
        Ok(address)
    }
}

/// Returns a loopback address for one fleet, so that other processes' connections use none of
/// its ports.
fn unused_ip() -> IpAddr {
    static NEXT_FLEET: AtomicU8 = AtomicU8::new(2);
    let [.., high, low] = std::process::id().to_be_bytes();
    let fleet = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, high, low, fleet))
}
