//! Difference between two catalogs: the items that are new or not equal, and the keys of those gone.

use std::cmp::Ordering;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{KeyOwner, Limits, Route, Service};

/// What has changed from one version of the configuration to another.
///
/// It is encoded by position: fields keep their order.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct CatalogChange {
    /// Version that it was made from; 0 is the empty catalog.
    pub base_version: u64,
    /// API keys that are new or have another owner, sorted by key.
    pub changed_key_owners: Vec<Arc<KeyOwner>>,
    /// Routes that are new or not equal, sorted by host and prefix.
    pub changed_routes: Vec<Arc<Route>>,
    /// Services that are new or not equal, sorted by name.
    pub changed_services: Vec<Arc<Service>>,
    /// Limits on the requests of clients.
    pub limits: Limits,
    /// API keys that no customer owns any more, sorted.
    pub removed_api_keys: Vec<String>,
    /// Hosts and prefixes of the routes that are gone, sorted.
    pub removed_routes: Vec<(String, String)>,
    /// Names of the services that are gone, sorted.
    pub removed_services: Vec<String>,
    /// Whether requests need an API key.
    pub requires_keys: bool,
    /// Version that it leads to.
    pub version: u64,
}

/// Item of a catalog, sorted and found by its key.
pub(crate) trait Item: PartialEq {
    type Key;

    fn compare(&self, other: &Self) -> Ordering;

    fn compare_key(&self, key: &Self::Key) -> Ordering;

    fn key(&self) -> Self::Key;
}

impl Item for KeyOwner {
    type Key = String;

    fn compare(&self, other: &Self) -> Ordering {
        self.api_key.cmp(&other.api_key)
    }

    fn compare_key(&self, key: &String) -> Ordering {
        self.api_key.cmp(key)
    }

    fn key(&self) -> String {
        self.api_key.clone()
    }
}

impl Item for Route {
    type Key = (String, String);

    fn compare(&self, other: &Self) -> Ordering {
        (&self.host, &self.prefix).cmp(&(&other.host, &other.prefix))
    }

    fn compare_key(&self, (host, prefix): &(String, String)) -> Ordering {
        (&self.host, &self.prefix).cmp(&(host, prefix))
    }

    fn key(&self) -> (String, String) {
        (self.host.clone(), self.prefix.clone())
    }
}

impl Item for Service {
    type Key = String;

    fn compare(&self, other: &Self) -> Ordering {
        self.name.cmp(&other.name)
    }

    fn compare_key(&self, key: &String) -> Ordering {
        self.name.cmp(key)
    }

    fn key(&self) -> String {
        self.name.clone()
    }
}

/// Items that the base lacks or has with other contents.
pub(crate) fn changed_items<T: Item>(base: &[Arc<T>], items: &[Arc<T>]) -> Vec<Arc<T>> {
    let mut base = base.iter().peekable();
    let is_changed = |item: &&Arc<T>| {
        while base.next_if(|old| old.compare(item).is_lt()).is_some() {}
        let same_key = base.next_if(|old| old.compare(item).is_eq());
        same_key.is_none_or(|old| !Arc::ptr_eq(old, item) && old != *item)
    };
    items.iter().filter(is_changed).cloned().collect()
}

/// Keys of the base's items that are gone.
pub(crate) fn removed_keys<T: Item>(base: &[Arc<T>], items: &[Arc<T>]) -> Vec<T::Key> {
    let mut items = items.iter().peekable();
    let is_removed = |old: &&Arc<T>| {
        while items.next_if(|item| item.compare(old).is_lt()).is_some() {}
        items.next_if(|item| item.compare(old).is_eq()).is_none()
    };
    base.iter()
        .filter(is_removed)
        .map(|old| old.key())
        .collect()
}

/// Items of the base without the removed ones, with the changed ones in their places.
pub(crate) fn merge_items<T: Item>(
    base: &[Arc<T>],
    changed: Vec<Arc<T>>,
    removed: &[T::Key],
) -> Vec<Arc<T>> {
    let mut items = Vec::with_capacity(base.len() + changed.len());
    let mut changed = changed.into_iter().peekable();
    let mut removed = removed.iter().peekable();
    for old in base {
        while let Some(new) = changed.next_if(|new| new.compare(old).is_lt()) {
            items.push(new);
        }
        while removed
            .next_if(|key| old.compare_key(key).is_gt())
            .is_some()
        {}
        let is_removed = removed
            .next_if(|key| old.compare_key(key).is_eq())
            .is_some();
        match changed.next_if(|new| new.compare(old).is_eq()) {
            Some(new) => items.push(new),
            None if is_removed => {}
            None => items.push(Arc::clone(old)),
        }
    }
    items.extend(changed);
    items
}

/// The same items, shared with the base where they are equal.
pub(crate) fn share_items<T: Item>(base: &[Arc<T>], items: &[Arc<T>]) -> Vec<Arc<T>> {
    let changed = changed_items(base, items);
    merge_items(base, changed, &removed_keys(base, items))
}
