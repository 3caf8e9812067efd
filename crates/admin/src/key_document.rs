use serde::{Deserialize, Serialize};
use table::{Items, Role};

/// A key as JSON: its hash and its owner, never the key itself.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KeyDocument {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) customer: Option<String>,
    pub(crate) key_sha256: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) operator: Option<String>,
    #[serde(default, skip_deserializing)]
    pub(crate) revision: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) role: Option<Role>,
}

/// Response with all keys.
#[derive(Debug, Default, Serialize)]
pub(crate) struct KeysDocument {
    pub(crate) keys: Vec<KeyDocument>,
}

impl KeysDocument {
    pub(crate) fn of(items: &Items) -> Self {
        let customers = items
            .customer_keys()
            .map(|(hash, revision, key)| KeyDocument {
                customer: Some(key.customer.to_string()),
                key_sha256: hash.to_string(),
                revision: revision.0,
                ..KeyDocument::default()
            });
        let operators = items
            .operator_keys()
            .map(|(hash, revision, key)| KeyDocument {
                key_sha256: hash.to_string(),
                operator: Some(key.operator.to_string()),
                revision: revision.0,
                role: Some(key.role),
                ..KeyDocument::default()
            });
        Self {
            keys: customers.chain(operators).collect(),
        }
    }
}
