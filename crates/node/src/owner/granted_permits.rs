use names::{InstanceName, PermitId, RequestId};
use protocol::PermitKey;

use crate::intervals::{PERMIT_CONFIRMATION_MS, PERMIT_LEASE_MS};

/// Who asked for a permit.
#[derive(Debug, Clone)]
pub(super) struct Requester {
    pub(super) instance: InstanceName,
}

/// A permit in use.
#[derive(Debug)]
pub(super) struct GrantedPermit {
    pub(super) granted_ms: u64,
    pub(super) instance: InstanceName,
    pub(super) key: PermitKey,
    pub(super) permit: PermitId,
    pub(super) request: RequestId,
    pub(super) revoked: bool,
}

/// Permits in use, sorted by number, and when their instances were last heard.
#[derive(Debug, Default)]
pub(super) struct GrantedPermits {
    heard: Vec<(InstanceName, u64)>,
    granted_permits: Vec<GrantedPermit>,
}

impl GrantedPermits {
    /// Number of the permit that an instance knows under `key`.
    pub(super) fn id_by_key(&self, key: PermitKey) -> Option<PermitId> {
        // A permit granted by this owner has the same number on both sides.
        if let Ok(position) = self.position(key.permit)
            && self.granted_permits[position].key == key
        {
            return Some(key.permit);
        }
        self.granted_permits
            .iter()
            .find(|holder| holder.key == key)
            .map(|holder| holder.permit)
    }

    /// Notes a sign of life of an instance.
    pub(super) fn heard(&mut self, now_ms: u64, instance: &InstanceName) {
        match self
            .heard
            .binary_search_by(|(known, _)| known.cmp(instance))
        {
            Ok(position) => self.heard[position].1 = now_ms,
            Err(position) => self.heard.insert(position, (instance.clone(), now_ms)),
        }
    }

    /// Adds a permit; a number never returns.
    pub(super) fn insert(&mut self, holder: GrantedPermit) {
        let position = self
            .position(holder.permit)
            .expect_err("a permit number is granted once");
        self.granted_permits.insert(position, holder);
    }

    /// Greatest number of a permit in use.
    pub(super) fn last_id(&self) -> Option<PermitId> {
        self.granted_permits.last().map(|holder| holder.permit)
    }

    /// Removes and returns the permits of instances that have been silent for too long.
    pub(super) fn remove_lapsed(&mut self, now_ms: u64) -> Vec<PermitId> {
        let silent = |(_, heard_ms): &(InstanceName, u64)| heard_ms + PERMIT_LEASE_MS <= now_ms;
        if !self.heard.iter().any(silent) {
            return Vec::new();
        }
        self.heard.retain(|heard| !silent(heard));
        let heard = &self.heard;
        let is_held = |holder: &GrantedPermit| {
            heard
                .binary_search_by(|(known, _)| known.cmp(&holder.instance))
                .is_ok()
        };
        let lapsed = self
            .granted_permits
            .iter()
            .filter(|holder| !is_held(holder))
            .map(|holder| holder.permit)
            .collect();
        self.granted_permits.retain(is_held);
        lapsed
    }

    pub(super) fn remove(&mut self, permit: PermitId) -> Option<GrantedPermit> {
        let position = self.position(permit).ok()?;
        Some(self.granted_permits.remove(position))
    }

    /// Keeps the permits for which `keep` holds.
    pub(super) fn retain(&mut self, keep: impl Fn(PermitId) -> bool) {
        self.granted_permits.retain(|holder| keep(holder.permit));
    }

    /// Marks a permit as taken back; returns its request.
    pub(super) fn mark_revoked(&mut self, permit: PermitId) -> Option<RequestId> {
        let position = self.position(permit).ok()?;
        let holder = &mut self.granted_permits[position];
        holder.revoked = true;
        Some(holder.request)
    }

    /// Permits of an instance that were taken back.
    pub(super) fn revoked(&self, instance: &InstanceName) -> Vec<PermitKey> {
        self.granted_permits
            .iter()
            .filter(|holder| holder.revoked && holder.instance == *instance)
            .map(|holder| holder.key)
            .collect()
    }

    /// Permits of an instance that it should have named in a report by now and did not.
    ///
    /// `named` is sorted.
    pub(super) fn list_unconfirmed(
        &self,
        now_ms: u64,
        instance: &InstanceName,
        named: &[PermitKey],
    ) -> Vec<PermitId> {
        self.granted_permits
            .iter()
            .filter(|holder| holder.instance == *instance)
            .filter(|holder| holder.granted_ms + PERMIT_CONFIRMATION_MS <= now_ms)
            .filter(|holder| named.binary_search(&holder.key).is_err())
            .map(|holder| holder.permit)
            .collect()
    }

    fn position(&self, permit: PermitId) -> Result<usize, usize> {
        self.granted_permits
            .binary_search_by(|holder| holder.permit.cmp(&permit))
    }
}
