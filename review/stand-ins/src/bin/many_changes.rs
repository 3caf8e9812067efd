//! Sends hundreds of changes of a config with many routes, one after the other, and ends each process
//! that uses more memory than its machine has, as the platform does.
//!
//! Arguments: the folder of the case. `TROUBLE=0` sends the same config and a few changes.

use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_stand_ins::fleet::{Fleet, Role};
use review_stand_ins::http::request;
use review_stand_ins::record::Record;

/// Memory of a `core` machine of the site ramproute.
const MEMORY_MB: u64 = 256;
const REGISTRIES: u8 = 5;
/// Two edge machines stand for the nine of the site; they don't matter here.
const GATEWAYS: u8 = 2;

/// Routes that one `big_config` adds, and the number of these.
const GROWTH_ROUTES: usize = 350;
const GROWTHS: usize = 12;

/// Changes after the growth: "a day may contain hundreds of changes".
const CHANGES_MAX: usize = 900;
const CHANGES_WITHOUT_TROUBLE: usize = 20;

/// Time between two changes, as in the site's `config_storm`.
const CHANGE_INTERVAL: Duration = Duration::from_millis(80);

/// End of the changes after the start.
const CHANGES_END_S: f64 = 105.0;

/// Delay of a restart by the platform.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Ends by itself of one process that break the rule, and the part of the core on which they do.
const ENDS_MAX: usize = 3;
const MACHINES_WITH_ENDS: usize = 3;

/// A client waits this long for the answer to a large body before it turns to another machine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

fn config(version: u64, routes: usize, timeout_ms: u64) -> String {
    let route = |number: usize| {
        format!(
            r#"{{"name":"r-{number:06}","hostname":"ficu95.example","path_prefix":"/pufi{number:06}/","kind":"safe","timeout_ms":{timeout},"target_latency_ms":300,"priority":2,"service":"xano55b","max_attempts":2,"public":false,"sticky":false,"resumable":false,"gap_aim_ms":0}}"#,
            timeout = if number == 0 { timeout_ms } else { 1_000 }
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"xano55b","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// Processes under the eyes of the platform.
struct Platform<'a> {
    ends: Vec<usize>,
    fleet: Fleet,
    peak_mb: Vec<u64>,
    record: &'a Record,
    restarts: Vec<(usize, Instant)>,
}

impl Platform<'_> {
    /// Ends processes over their limit, and restarts those that have ended.
    fn check(&mut self) {
        for at in 0..self.fleet.len() {
            if self.fleet.role(at) == Role::Registry
                && let Some(resident_mb) = self.fleet.resident_mb(at)
            {
                self.peak_mb[at] = self.peak_mb[at].max(resident_mb);
                if resident_mb > MEMORY_MB {
                    self.fleet.kill(at);
                    self.end(at, &format!("memory over the limit, {resident_mb} MB"));
                }
            }
            if let Some(status) = self.fleet.take_exit(at) {
                self.end(at, &format!("exit, {status}"));
            }
        }
        let due: Vec<usize> = self
            .restarts
            .iter()
            .filter(|due| due.1 <= Instant::now())
            .map(|due| due.0)
            .collect();
        self.restarts.retain(|waiting| !due.contains(&waiting.0));
        for at in due {
            self.fleet.start(at, false);
            self.record
                .line(&format!("{} started again", self.fleet.name(at)));
        }
    }

    fn end(&mut self, at: usize, reason: &str) {
        self.ends[at] += 1;
        self.restarts.push((at, Instant::now() + RESTART_DELAY));
        self.record.line(&format!(
            "{} ended by itself: {reason}",
            self.fleet.name(at)
        ));
    }

    fn wait(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            self.check();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            sleep(left.min(Duration::from_millis(20)));
        }
    }

    /// Sends an order to one registry after the other until it is acknowledged; returns whether it was
    /// before the end.
    fn order(&mut self, version: u64, body: &str, first: usize) -> bool {
        for attempt in 0.. {
            self.check();
            if self.record.elapsed_s() > CHANGES_END_S {
                break;
            }
            let at = (first + attempt) % usize::from(REGISTRIES);
            let sent = request(
                self.fleet.control_address(at),
                "PUT",
                "/gentiancleat/config",
                &[("Content-Type", "application/json")],
                body.as_bytes(),
                ORDER_TIMEOUT,
            );
            match sent {
                Ok(response) if response.status == 200 => {
                    self.record.line(&format!(
                        "version {version} acknowledged by {}",
                        self.fleet.name(at)
                    ));
                    return true;
                }
                Ok(response) if response.status == 400 => {
                    self.record.line(&format!("version {version} refused"));
                    return false;
                }
                _ => self.wait(Duration::from_millis(200)),
            }
        }
        false
    }
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let mut fleet = Fleet::new(REGISTRIES, GATEWAYS, MEMORY_MB);
    fleet.start_all();
    let machines = fleet.len();
    let mut platform = Platform {
        ends: vec![0; machines],
        fleet,
        peak_mb: vec![0; machines],
        record: &record,
        restarts: Vec::new(),
    };
    platform.wait(Duration::from_secs(5));
    let mut version = 7;
    for growth in 0..=GROWTHS {
        let body = config(version, 8 + growth * GROWTH_ROUTES, 1_000);
        record.line(&format!("version {version} sent, {} bytes", body.len()));
        if !platform.order(version, &body, growth) {
            record.line("the config was not accepted");
            return ExitCode::from(2);
        }
        version += 2;
    }
    let changes = if has_trouble {
        CHANGES_MAX
    } else {
        CHANGES_WITHOUT_TROUBLE
    };
    let mut acknowledged = 0;
    for change in 0..changes {
        if record.elapsed_s() > CHANGES_END_S {
            break;
        }
        let sent_at = Instant::now();
        let timeout_ms = 1_000 + change as u64 % 7 * 100;
        let body = config(version, 8 + GROWTHS * GROWTH_ROUTES, timeout_ms);
        acknowledged += usize::from(platform.order(version, &body, change));
        version += 1 + change as u64 % 3;
        platform.wait(CHANGE_INTERVAL.saturating_sub(sent_at.elapsed()));
    }
    platform.wait(Duration::from_secs(2));
    let registries = 0..usize::from(REGISTRIES);
    for at in registries.clone() {
        record.line(&format!(
            "{}: {} ends by itself, at most {} MB",
            platform.fleet.name(at),
            platform.ends[at],
            platform.peak_mb[at]
        ));
    }
    let with_ends = registries
        .filter(|at| platform.ends[*at] >= ENDS_MAX)
        .count();
    let is_broken = with_ends >= MACHINES_WITH_ENDS;
    let verdict = format!(
        "{acknowledged} changes acknowledged; {with_ends} of {REGISTRIES} registries \
        ended by themselves {ENDS_MAX} times or more: the rule {}",
        if is_broken { "was broken" } else { "held" }
    );
    record.line(&verdict);
    println!("{verdict}");
    ExitCode::from(u8::from(is_broken))
}
