//! Claims under random sequences of commands, compared with a reference model.

mod common;

use std::collections::HashMap;

use claims::{
    Answer, Attempt, ClaimAnswer, ClaimKey, ClaimLimits, Claims, Command, SettleAnswer,
    StoredOutcome,
};
use common::{ClaimsHarness, attempt, claimant, digest, key, outcome};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const CLAIMS_MAX: usize = 5;
const RETENTION_MS: u64 = 1_000;

#[derive(Clone, Debug)]
enum Step {
    Command(Command),
    Resend(u8),
    SnapshotAndRestore,
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |bound: u8| u8::arbitrary(g) % bound;
        let attempt = attempt(below(3), u64::from(1 + below(2)), u64::from(below(3)));
        let key = key("center", &format!("k{}", below(7)));
        let body = format!("body-{}", u8::from(below(6) == 0));
        let digest = digest(&body);
        match below(20) {
            0 => Self::SnapshotAndRestore,
            1 => Self::Wait(u64::from(below(200)) * 10),
            2 => {
                let claimant = claimant(below(3), u64::from(1 + below(2)));
                Self::Command(Command::Abandon { claimant })
            }
            3..=5 => Self::Resend(below(255)),
            6..=8 => Self::Command(Command::Release { attempt, key }),
            9..=11 => {
                let outcome = outcome(&format!("seat-{}", below(50)));
                Self::Command(Command::Finish {
                    attempt,
                    key,
                    outcome,
                })
            }
            12 => Self::Command(Command::MarkUnknown { attempt, key }),
            _ => Self::Command(Command::Claim {
                attempt,
                digest,
                key,
            }),
        }
    }
}

/// State of a claim in the reference model, with the time of settling in milliseconds.
#[derive(Clone, Debug, PartialEq)]
enum State {
    Finished(StoredOutcome, u64),
    InProgress,
    Unknown(u64),
}

/// Reference model of the claims in its simplest form.
///
/// A fence lasts at least as long as the claims that its abandonment settled.
#[derive(Default)]
struct ReferenceClaims {
    claims: HashMap<String, (Attempt, claims::RequestDigest, State)>,
    fences: Vec<(claims::Claimant, u64)>,
}

impl ReferenceClaims {
    fn apply(&mut self, at_ms: u64, command: &Command) -> Answer {
        self.claims.retain(|_, (.., state)| match state {
            State::Finished(_, since_ms) | State::Unknown(since_ms) => {
                at_ms < *since_ms + RETENTION_MS
            }
            State::InProgress => true,
        });
        match command {
            Command::Abandon { claimant } => self.abandon(at_ms, claimant),
            Command::Claim {
                attempt,
                digest,
                key,
            } => Answer::Claim(self.claim(at_ms, attempt, *digest, key)),
            Command::Finish {
                attempt,
                key,
                outcome,
            } => Answer::Settle(self.finish(at_ms, attempt, key, outcome)),
            Command::MarkUnknown { attempt, key } => {
                let claim = self.claims.get_mut(&name(key));
                match claim {
                    Some((holder, _, state))
                        if holder == attempt && *state == State::InProgress =>
                    {
                        *state = State::Unknown(at_ms);
                        Answer::Settle(SettleAnswer::Recorded)
                    }
                    _ => Answer::Settle(SettleAnswer::NotHolder),
                }
            }
            Command::Release { attempt, key } => {
                let name = name(key);
                let is_holder = self.claims.get(&name).is_some_and(|(holder, _, state)| {
                    holder == attempt && *state == State::InProgress
                });
                if !is_holder {
                    return Answer::Settle(SettleAnswer::NotHolder);
                }
                self.claims.remove(&name);
                Answer::Settle(SettleAnswer::Recorded)
            }
        }
    }

    fn abandon(&mut self, at_ms: u64, claimant: &claims::Claimant) -> Answer {
        self.fences.push((claimant.clone(), at_ms));
        let mut abandoned = 0;
        for (attempt, _, state) in self.claims.values_mut() {
            let holder = &attempt.claimant;
            let is_abandoned =
                holder.instance == claimant.instance && holder.incarnation <= claimant.incarnation;
            if is_abandoned && *state == State::InProgress {
                *state = State::Unknown(at_ms);
                abandoned += 1;
            }
        }
        Answer::Abandon { claims: abandoned }
    }

    fn claim(
        &mut self,
        at_ms: u64,
        attempt: &Attempt,
        digest: claims::RequestDigest,
        key: &ClaimKey,
    ) -> ClaimAnswer {
        if let Some((holder, claimed_digest, state)) = self.claims.get(&name(key)) {
            return match state {
                _ if *claimed_digest != digest => ClaimAnswer::Mismatch,
                State::Finished(outcome, _) => ClaimAnswer::Finished(outcome.clone()),
                State::InProgress if holder == attempt => ClaimAnswer::Granted,
                State::InProgress => ClaimAnswer::InProgress,
                State::Unknown(_) => ClaimAnswer::Unknown,
            };
        }
        if self.is_fenced(at_ms, &attempt.claimant) {
            return ClaimAnswer::Fenced;
        }
        if self.claims.len() >= CLAIMS_MAX {
            return ClaimAnswer::Full {
                retry_after_ms: None,
            };
        }
        let state = State::InProgress;
        self.claims
            .insert(name(key), (attempt.clone(), digest, state));
        ClaimAnswer::Granted
    }

    fn finish(
        &mut self,
        at_ms: u64,
        attempt: &Attempt,
        key: &ClaimKey,
        outcome: &StoredOutcome,
    ) -> SettleAnswer {
        let claim = self.claims.get_mut(&name(key));
        let Some((_, _, state)) = claim.filter(|(holder, ..)| holder == attempt) else {
            return SettleAnswer::NotHolder;
        };
        if !matches!(state, State::Finished(..)) {
            *state = State::Finished(outcome.clone(), at_ms);
        }
        SettleAnswer::Recorded
    }

    /// A later abandonment of an earlier incarnation extends the fence of the instance.
    fn is_fenced(&self, at_ms: u64, claimant: &claims::Claimant) -> bool {
        let mut fence: Option<(u64, u64)> = None;
        for (fenced, since_ms) in &self.fences {
            if fenced.instance != claimant.instance {
                continue;
            }
            let current = fence.filter(|(_, until_ms)| since_ms < until_ms);
            let incarnation = current.map_or(0, |(incarnation, _)| incarnation);
            let incarnation = incarnation.max(fenced.incarnation.0);
            fence = Some((incarnation, since_ms + RETENTION_MS));
        }
        fence.is_some_and(|(incarnation, until_ms)| {
            at_ms < until_ms && claimant.incarnation.0 <= incarnation
        })
    }
}

fn name(key: &ClaimKey) -> String {
    key.idempotency_key.as_str().to_owned()
}

fn without_retry_time(answer: Answer) -> Answer {
    match answer {
        Answer::Claim(ClaimAnswer::Full { .. }) => Answer::Claim(ClaimAnswer::Full {
            retry_after_ms: None,
        }),
        answer => answer,
    }
}

/// Checks that a key is granted to a second attempt only after a release or the end of its retention.
#[derive(Default)]
struct GrantChecker {
    holders: HashMap<String, (Attempt, Option<u64>)>,
}

impl GrantChecker {
    fn record(&mut self, at_ms: u64, command: &Command, answer: &Answer) {
        match (command, answer) {
            (Command::Claim { attempt, key, .. }, Answer::Claim(ClaimAnswer::Granted)) => {
                if let Some((holder, settled_ms)) = self.holders.get(&name(key)) {
                    let is_retention_over = settled_ms.is_some_and(|ms| at_ms >= ms + RETENTION_MS);
                    assert!(
                        holder == attempt || is_retention_over,
                        "two attempts were granted one call"
                    );
                }
                self.holders.insert(name(key), (attempt.clone(), None));
            }
            (Command::Release { key, .. }, Answer::Settle(SettleAnswer::Recorded)) => {
                self.holders.remove(&name(key));
            }
            (
                Command::Finish { key, .. } | Command::MarkUnknown { key, .. },
                Answer::Settle(SettleAnswer::Recorded),
            ) => {
                let (_, settled_ms) = self.holders.get_mut(&name(key)).unwrap();
                settled_ms.get_or_insert(at_ms);
            }
            (Command::Abandon { claimant }, _) => {
                for (holder, settled_ms) in self.holders.values_mut() {
                    let process = &holder.claimant;
                    if process.instance == claimant.instance
                        && process.incarnation <= claimant.incarnation
                    {
                        settled_ms.get_or_insert(at_ms);
                    }
                }
            }
            _ => (),
        }
    }
}

fn limits() -> ClaimLimits {
    ClaimLimits {
        claims_max: CLAIMS_MAX,
        retention_ms: RETENTION_MS,
        ..ClaimLimits::default()
    }
}

fn run_steps(steps: &[Step], restores_snapshots: bool) -> Claims {
    let mut harness = ClaimsHarness::new(limits());
    let mut reference = ReferenceClaims::default();
    let mut grant_checker = GrantChecker::default();
    let mut sent_commands: Vec<Command> = Vec::new();
    for step in steps {
        let command = match step {
            Step::Command(command) => command.clone(),
            Step::Resend(n) if !sent_commands.is_empty() => {
                sent_commands[usize::from(*n) % sent_commands.len()].clone()
            }
            Step::SnapshotAndRestore if restores_snapshots => {
                harness.claims = Claims::restore(&harness.claims.snapshot()).unwrap();
                continue;
            }
            Step::Wait(ms) => {
                harness.at_ms += ms;
                continue;
            }
            Step::Resend(_) | Step::SnapshotAndRestore => continue,
        };
        let answer = harness.apply(&command);
        grant_checker.record(harness.at_ms, &command, &answer);
        let expected = reference.apply(harness.at_ms, &command);
        assert_eq!(without_retry_time(answer), expected, "{command:?}");
        sent_commands.push(command);
    }
    harness.claims
}

#[test]
fn no_call_is_granted_to_two_attempts_in_any_order_of_commands() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands over owned values"
    )]
    fn property(steps: Vec<Step>) -> bool {
        run_steps(&steps, true) == run_steps(&steps, false)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 9))
        .tests(1_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}
