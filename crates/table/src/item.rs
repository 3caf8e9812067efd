use std::fmt::{self, Display, Formatter};

use names::KindName;
use serde::{Deserialize, Serialize};

use crate::{CustomerKey, KeyHash, OperatorKey, Revision, Row, RowKey};

/// Content of one item of the table.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Item {
    /// API key of a customer.
    CustomerKey(CustomerKey),
    /// A declared kind of work, which has no content.
    Kind,
    /// API key of an operator.
    OperatorKey(OperatorKey),
    /// Limits and priority of one customer and kind.
    Row(Row),
}

/// Type and key of one item of the table.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ItemId {
    /// API key of a customer.
    CustomerKey(KeyHash),
    /// A kind of work.
    Kind(KindName),
    /// API key of an operator.
    OperatorKey(KeyHash),
    /// Row of one customer and kind.
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

/// Content and revision of one item, which may be absent.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedItem {
    /// Content; `None` if the item does not exist.
    pub item: Option<Item>,
    /// Revision of the last change; [`Revision::ABSENT`] if the item does not exist.
    pub revision: Revision,
    /// Id of the item.
    pub item_id: ItemId,
}

impl VersionedItem {
    pub(crate) fn has_compatible_id(&self) -> bool {
        self.item
            .as_ref()
            .is_none_or(|item| self.item_id.is_compatible_with(item))
    }
}
