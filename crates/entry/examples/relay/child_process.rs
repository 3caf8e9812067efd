use std::env;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{self, Command, Stdio};

/// Unit of the CPU times in `/proc/[pid]/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Process of this program in another role; killed when dropped.
pub struct ChildProcess {
    pub address: SocketAddr,
    process: process::Child,
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Errors are ignored: the process has ended already or ends now.
        drop(self.process.kill());
        drop(self.process.wait());
    }
}

impl ChildProcess {
    /// CPU time used so far.
    pub fn cpu_time_s(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id())).unwrap();
        let (_, fields) = stat.rsplit_once(") ").unwrap();
        let ticks = fields.split(' ').skip(11).take(2);
        ticks
            .map(|ticks| ticks.parse::<f64>().unwrap())
            .sum::<f64>()
            / TICKS_PER_SECOND
    }

    /// Resident memory.
    pub fn resident_kib(&self) -> i64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        line.unwrap()
            .split_whitespace()
            .nth(1)
            .unwrap()
            .parse()
            .unwrap()
    }

    /// Starts the role named by `arguments` and waits until it prints its address.
    pub fn start(arguments: &[&str]) -> Self {
        let mut process = Command::new(env::current_exe().unwrap())
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = process.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        Self {
            address: line.trim().parse().unwrap(),
            process,
        }
    }
}
