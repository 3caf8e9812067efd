/// A customer and the keys that its clients present.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Keys, each held by this customer alone.
    pub api_keys: Vec<String>,
    /// Name.
    pub name: String,
    /// Rank of all its requests, 0 first; absent, the route's rank holds.
    pub priority: Option<u32>,
}
