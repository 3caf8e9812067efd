//! Commits a second and recovery time of the journal: `commit_rate FOLDER`.

use std::env;
use std::path::Path;
use std::time::{Duration, Instant};

use journal::{EntryRecord, Journal, JournalSettings, Record};

const COMMAND_BYTES: usize = 200;
const MEASURED: Duration = Duration::from_secs(2);
const RECOVERY_LENGTHS: [u64; 4] = [1_000, 10_000, 100_000, 400_000];

fn entry(index: u64) -> Record {
    Record::Entry(EntryRecord {
        group: 1,
        index,
        payload: vec![7; COMMAND_BYTES],
        term: 1,
    })
}

fn open(folder: &Path) -> Journal {
    let opened = Journal::open(folder, JournalSettings::new("bench"));
    opened.expect("folder can be opened").journal
}

fn measure_commits(folder: &Path, batch: u64) {
    let mut journal = open(folder);
    let mut latencies = Vec::new();
    let start = Instant::now();
    let mut index = 0;
    while start.elapsed() < MEASURED {
        let before = Instant::now();
        for _ in 0..batch {
            index += 1;
            journal.append(entry(index));
        }
        journal.sync().expect("disk works");
        latencies.push(before.elapsed());
    }
    let elapsed_ms = start.elapsed().as_millis();
    latencies.sort_unstable();
    println!(
        "batch={batch} commits_per_s={} sync_p50_us={} sync_p99_us={}",
        u128::from(index) * 1_000 / elapsed_ms,
        latencies[latencies.len() / 2].as_micros(),
        latencies[latencies.len() * 99 / 100].as_micros(),
    );
}

fn measure_recovery(folder: &Path, length: u64) {
    let mut journal = open(folder);
    for index in 1..=length {
        journal.append(entry(index));
        if index % 256 == 0 {
            journal.sync().expect("disk works");
        }
    }
    journal.sync().expect("disk works");
    drop(journal);
    let start = Instant::now();
    let opened =
        Journal::open(folder, JournalSettings::new("bench")).expect("folder can be opened");
    let recovered = opened.groups[0].entries.len();
    println!(
        "recovered_entries={recovered} recovery_ms={}",
        start.elapsed().as_millis()
    );
}

fn main() {
    let folder = env::args().nth(1).expect("usage: commit_rate FOLDER");
    let folder = Path::new(&folder);
    for shift in 0..=8 {
        let batch = 1 << shift;
        measure_commits(&folder.join(format!("batch-{batch}")), batch);
    }
    for length in RECOVERY_LENGTHS {
        measure_recovery(&folder.join(format!("recovery-{length}")), length);
    }
}
