//! placeholder.
/// Update.
#[derive(Debug, Clone, serde::Deserialize, serde::Serialize)]
pub struct Update;
