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
pub enum Target {
    /// A customer's key.
    CustomerKey(KeyHash),
    /// A kind of work.
    Kind(KindName),
    /// An operator's key.
    OperatorKey(KeyHash),
    /// A row.
    Row(RowKey),
}

impl Target {
    pub(crate) fn admits(&self, item: &Item) -> bool {
        matches!(
            (self, item),
            (Self::CustomerKey(_), Item::CustomerKey(_))
                | (Self::Kind(_), Item::Kind)
                | (Self::OperatorKey(_), Item::OperatorKey(_))
                | (Self::Row(_), Item::Row(_))
        )
    }
}

impl Display for Target {
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
pub struct Versioned {
    /// Content, or none where the item does not exist.
    pub item: Option<Item>,
    /// Revision of the last change; [`Revision::ABSENT`] where the item does not exist.
    pub revision: Revision,
    /// Which item.
    pub target: Target,
}

impl Versioned {
    pub(crate) fn is_fitting(&self) -> bool {
        self.item
            .as_ref()
            .is_none_or(|item| self.target.admits(item))
    }
}
