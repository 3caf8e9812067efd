use std::collections::BTreeMap;
use std::ops::Bound;

use names::{CustomerName, KindName};
use serde::{Deserialize, Serialize, Serializer};

use crate::{
    CustomerKey, Error, Item, ItemId, KeyHash, OperatorKey, Revision, Row, RowKey, VersionedItem,
};

/// All items of the table at one revision, by id.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq)]
#[serde(try_from = "Vec<EncodedItem>")]
pub struct Items {
    by_id: BTreeMap<ItemId, StoredItem>,
}

/// Owned form of one item, for decoding.
#[derive(Deserialize)]
struct EncodedItem {
    item: Item,
    revision: Revision,
    item_id: ItemId,
}

/// Borrowed form of [`EncodedItem`], for encoding.
#[derive(Serialize)]
struct EncodedItemRef<'a> {
    item: &'a Item,
    revision: Revision,
    item_id: &'a ItemId,
}

/// Content and revision of an item, without its id.
#[derive(Debug, Clone, Eq, PartialEq)]
struct StoredItem {
    item: Item,
    revision: Revision,
}

impl Serialize for Items {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.by_id.iter().map(EncodedItemRef::new))
    }
}

impl<'a> EncodedItemRef<'a> {
    fn new((item_id, stored): (&'a ItemId, &'a StoredItem)) -> Self {
        Self {
            item: &stored.item,
            revision: stored.revision,
            item_id,
        }
    }
}

impl TryFrom<Vec<EncodedItem>> for Items {
    type Error = Error;

    /// Builds the map in bulk, which fills its nodes; single insertions would leave them partly empty.
    fn try_from(encoded: Vec<EncodedItem>) -> Result<Self, Error> {
        if let Some(mismatched) = encoded
            .iter()
            .find(|candidate| !candidate.item_id.is_compatible_with(&candidate.item))
        {
            return Err(Error::ItemMismatch {
                item_id: mismatched.item_id.to_string(),
            });
        }
        let stored = |encoded: EncodedItem| {
            let EncodedItem { item, revision, .. } = encoded;
            (encoded.item_id, StoredItem { item, revision })
        };
        Ok(Self {
            by_id: encoded.into_iter().map(stored).collect(),
        })
    }
}

impl Items {
    /// Customer that `secret`, an API key in plain text, belongs to.
    #[must_use]
    pub fn customer_by_key(&self, secret: &str) -> Option<&CustomerName> {
        let hash = KeyHash::of(secret);
        let (item_id, stored) = self.by_id.get_key_value(&ItemId::CustomerKey(hash))?;
        match (item_id, &stored.item) {
            (ItemId::CustomerKey(stored_hash), Item::CustomerKey(key))
                if stored_hash.equals_in_constant_time(&hash) =>
            {
                Some(&key.customer)
            }
            _ => None,
        }
    }

    /// All customer keys, ordered by hash.
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

    /// Whether there are no items.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// All declared kinds of work, ordered by name.
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

    /// Operator that `secret`, an API key in plain text, belongs to.
    #[must_use]
    pub fn operator_by_key(&self, secret: &str) -> Option<&OperatorKey> {
        let hash = KeyHash::of(secret);
        let (item_id, stored) = self.by_id.get_key_value(&ItemId::OperatorKey(hash))?;
        match (item_id, &stored.item) {
            (ItemId::OperatorKey(stored_hash), Item::OperatorKey(key))
                if stored_hash.equals_in_constant_time(&hash) =>
            {
                Some(key)
            }
            _ => None,
        }
    }

    /// All operator keys, ordered by hash.
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

    /// All rows, ordered by customer and kind.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, Revision, &Row)> {
        self.rows_after(None)
    }

    /// Rows after `key`, or all if it is `None`, ordered by customer and kind.
    pub fn rows_after(
        &self,
        key: Option<&RowKey>,
    ) -> impl Iterator<Item = (&RowKey, Revision, &Row)> {
        // In the order of item ids, the rows come last, after the operator keys.
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

    /// Sets or deletes an item; panics if its revision would decrease.
    pub(crate) fn set(&mut self, item_id: ItemId, revision: Revision, item: Option<Item>) {
        assert!(
            self.revision(&item_id) <= revision,
            "the revision of an item would decrease"
        );
        match item {
            Some(item) => {
                assert!(
                    item_id.is_compatible_with(&item),
                    "the item has another type than its id"
                );
                self.by_id.insert(item_id, StoredItem { item, revision });
            }
            None => {
                self.by_id.remove(&item_id);
            }
        }
    }

    pub(crate) fn versioned_item(&self, item_id: &ItemId) -> VersionedItem {
        let stored = self.get(item_id);
        VersionedItem {
            item: stored.map(|(item, _)| item.clone()),
            revision: stored.map_or(Revision::ABSENT, |(_, revision)| revision),
            item_id: item_id.clone(),
        }
    }
}
