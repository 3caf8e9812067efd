use control::MembershipChangeRequest;
use names::InstanceName;

/// Members of the group as its leader sees them.
#[derive(Debug)]
pub struct GroupMembers {
    /// Instances that introduced themselves and are no members.
    pub introduced: Vec<InstanceName>,
    /// Whether the latest membership is committed.
    pub is_settled: bool,
    /// Voters with the time since each was last heard.
    pub voters: Vec<(InstanceName, u64)>,
}

/// Next step towards a group of `voters_wanted` live voters, if one is due.
///
/// Whoever introduces itself joins. A voter is removed only while more voters than wanted exist,
/// and only if it has been silent; so a group whose members are cut off from each other keeps
/// them all, and a lost voter is replaced once its successor holds everything committed.
#[must_use]
pub fn next_voter_change(
    roll: &GroupMembers,
    voters_wanted: usize,
    silent_after_ms: u64,
) -> Option<MembershipChangeRequest> {
    if !roll.is_settled {
        return None;
    }
    if roll.voters.len() > voters_wanted {
        let silent = roll.voters.iter().max_by_key(|voter| voter.1);
        if let Some((name, _)) = silent.filter(|voter| voter.1 >= silent_after_ms) {
            return Some(MembershipChangeRequest::Remove(name.clone()));
        }
    }
    let is_voter = |name: &InstanceName| roll.voters.iter().any(|voter| voter.0 == *name);
    let joining = roll.introduced.iter().find(|name| !is_voter(name))?;
    Some(MembershipChangeRequest::Join {
        name: joining.clone(),
        promote: true,
    })
}
