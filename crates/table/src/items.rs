use std::collections::BTreeMap;
use std::ops::Bound;

use names::{CustomerName, KindName};
use serde::{Deserialize, Serialize, Serializer};

use crate::{
    CustomerKey, Error, Item, ItemId, KeyHash, OperatorKey, Revision, Row, RowKey, VersionedItem,
};

/// Everything that the table governs, by target.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq)]
#[serde(try_from = "Vec<Published>")]
pub struct Items {
    by_id: BTreeMap<ItemId, Stored>,
}

/// One item as it is encoded.
#[derive(Deserialize)]
struct Published {
    item: Item,
    revision: Revision,
    item_id: ItemId,
}

#[derive(Serialize)]
struct PublishedRef<'a> {
    item: &'a Item,
    revision: Revision,
    item_id: &'a ItemId,
}

#[derive(Debug, Clone, Eq, PartialEq)]
struct Stored {
    item: Item,
    revision: Revision,
}

impl Serialize for Items {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.by_id.iter().map(PublishedRef::new))
    }
}

impl<'a> PublishedRef<'a> {
    fn new((item_id, stored): (&'a ItemId, &'a Stored)) -> Self {
        Self {
            item: &stored.item,
            revision: stored.revision,
            item_id,
        }
    }
}

impl TryFrom<Vec<Published>> for Items {
    type Error = Error;

    /// Builds the map at once: its nodes are full, which insertion one by one would not give.
    fn try_from(published: Vec<Published>) -> Result<Self, Error> {
        if let Some(misfit) = published
            .iter()
            .find(|p| !p.item_id.is_compatible_with(&p.item))
        {
            return Err(Error::Mismatch {
                item_id: misfit.item_id.to_string(),
            });
        }
        let stored = |published: Published| {
            let Published { item, revision, .. } = published;
            (published.item_id, Stored { item, revision })
        };
        Ok(Self {
            by_id: published.into_iter().map(stored).collect(),
        })
    }
}

impl Items {
    /// Key of a customer, found by the key as its holder sends it.
    #[must_use]
    pub fn customer_by_key(&self, secret: &str) -> Option<&CustomerName> {
        let hash = KeyHash::of(secret);
        let (item_id, stored) = self.by_id.get_key_value(&ItemId::CustomerKey(hash))?;
        match (item_id, &stored.item) {
            (ItemId::CustomerKey(held), Item::CustomerKey(key)) if held.matches(&hash) => {
                Some(&key.customer)
            }
            _ => None,
        }
    }

    /// Every customer's key, ordered by hash.
    pub fn customer_keys(&self) -> impl Iterator<Item = (&KeyHash, Revision, &CustomerKey)> {
        self.by_id
            .iter()
            .filter_map(|(item_id, stored)| match (item_id, &stored.item) {
                (ItemId::CustomerKey(hash), Item::CustomerKey(key)) => {
                    Some((hash, stored.revision, key))
                }
                _ => None,
            })
    }

    /// Content and revision of one item.
    #[must_use]
    pub fn get(&self, item_id: &ItemId) -> Option<(&Item, Revision)> {
        let stored = self.by_id.get(item_id)?;
        Some((&stored.item, stored.revision))
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Every declared kind of work, in order of name.
    pub fn kinds(&self) -> impl Iterator<Item = (&KindName, Revision)> {
        self.by_id
            .iter()
            .filter_map(|(item_id, stored)| match item_id {
                ItemId::Kind(kind) => Some((kind, stored.revision)),
                _ => None,
            })
    }

    /// Number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Key of an operator, found by the key as its holder sends it.
    #[must_use]
    pub fn operator_by_key(&self, secret: &str) -> Option<&OperatorKey> {
        let hash = KeyHash::of(secret);
        let (item_id, stored) = self.by_id.get_key_value(&ItemId::OperatorKey(hash))?;
        match (item_id, &stored.item) {
            (ItemId::OperatorKey(held), Item::OperatorKey(key)) if held.matches(&hash) => Some(key),
            _ => None,
        }
    }

    /// Every operator's key, ordered by hash.
    pub fn operator_keys(&self) -> impl Iterator<Item = (&KeyHash, Revision, &OperatorKey)> {
        self.by_id
            .iter()
            .filter_map(|(item_id, stored)| match (item_id, &stored.item) {
                (ItemId::OperatorKey(hash), Item::OperatorKey(key)) => {
                    Some((hash, stored.revision, key))
                }
                _ => None,
            })
    }

    /// One row and its revision.
    #[must_use]
    pub fn row(&self, key: &RowKey) -> Option<(&Row, Revision)> {
        match self.get(&ItemId::Row(key.clone()))? {
            (Item::Row(row), revision) => Some((row, revision)),
            _ => None,
        }
    }

    /// Every row, ordered by customer and kind.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, Revision, &Row)> {
        self.rows_after(None)
    }

    /// Every row after `key`, ordered by customer and kind.
    pub fn rows_after(
        &self,
        key: Option<&RowKey>,
    ) -> impl Iterator<Item = (&RowKey, Revision, &Row)> {
        // Rows come last in the order of targets, after the operators' keys.
        let last_key = ItemId::OperatorKey(KeyHash([u8::MAX; 32]));
        let start = key.map_or(last_key, |key| ItemId::Row(key.clone()));
        self.by_id
            .range((Bound::Excluded(start), Bound::Unbounded))
            .filter_map(|(item_id, stored)| match (item_id, &stored.item) {
                (ItemId::Row(key), Item::Row(row)) => Some((key, stored.revision, row)),
                _ => None,
            })
    }

    pub(crate) fn revision(&self, item_id: &ItemId) -> Revision {
        self.get(item_id)
            .map_or(Revision::ABSENT, |(_, revision)| revision)
    }

    /// Sets or deletes an item; its revision may not fall.
    pub(crate) fn set(&mut self, item_id: ItemId, revision: Revision, item: Option<Item>) {
        assert!(
            self.revision(&item_id) <= revision,
            "an item returned to an older revision"
        );
        match item {
            Some(item) => {
                assert!(
                    item_id.is_compatible_with(&item),
                    "item does not fit its target"
                );
                self.by_id.insert(item_id, Stored { item, revision });
            }
            None => {
                self.by_id.remove(&item_id);
            }
        }
    }

    pub(crate) fn versioned(&self, item_id: &ItemId) -> VersionedItem {
        let stored = self.get(item_id);
        VersionedItem {
            item: stored.map(|(item, _)| item.clone()),
            revision: stored.map_or(Revision::ABSENT, |(_, revision)| revision),
            item_id: item_id.clone(),
        }
    }
}
