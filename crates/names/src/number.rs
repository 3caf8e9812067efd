use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

macro_rules! number_type {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $type(pub u64);

        impl Display for $type {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number_type!(
    /// Identifier of an endpoint, unique within the instance that owns it.
    EndpointId
);
number_type!(
    /// Number of an ownership period; increases with each new owner.
    Epoch
);
number_type!(
    /// Number of one process start of an instance; increases with each start.
    Incarnation
);
number_type!(
    /// Position in the replicated log, from 1.
    LogIndex
);
number_type!(
    /// Identifier of a permit, unique within its owner's epoch.
    PermitId
);
number_type!(
    /// Identifier of a request, unique within the instance that received it.
    RequestId
);
