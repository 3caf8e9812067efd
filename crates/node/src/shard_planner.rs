//! Assigns shards to owners while this instance is leader.

use std::sync::Arc;
use std::time::Duration;

use claims::Claimant;
use session::{AssignCommand, AssignmentAges, plan_reassignments, plan_unassigned};
use slog::{Logger, info, warn};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::proposer::Proposer;
use crate::published_state::PublishedState;
use crate::state::Command;
use crate::state_publisher::StatePublisher;

/// Time between two rounds of planning.
const PLAN_INTERVAL_MS: u64 = 100;

/// Task that assigns shards and abandons the claims of lost instances.
#[derive(Debug)]
pub(crate) struct ShardPlanner {
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) proposer: Arc<Proposer>,
    pub(crate) published: Arc<PublishedState>,
    pub(crate) state_publisher: Arc<StatePublisher>,
}

impl ShardPlanner {
    /// Plans until the task is dropped.
    pub(crate) async fn run(self) {
        let mut ages = AssignmentAges::default();
        loop {
            sleep(Duration::from_millis(PLAN_INTERVAL_MS)).await;
            let applied = self.published.lock().assignments.applied_index();
            ages.observe(self.clock.now_ms(), applied);
            if self.proposer.is_leader() {
                self.plan(&ages).await;
                self.abandon_lost_claims().await;
            }
        }
    }

    /// Ends the claims of lost incarnations; the outcome of their requests is unknown.
    async fn abandon_lost_claims(&self) {
        for claimant in self.lost_claimants() {
            info!(self.log, "abandoning claims"; "instance" => %claimant.instance, "incarnation" => claimant.incarnation.0);
            let command = claims::Command::Abandon { claimant };
            if let Err(error) = self.proposer.propose(&Command::Claim(command)).await {
                warn!(self.log, "claims not abandoned"; "error" => %error);
                return;
            }
        }
    }

    fn lost_claimants(&self) -> Vec<Claimant> {
        if !self.state_publisher.knows_all_members() {
            return Vec::new();
        }
        let claimants = self.proposer.claimants();
        let published = self.published.lock();
        let is_lost = |claimant: &Claimant| {
            published
                .roster
                .get(&claimant.instance)
                .is_none_or(|member| member.incarnation > claimant.incarnation)
        };
        claimants.into_iter().filter(is_lost).collect()
    }

    async fn plan(&self, ages: &AssignmentAges) {
        for command in self.commands(ages) {
            info!(self.log, "assigning shard"; "shard" => %command.shard, "owner" => %command.owner);
            if let Err(error) = self.proposer.propose(&Command::Assign(command)).await {
                warn!(self.log, "shard not assigned"; "error" => %error);
                return;
            }
        }
    }

    fn commands(&self, ages: &AssignmentAges) -> Vec<AssignCommand> {
        let unowned_shards = self.state_publisher.unowned_shards();
        let knows_all_members = self.state_publisher.knows_all_members();
        let published = self.published.lock();
        let mut commands =
            plan_unassigned(&published.roster, &published.assignments, &unowned_shards);
        if knows_all_members {
            commands.extend(plan_reassignments(
                &published.roster,
                &published.assignments,
                ages.aged_epoch(),
            ));
        }
        commands
    }
}
