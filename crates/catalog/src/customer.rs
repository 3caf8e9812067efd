use serde::{Deserialize, Serialize};

/// Customer with the API keys that its clients send.
#[derive(Debug, Clone)]
pub struct Customer {
    /// API keys; no other customer has one of them.
    pub api_keys: Vec<String>,
    /// Name of the customer.
    pub name: String,
    /// Priority of all its requests, 0 being the highest; `None` means the route's priority.
    pub priority: Option<u32>,
}

/// API key with what it says of its customer.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyOwner {
    /// The API key.
    pub api_key: String,
    /// Name of the customer.
    pub name: String,
    /// Priority of all its requests, 0 being the highest; `None` means the route's priority.
    pub priority: Option<u32>,
}
