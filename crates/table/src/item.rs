use std::fmt::{self, Display, Formatter};

use names::KindName;
use serde::{Deserialize, Serialize};

use crate::{CustomerKey, KeyHash, OperatorKey, Revision, Row, RowKey};

/// Content of one item of the table.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Item {
    /// A customer's key.
    CustomerKey(CustomerKey),
    /// A declared kind of work.
    Kind,
    /// An operator's key.
    OperatorKey(OperatorKey),
    /// A row.
    Row(Row),
}

/// Names one item of the table.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ItemId {
    /// A customer's key.
    CustomerKey(KeyHash),
    /// A kind of work.
    Kind(KindName),
    /// An operator's key.
    OperatorKey(KeyHash),
    /// A row.
    Row(RowKey),
}

impl ItemId {
    pub(crate) fn is_compatible_with(&self, item: &Item) -> bool {
        matches!(
            (self, item),
            (Self::CustomerKey(_), Item::CustomerKey(_))
                | (Self::Kind(_), Item::Kind)
                | (Self::OperatorKey(_), Item::OperatorKey(_))
                | (Self::Row(_), Item::Row(_))
        )
    }
}

impl Display for ItemId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::CustomerKey(hash) => write!(f, "customer key {hash}"),
            Self::Kind(kind) => write!(f, "kind {kind}"),
            Self::OperatorKey(hash) => write!(f, "operator key {hash}"),
            Self::Row(key) => key.fmt(f),
        }
    }
}

/// State of one item at one time.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedItem {
    /// Content, or none where the item does not exist.
    pub item: Option<Item>,
    /// Revision of the last change; [`Revision::ABSENT`] where the item does not exist.
    pub revision: Revision,
    /// Which item.
    pub item_id: ItemId,
}

impl VersionedItem {
    pub(crate) fn has_compatible_id(&self) -> bool {
        self.item
            .as_ref()
            .is_none_or(|item| self.item_id.is_compatible_with(item))
    }
}
