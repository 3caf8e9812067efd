//! Chooses the waiting orders to start within the budget of the weight store.

use names::{DataCentreName, ModelName};

use crate::{Change, Command, Order, OrderState, Orders};

/// Number of replicas that a model is short of.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct ReplicaShortage {
    /// The model.
    pub model: ModelName,
    /// Replicas that the table requests but that do not serve.
    pub missing_replicas: u32,
}

/// Returns commands that start waiting orders, in order of preference.
///
/// Orders that load nothing start immediately. Loads of the model with the largest shortage go
/// first; each running load reduces its model's shortage by one. Ties go to the data centre with
/// the fewest running loads, then to the oldest order.
#[must_use]
pub fn plan_starts(orders: &Orders, shortages: &[ReplicaShortage]) -> Vec<Command> {
    let waiting = || {
        let open = orders.open().iter();
        open.filter(|order| order.state == OrderState::Waiting)
    };
    let mut starts: Vec<&Order> = waiting().filter(|order| !order.change.is_load()).collect();
    let mut loads: Vec<&Order> = waiting().filter(|order| order.change.is_load()).collect();
    let mut running: Vec<&Order> = orders
        .open()
        .iter()
        .filter(|order| order.state == OrderState::Started && order.change.is_load())
        .collect();
    while running.len() < orders.loads_max() as usize {
        let best = loads.iter().enumerate().min_by_key(|(_, order)| {
            let shortage =
                i64::from(shortage(shortages, order)) - running_loads_of_model(&running, order);
            (
                -shortage,
                running_loads_in_data_centre(&running, &order.data_centre),
                order.fencing,
            )
        });
        let Some((position, _)) = best else {
            break;
        };
        let order = loads.remove(position);
        running.push(order);
        starts.push(order);
    }
    starts.into_iter().map(start_command).collect()
}

fn running_loads_in_data_centre(running: &[&Order], data_centre: &DataCentreName) -> usize {
    let same = |order: &&&Order| order.data_centre == *data_centre;
    running.iter().filter(same).count()
}

fn shortage(shortages: &[ReplicaShortage], order: &Order) -> u32 {
    let shortage = shortages
        .iter()
        .find(|shortage| Some(&shortage.model) == model_of(order));
    shortage.map_or(0, |shortage| shortage.missing_replicas)
}

fn model_of(order: &Order) -> Option<&ModelName> {
    match &order.change {
        Change::Load { model, .. } | Change::Unload { model, .. } => Some(model),
        Change::ChangeRole { .. } => None,
    }
}

fn running_loads_of_model(running: &[&Order], order: &Order) -> i64 {
    let same = |other: &&&Order| model_of(other) == model_of(order);
    i64::try_from(running.iter().filter(same).count()).unwrap_or(i64::MAX)
}

fn start_command(order: &Order) -> Command {
    Command::Start {
        endpoint: order.endpoint.clone(),
        fencing: order.fencing,
    }
}
