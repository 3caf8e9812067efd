use std::env;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{self, Command, Stdio};

/// Clock ticks of processor time in a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Another process of this program; ends when dropped.
pub struct Child {
    pub address: SocketAddr,
    process: process::Child,
}

impl Drop for Child {
    fn drop(&mut self) {
        // The child has either ended already or ends now.
        drop(self.process.kill());
        drop(self.process.wait());
    }
}

impl Child {
    /// Processor time used so far.
    pub fn processor_s(&self) -> f64 {
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

    /// Starts a role and waits until it listens.
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
