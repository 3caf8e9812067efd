use std::sync::Arc;

use entry::dependencies::{Directory, RowLimits, TargetRef};
use names::{CustomerName, KindName, ModelName};
use session::OfferName;
use table::RowKey;

use crate::published_state::PublishedState;
use crate::settings::Access;

/// Directory of the entry, backed by the instance's copy of the published state.
pub(crate) struct PublishedDirectory {
    pub(crate) access: Access,
    pub(crate) published: Arc<PublishedState>,
}

impl Directory for PublishedDirectory {
    fn authenticate(&self, key: &str) -> Option<CustomerName> {
        let known = self
            .published
            .with_table(|items| items.customer_by_key(key).cloned());
        known.or_else(|| match self.access {
            Access::Insecure => CustomerName::new(key).ok(),
            Access::Keys { .. } => None,
        })
    }

    fn default_kind(&self, target: TargetRef<'_>) -> KindName {
        let name = match target {
            TargetRef::Model(model) => model.as_str(),
            TargetRef::Service(service) => service.as_str(),
        };
        KindName::new(name).expect("names of all types follow the same rules")
    }

    fn has_live_lease(&self) -> bool {
        self.published.has_live_lease()
    }

    fn models(&self) -> Vec<ModelName> {
        let published = self.published.lock();
        let mut models: Vec<ModelName> = published
            .assignments
            .iter()
            .filter_map(|assignment| match &assignment.shard.offer {
                OfferName::Model(model) => Some(model.clone()),
                OfferName::Service(_) => None,
            })
            .collect();
        models.sort_unstable();
        models.dedup();
        models
    }

    fn row_limits(&self, customer: &CustomerName, kind: &KindName) -> Option<RowLimits> {
        let key = RowKey {
            customer: customer.clone(),
            kind: kind.clone(),
        };
        self.published
            .with_table(|items| items.row(&key).map(|_| RowLimits::default()))
    }
}
