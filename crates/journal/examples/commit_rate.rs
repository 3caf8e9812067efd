//! Measures commits per second and recovery time of the journal: `commit_rate FOLDER`.

use std::env;
use std::path::Path;
use std::time::{Duration, Instant};

use journal::{EntryRecord, Journal, JournalSettings, Record};

const MEASURED_TIME: Duration = Duration::from_secs(2);
const PAYLOAD_BYTES: usize = 200;
const RECOVERED_ENTRIES: [u64; 4] = [1_000, 10_000, 100_000, 400_000];

fn entry(index: u64) -> Record {
    Record::Entry(EntryRecord {
        group: 1,
        index,
        payload: vec![7; PAYLOAD_BYTES],
        term: 1,
    })
}

fn open(folder: &Path) -> Journal {
    let opened = Journal::open(folder, JournalSettings::new("bench"));
    opened.expect("folder can be opened").journal
}

fn measure_commits(folder: &Path, batch_records: u64) {
    let mut journal = open(folder);
    let mut batch_times = Vec::new();
    let start = Instant::now();
    let mut index = 0;
    while start.elapsed() < MEASURED_TIME {
        let batch_start = Instant::now();
        for _ in 0..batch_records {
            index += 1;
            journal.append(entry(index));
        }
        journal.sync().expect("disk works");
        batch_times.push(batch_start.elapsed());
    }
    let elapsed_ms = start.elapsed().as_millis();
    batch_times.sort_unstable();
    println!(
        "batch={batch_records} commits_per_s={} sync_p50_us={} sync_p99_us={}",
        u128::from(index) * 1_000 / elapsed_ms,
        batch_times[batch_times.len() / 2].as_micros(),
        batch_times[batch_times.len() * 99 / 100].as_micros(),
    );
}

fn measure_recovery(folder: &Path, entries: u64) {
    let mut journal = open(folder);
    for index in 1..=entries {
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
        let batch_records = 1 << shift;
        measure_commits(
            &folder.join(format!("batch-{batch_records}")),
            batch_records,
        );
    }
    for entries in RECOVERED_ENTRIES {
        measure_recovery(&folder.join(format!("recovery-{entries}")), entries);
    }
}
