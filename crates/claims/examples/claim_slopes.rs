//! Measures memory, time and snapshot size by number of claims.
//!
//! Run with `cargo run --release -p claims --example claim_slopes -- CLAIMS`. Use one process per size,
//! since memory freed by an earlier size would distort the next result.

use std::fs;
use std::time::Instant;

use claims::{
    Answer, Attempt, ClaimAnswer, ClaimKey, ClaimLimits, Claimant, Claims, Command, IdempotencyKey,
    RequestDigest, StoredBody, StoredHeader, StoredOutcome,
};
use names::{CustomerName, Incarnation, InstanceName, LogIndex, RequestId};

const ABANDONED_CLAIMS: u64 = 1_000;
const BODY_BYTES: usize = 200;
const UNLIMITED: ClaimLimits = ClaimLimits {
    bytes_max: usize::MAX,
    claims_max: usize::MAX,
    customer_bytes_max: usize::MAX,
    retention_ms: 24 * 60 * 60 * 1000,
};
const CLAIMS_DEFAULT: u64 = 80_000;
const CUSTOMERS: u64 = 10;
const MEASURED_CLAIMS: u32 = 20_000;

struct ClaimsBenchmark {
    claims: Claims,
    index: u64,
}

impl ClaimsBenchmark {
    fn apply(&mut self, command: &Command) -> Answer {
        self.index += 1;
        self.claims.apply(LogIndex(self.index), self.index, command)
    }

    fn claim(&mut self, number: u64) {
        let answer = self.apply(&Command::Claim {
            attempt: attempt(number),
            digest: RequestDigest::of("POST", "/seats", &number.to_be_bytes()),
            key: key(number),
        });
        assert_eq!(answer, Answer::Claim(ClaimAnswer::Granted));
    }

    fn finish(&mut self, number: u64) {
        self.apply(&Command::Finish {
            attempt: attempt(number),
            key: key(number),
            outcome: outcome(),
        });
    }
}

fn attempt(number: u64) -> Attempt {
    Attempt {
        claimant: claimant(),
        request: RequestId(number),
    }
}

fn claimant() -> Claimant {
    Claimant {
        incarnation: Incarnation(1),
        instance: InstanceName::new("entry-1").expect("a name"),
    }
}

fn key(number: u64) -> ClaimKey {
    // The multiplication puts the keys in pseudo-random order, like those of real customers.
    let hashed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let customer = format!("customer-{}", number % CUSTOMERS);
    ClaimKey {
        customer: CustomerName::new(&customer).expect("a name"),
        idempotency_key: IdempotencyKey::new(&format!("{hashed:036x}")).expect("a key"),
    }
}

fn outcome() -> StoredOutcome {
    StoredOutcome {
        body: StoredBody::Kept(vec![b'x'; BODY_BYTES]),
        headers: vec![StoredHeader {
            name: "content-type".to_owned(),
            value: b"application/json".to_vec(),
        }],
        status: 201,
    }
}

/// Resident memory of this process.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("Linux has /proc/self/status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<usize>().ok())
        .expect("a number")
        * 1024
}

fn measure(claims: u64) {
    let before_bytes = resident_bytes();
    let mut benchmark = ClaimsBenchmark {
        claims: Claims::new(UNLIMITED),
        index: 0,
    };
    for number in 0..claims {
        benchmark.claim(number);
        benchmark.finish(number);
    }
    let claims_bytes = resident_bytes().saturating_sub(before_bytes);
    let counted_bytes = benchmark.claims.used_bytes();
    let started = Instant::now();
    let next_number = claims + u64::from(MEASURED_CLAIMS);
    for number in claims..next_number {
        benchmark.claim(number);
        benchmark.finish(number);
    }
    let pair_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(MEASURED_CLAIMS);
    println!(
        "claims={claims} memory_bytes_per_claim={} counted_bytes_per_claim={} \
         claim_and_finish_us={pair_us:.2}",
        claims_bytes as u64 / claims,
        counted_bytes as u64 / claims,
    );
    measure_abandon_and_snapshot(&mut benchmark, next_number);
}

fn measure_abandon_and_snapshot(benchmark: &mut ClaimsBenchmark, first: u64) {
    for number in first..first + ABANDONED_CLAIMS {
        benchmark.claim(number);
    }
    let started = Instant::now();
    let claimant = claimant();
    let answer = benchmark.apply(&Command::Abandon { claimant });
    let abandon_us = started.elapsed().as_secs_f64() * 1e6;
    assert_eq!(
        answer,
        Answer::Abandon {
            claims: ABANDONED_CLAIMS
        }
    );
    let started = Instant::now();
    let snapshot = benchmark.claims.snapshot();
    let snapshot_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    let restored = Claims::restore(&snapshot).expect("the snapshot decodes");
    let restore_ms = started.elapsed().as_secs_f64() * 1e3;
    assert!(
        restored == benchmark.claims,
        "the snapshot holds the whole state"
    );
    println!(
        "held={} abandon_{ABANDONED_CLAIMS}_us={abandon_us:.0} snapshot_bytes={} \
         snapshot_ms={snapshot_ms:.1} restore_ms={restore_ms:.1}",
        benchmark.claims.len(),
        snapshot.len(),
    );
}

fn main() {
    let claims = std::env::args().nth(1);
    let claims = claims.map(|text| text.parse().expect("a number of claims"));
    measure(claims.unwrap_or(CLAIMS_DEFAULT));
}
