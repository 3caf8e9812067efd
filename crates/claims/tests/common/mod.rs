//! Harness and builders for the tests of claims.
#![allow(dead_code, reason = "each test file uses its own part")]

use claims::{
    Answer, Attempt, ClaimAnswer, ClaimKey, ClaimLimits, Claimant, Claims, Command, IdempotencyKey,
    RequestDigest, SettleAnswer, StoredBody, StoredOutcome,
};
use names::{CLOCK_STEP_MS_MAX, CustomerName, Incarnation, InstanceName, LogIndex, RequestId};

/// Claims with a log index and a leader clock.
pub struct ClaimsHarness {
    pub at_ms: u64,
    pub claims: Claims,
    pub index: u64,
}

impl ClaimsHarness {
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            at_ms: 1_000,
            claims: Claims::new(limits),
            index: 0,
        }
    }

    /// Advances the time in steps that the clock of the claims counts in full.
    pub fn advance_time(&mut self, ms: u64) {
        let end_ms = self.at_ms + ms;
        while self.at_ms < end_ms {
            self.at_ms = end_ms.min(self.at_ms + CLOCK_STEP_MS_MAX);
            self.claims.advance(self.at_ms);
        }
    }

    pub fn apply(&mut self, command: &Command) -> Answer {
        self.index += 1;
        self.claims.apply(LogIndex(self.index), self.at_ms, command)
    }

    pub fn abandon(&mut self, claimant: Claimant) -> u64 {
        match self.apply(&Command::Abandon { claimant }) {
            Answer::Abandon { claims } => claims,
            answer => panic!("{answer:?}"),
        }
    }

    pub fn claim(&mut self, key: &ClaimKey, body: &str, attempt: &Attempt) -> ClaimAnswer {
        let command = Command::Claim {
            attempt: attempt.clone(),
            digest: digest(body),
            key: key.clone(),
        };
        match self.apply(&command) {
            Answer::Claim(answer) => answer,
            answer => panic!("{answer:?}"),
        }
    }

    pub fn finish(&mut self, key: &ClaimKey, attempt: &Attempt, body: &str) -> SettleAnswer {
        self.settle(&Command::Finish {
            attempt: attempt.clone(),
            key: key.clone(),
            outcome: outcome(body),
        })
    }

    pub fn mark_unknown(&mut self, key: &ClaimKey, attempt: &Attempt) -> SettleAnswer {
        self.settle(&Command::MarkUnknown {
            attempt: attempt.clone(),
            key: key.clone(),
        })
    }

    pub fn release(&mut self, key: &ClaimKey, attempt: &Attempt) -> SettleAnswer {
        self.settle(&Command::Release {
            attempt: attempt.clone(),
            key: key.clone(),
        })
    }

    fn settle(&mut self, command: &Command) -> SettleAnswer {
        match self.apply(command) {
            Answer::Settle(answer) => answer,
            answer => panic!("{answer:?}"),
        }
    }
}

pub fn attempt(instance: u8, incarnation: u64, request: u64) -> Attempt {
    Attempt {
        claimant: claimant(instance, incarnation),
        request: RequestId(request),
    }
}

pub fn claimant(instance: u8, incarnation: u64) -> Claimant {
    Claimant {
        incarnation: Incarnation(incarnation),
        instance: InstanceName::new(&format!("entry-{instance}")).unwrap(),
    }
}

pub fn digest(body: &str) -> RequestDigest {
    RequestDigest::of("POST", "/services/booking/seats", body.as_bytes())
}

pub fn key(customer: &str, idempotency_key: &str) -> ClaimKey {
    ClaimKey {
        customer: CustomerName::new(customer).unwrap(),
        idempotency_key: IdempotencyKey::new(idempotency_key).unwrap(),
    }
}

pub fn outcome(body: &str) -> StoredOutcome {
    StoredOutcome {
        body: StoredBody::Kept(body.as_bytes().to_vec()),
        headers: Vec::new(),
        status: 201,
    }
}
