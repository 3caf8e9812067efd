use names::{InstanceName, PermitId, RequestId};
use protocol::PermitKey;

use crate::intervals::{PERMIT_CONFIRMATION_MS, PERMIT_LEASE_MS};

/// Instance that requested a permit.
#[derive(Debug, Clone)]
pub(super) struct Requester {
    pub(super) instance: InstanceName,
}

/// A permit that this owner granted or adopted and that has not ended.
#[derive(Debug)]
pub(super) struct GrantedPermit {
    pub(super) granted_ms: u64,
    pub(super) instance: InstanceName,
    /// Key under which the instance knows the permit.
    pub(super) key: PermitKey,
    /// Number of the permit at this owner.
    pub(super) permit: PermitId,
    pub(super) request: RequestId,
    pub(super) revoked: bool,
}

/// Permits of a shard, and when their instances last sent a request or report.
#[derive(Debug, Default)]
pub(super) struct GrantedPermits {
    /// Time of the last request or report of each instance, sorted by name.
    last_contacts_ms: Vec<(InstanceName, u64)>,
    /// Sorted by number.
    permits: Vec<GrantedPermit>,
}

impl GrantedPermits {
    /// Number of the permit that an instance knows under `key`.
    pub(super) fn id_by_key(&self, key: PermitKey) -> Option<PermitId> {
        // A permit granted by this owner has the same number on both sides.
        if let Ok(position) = self.position(key.permit)
            && self.permits[position].key == key
        {
            return Some(key.permit);
        }
        self.permits
            .iter()
            .find(|permit| permit.key == key)
            .map(|granted| granted.permit)
    }

    /// Adds a permit; numbers are never reused.
    pub(super) fn insert(&mut self, permit: GrantedPermit) {
        let position = self
            .position(permit.permit)
            .expect_err("a permit number is granted once");
        self.permits.insert(position, permit);
    }

    /// Greatest number of a permit in use.
    pub(super) fn last_id(&self) -> Option<PermitId> {
        self.permits.last().map(|granted| granted.permit)
    }

    /// Permits of an instance that its full report lacks although `PERMIT_CONFIRMATION_MS` have
    /// passed since the grant.
    ///
    /// `reported` is sorted.
    pub(super) fn list_unconfirmed(
        &self,
        now_ms: u64,
        instance: &InstanceName,
        reported: &[PermitKey],
    ) -> Vec<PermitId> {
        self.permits
            .iter()
            .filter(|permit| permit.instance == *instance)
            .filter(|permit| permit.granted_ms + PERMIT_CONFIRMATION_MS <= now_ms)
            .filter(|permit| reported.binary_search(&permit.key).is_err())
            .map(|granted| granted.permit)
            .collect()
    }

    /// Marks a permit as revoked; returns its request.
    pub(super) fn mark_revoked(&mut self, permit: PermitId) -> Option<RequestId> {
        let position = self.position(permit).ok()?;
        let permit = &mut self.permits[position];
        permit.revoked = true;
        Some(permit.request)
    }

    /// Records that an instance sent a request or report.
    pub(super) fn record_contact(&mut self, now_ms: u64, instance: &InstanceName) {
        match self
            .last_contacts_ms
            .binary_search_by(|(known, _)| known.cmp(instance))
        {
            Ok(position) => self.last_contacts_ms[position].1 = now_ms,
            Err(position) => self
                .last_contacts_ms
                .insert(position, (instance.clone(), now_ms)),
        }
    }

    pub(super) fn remove(&mut self, permit: PermitId) -> Option<GrantedPermit> {
        let position = self.position(permit).ok()?;
        Some(self.permits.remove(position))
    }

    /// Removes and returns the permits of instances without contact for `PERMIT_LEASE_MS`.
    pub(super) fn remove_lapsed(&mut self, now_ms: u64) -> Vec<PermitId> {
        let is_lapsed =
            |(_, contact_ms): &(InstanceName, u64)| contact_ms + PERMIT_LEASE_MS <= now_ms;
        if !self.last_contacts_ms.iter().any(is_lapsed) {
            return Vec::new();
        }
        self.last_contacts_ms.retain(|contact| !is_lapsed(contact));
        let contacts = &self.last_contacts_ms;
        let is_live = |permit: &GrantedPermit| {
            contacts
                .binary_search_by(|(known, _)| known.cmp(&permit.instance))
                .is_ok()
        };
        let lapsed = self
            .permits
            .iter()
            .filter(|permit| !is_live(permit))
            .map(|granted| granted.permit)
            .collect();
        self.permits.retain(is_live);
        lapsed
    }

    /// Keeps the permits for which `keep` holds.
    pub(super) fn retain(&mut self, keep: impl Fn(PermitId) -> bool) {
        self.permits.retain(|permit| keep(permit.permit));
    }

    /// Revoked permits of an instance.
    pub(super) fn revoked(&self, instance: &InstanceName) -> Vec<PermitKey> {
        self.permits
            .iter()
            .filter(|permit| permit.revoked && permit.instance == *instance)
            .map(|permit| permit.key)
            .collect()
    }

    fn position(&self, permit: PermitId) -> Result<usize, usize> {
        self.permits
            .binary_search_by(|granted| granted.permit.cmp(&permit))
    }
}
