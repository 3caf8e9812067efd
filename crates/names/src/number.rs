use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

macro_rules! number {
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

number!(
    /// Number of an endpoint within its owner.
    EndpointId
);
number!(
    /// Number of an ownership; grows with each new owner.
    Epoch
);
number!(
    /// Number of one run of an instance; grows with each start.
    Incarnation
);
number!(
    /// Position in the replicated log, from 1.
    LogIndex
);
number!(
    /// Number of a permit within its owner's epoch.
    PermitId
);
number!(
    /// Number of a request within the instance that took it.
    RequestId
);
