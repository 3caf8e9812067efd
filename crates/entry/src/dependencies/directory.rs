use names::{CustomerName, KindName, ModelName, ServiceName};

/// Looks up customers, rows, models and the configuration lease in memory.
pub trait Directory: Send + Sync {
    /// Returns the customer that a bearer key belongs to.
    fn authenticate(&self, key: &str) -> Option<CustomerName>;

    /// Returns the kind of work of a request that names none.
    fn default_kind(&self, target: TargetRef<'_>) -> KindName;

    /// Whether the instance holds a live configuration lease and may admit new requests.
    fn has_live_lease(&self) -> bool;

    /// Whether a call of a service may be run more than once; `None` if its method decides.
    fn is_repeatable(&self, _service: &ServiceName, _method: &str, _path: &str) -> Option<bool> {
        None
    }

    /// Returns the models that are being served.
    fn models(&self) -> Vec<ModelName>;

    /// Returns the limits in the row of a customer and kind, if the table has one.
    fn row_limits(&self, customer: &CustomerName, kind: &KindName) -> Option<RowLimits>;
}

/// Limits that a table row sets on a request.
#[derive(Debug, Clone, Copy, Default, Eq, PartialEq)]
pub struct RowLimits {
    /// Time for the request; `None` for the entry's own limit.
    pub timeout_ms: Option<u64>,
    /// Tokens of the response; `None` for the entry's own limit.
    pub tokens_max: Option<u32>,
}

/// Borrowed name of the model or plain service that a request addresses.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum TargetRef<'a> {
    /// A model that generates tokens.
    Model(&'a ModelName),
    /// A plain service.
    Service(&'a ServiceName),
}
