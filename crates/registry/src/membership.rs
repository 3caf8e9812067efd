use control::MembershipChangeRequest;
use names::InstanceName;

/// Members of the group and candidates for membership, as seen by the leader.
#[derive(Debug)]
pub struct GroupMembers {
    /// Whether the latest membership is committed.
    pub is_committed: bool,
    /// Instances that contacted the group without being members; a voter that lost its disk may be
    /// among them.
    pub non_members: Vec<InstanceName>,
    /// Voters, each with the time in ms since its last response.
    pub voters: Vec<(InstanceName, u64)>,
}

/// Next membership change towards a group of `voters_wanted` live voters, if one is due.
///
/// Every instance that contacts the group joins it. A voter is removed only while there are more
/// voters than wanted, and only if it has not responded for `silent_after_ms`. So a partitioned
/// group keeps all its voters, and a lost voter is replaced once its successor has all committed
/// entries.
#[must_use]
pub fn next_voter_change(
    members: &GroupMembers,
    voters_wanted: usize,
    silent_after_ms: u64,
) -> Option<MembershipChangeRequest> {
    if !members.is_committed {
        return None;
    }
    if members.voters.len() > voters_wanted {
        let longest_silent = members.voters.iter().max_by_key(|voter| voter.1);
        if let Some((name, _)) = longest_silent.filter(|voter| voter.1 >= silent_after_ms) {
            return Some(MembershipChangeRequest::Remove(name.clone()));
        }
    }
    let is_voter = |name: &InstanceName| members.voters.iter().any(|voter| voter.0 == *name);
    let joining = members.non_members.iter().find(|name| !is_voter(name))?;
    Some(MembershipChangeRequest::Join {
        name: joining.clone(),
        promote: true,
    })
}
