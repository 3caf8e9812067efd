use names::{CustomerName, KindName, ModelName, ServiceName};

/// Knows customers, rows, models and the configuration lease; answers from memory.
pub trait Directory: Send + Sync {
    /// The customer that a bearer key belongs to.
    fn authenticate(&self, key: &str) -> Option<CustomerName>;

    /// Kind of work of a request that names none.
    fn default_kind(&self, work: TargetRef<'_>) -> KindName;

    /// Whether a call of a service may be run more than once; none where the method decides.
    fn is_repeatable(&self, _service: &ServiceName, _method: &str, _path: &str) -> Option<bool> {
        None
    }

    /// Whether the instance holds a live configuration lease and may admit new work.
    fn has_live_lease(&self) -> bool;

    /// Models served now.
    fn models(&self) -> Vec<ModelName>;

    /// The row of a customer and kind of work, if the table has one.
    fn row_limits(&self, customer: &CustomerName, kind: &KindName) -> Option<RowLimits>;
}

/// What a row of the table allows to the entry's knowledge.
#[derive(Debug, Clone, Copy, Default, Eq, PartialEq)]
pub struct RowLimits {
    /// Longest time that a request may take; none for the entry's own limit.
    pub timeout_ms: Option<u64>,
    /// Most tokens of one answer; none for the entry's own limit.
    pub tokens_max: Option<u32>,
}

/// What a request is for.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum TargetRef<'a> {
    /// A generation by a model.
    Model(&'a ModelName),
    /// A call of a plain service.
    Service(&'a ServiceName),
}
