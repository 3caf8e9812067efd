//! Chooses the orders to start next under the budget of the weight store.

use names::{DataCentreName, ModelName};

use crate::{Change, Command, Order, OrderState, Orders};

/// Replicas that a model lacks.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Lack {
    /// The model.
    pub model: ModelName,
    /// Replicas that the table asks for and that do not serve.
    pub replicas: u32,
}

/// Commands that start waiting orders, best first.
///
/// Orders that load nothing start at once. Loads of the model with the largest lack go first, each
/// started load counted against it; among equals the data centre with the fewest running loads goes
/// first, then the oldest order.
#[must_use]
pub fn plan_starts(orders: &Orders, lacks: &[Lack]) -> Vec<Command> {
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
            let lack = i64::from(lack(lacks, order)) - same_model(&running, order);
            (
                -lack,
                in_data_centre(&running, &order.data_centre),
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
    starts.into_iter().map(start).collect()
}

fn in_data_centre(running: &[&Order], data_centre: &DataCentreName) -> usize {
    let same = |order: &&&Order| order.data_centre == *data_centre;
    running.iter().filter(same).count()
}

fn lack(lacks: &[Lack], order: &Order) -> u32 {
    let lack = lacks.iter().find(|lack| Some(&lack.model) == model(order));
    lack.map_or(0, |lack| lack.replicas)
}

fn model(order: &Order) -> Option<&ModelName> {
    match &order.change {
        Change::Load { model, .. } | Change::Unload { model, .. } => Some(model),
        Change::ChangeRole { .. } => None,
    }
}

fn same_model(running: &[&Order], order: &Order) -> i64 {
    let same = |other: &&&Order| model(other) == model(order);
    i64::try_from(running.iter().filter(same).count()).unwrap_or(i64::MAX)
}

fn start(order: &Order) -> Command {
    Command::Start {
        endpoint: order.endpoint.clone(),
        fencing: order.fencing,
    }
}
