//! Generations that a call keeps while it seeks another one.

use entry::core::{FailurePoint, FinishReason, GenerationEvent, GenerationStatus};
use names::GenerationId;

use crate::simulation::{PendingReply, Simulation, Step};

/// Generation that the call keeps while it seeks another one.
#[derive(Debug, Clone, Copy)]
pub struct KeptGeneration {
    pub generation: GenerationId,
    pub pending: PendingReply,
    pub received_tokens: u32,
}

impl Simulation {
    pub fn is_kept(&self, generation: GenerationId) -> bool {
        self.kept.iter().any(|kept| kept.generation == generation)
    }

    pub fn keep(&mut self, generation: GenerationId) {
        assert_eq!(generation, self.current_generation());
        assert!(!self.is_reopening, "a resume of a kept generation is open");
        self.kept.push(KeptGeneration {
            generation,
            pending: self.pending,
            received_tokens: self.received_tokens,
        });
        self.reinstated = None;
        self.pending = PendingReply::None;
    }

    pub fn reinstate(&mut self, generation: GenerationId) {
        let kept = self.take_kept(generation);
        assert_eq!(
            usize::try_from(self.held_permits),
            Ok(self.kept.len() + 1),
            "a permit is held beside that of the reinstated generation"
        );
        self.pending = kept.pending;
        self.received_tokens = kept.received_tokens;
        self.reinstated = Some(generation);
        self.counts.reinstatements += 1;
    }

    /// Sends an event of a kept generation, which may answer or fail at any time.
    pub fn send_kept_event(&mut self, step: Step) {
        let position = usize::from(step.choice) % self.kept.len();
        let kept = &mut self.kept[position];
        let generation = kept.generation;
        let next_index = kept.received_tokens;
        let is_open = kept.pending == PendingReply::Stream;
        if !is_open && step.detail < 100 {
            kept.pending = PendingReply::Stream;
            self.mark_answered(generation);
            return self.handle(GenerationEvent::StreamOpened { generation });
        }
        if !is_open && next_index == 0 && step.detail < 180 {
            self.mark_not_run(generation);
            let event = match step.detail {
                100..130 => GenerationEvent::NotRun { generation },
                130..150 => {
                    self.may_have_run = true;
                    GenerationEvent::IdInUse { generation }
                }
                _ => GenerationEvent::ConnectionFailed {
                    generation,
                    point: FailurePoint::Connect,
                },
            };
            return self.handle(event);
        }
        if is_open && step.detail < 100 {
            kept.received_tokens += 1;
            let index = next_index;
            return self.handle(GenerationEvent::Token { generation, index });
        }
        self.mark_answered(generation);
        let reason = FinishReason::Stop;
        let (index, tokens) = (next_index + 1, next_index);
        self.handle(match step.detail {
            100..120 if is_open => GenerationEvent::GenerationEnded {
                generation,
                reason,
                tokens,
            },
            120..130 if is_open => GenerationEvent::Token { generation, index },
            0..180 => GenerationEvent::Status {
                generation,
                status: GenerationStatus::Running,
            },
            180..200 => GenerationEvent::GenerationNotFound { generation },
            200..220 => GenerationEvent::MalformedResponse { generation },
            220..240 => GenerationEvent::Rejected {
                generation,
                status: 400,
            },
            _ => GenerationEvent::ConnectionFailed {
                generation,
                point: FailurePoint::Body,
            },
        });
    }

    pub fn take_kept(&mut self, generation: GenerationId) -> KeptGeneration {
        let position = self
            .kept
            .iter()
            .position(|kept| kept.generation == generation)
            .expect("the generation is kept");
        self.kept.remove(position)
    }
}
