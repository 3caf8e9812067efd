//! The replicated orders under arbitrary commands.

use names::{DataCentreName, EndpointName, LogIndex, ModelName};
use orders::{
    Answer, Change, Command, FencingNumber, OrderId, OrderState, Orders, Outcome, ReplicaShortage,
    plan_starts,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const LOADS_MAX: u32 = 3;

fn endpoint(number: u8) -> EndpointName {
    EndpointName::new(&format!("e{number}")).expect("a valid name")
}

fn load(model: &str) -> Change {
    Change::Load {
        adapter: None,
        model: ModelName::new(model).expect("a valid name"),
        version: "2".to_owned(),
    }
}

fn order(id: u128, number: u8, data_centre: &str, change: Change) -> Command {
    Command::Order {
        change,
        data_centre: DataCentreName::new(data_centre).expect("a valid name"),
        endpoint: endpoint(number),
        id: OrderId(id),
    }
}

#[derive(Clone, Debug)]
enum Step {
    Command(Command),
    SnapshotAndRestore,
    StartPlanned,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |bound: u8| u8::arbitrary(g) % bound;
        let fencing = FencingNumber(u64::from(below(60)));
        let endpoint = endpoint(below(8));
        match below(12) {
            0 => Self::SnapshotAndRestore,
            1 => Self::Command(Command::Cancel {
                id: OrderId(u128::from(below(40))),
            }),
            2..=3 => Self::Command(Command::RecordOutcome {
                endpoint,
                fencing,
                outcome: Outcome::Done,
            }),
            4 => Self::Command(Command::Start { endpoint, fencing }),
            5..=7 => Self::StartPlanned,
            _ => {
                let change = load(["advice", "quote"][usize::from(below(2))]);
                Self::Command(order(u128::from(below(40)), below(8), "sofia", change))
            }
        }
    }
}

fn commands(orders: &Orders, step: &Step) -> Vec<Command> {
    match step {
        Step::Command(command) => vec![command.clone()],
        Step::SnapshotAndRestore => Vec::new(),
        Step::StartPlanned => plan_starts(orders, &[]),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck hands over owned values"
)]
fn fencing_numbers_grow_and_loads_stay_in_budget(steps: Vec<Step>) -> bool {
    let mut orders = Orders::new(LOADS_MAX);
    let mut index = 0;
    let mut newest = [FencingNumber(0); 8];
    steps.iter().all(|step| {
        if matches!(step, Step::SnapshotAndRestore) {
            orders = Orders::restore(&orders.snapshot()).expect("it decodes");
        }
        let answers: Vec<Answer> = commands(&orders, step)
            .iter()
            .map(|command| {
                index += 1;
                orders.apply(LogIndex(index), index, command)
            })
            .collect();
        let starts_are_planned = matches!(step, Step::StartPlanned);
        let one_order_per_endpoint = orders
            .open()
            .windows(2)
            .all(|pair| pair[0].endpoint < pair[1].endpoint);
        let fencing_grows = (0..8_u8).all(|number| {
            let mut open = orders.open().iter();
            let order = open.find(|order| order.endpoint == endpoint(number));
            let last = &mut newest[usize::from(number)];
            let fencing_grows = order.is_none_or(|order| order.fencing >= *last);
            *last = order.map_or(*last, |order| order.fencing);
            fencing_grows
        });
        one_order_per_endpoint
            && fencing_grows
            && orders.loads_running() <= LOADS_MAX as usize
            && (!starts_are_planned || answers.iter().all(|answer| *answer == Answer::Applied))
    })
}

#[test]
fn fencing_numbers_only_grow_and_the_load_budget_is_never_exceeded() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 1))
        .tests(1_000)
        .quickcheck(fencing_numbers_grow_and_loads_stay_in_budget as fn(Vec<Step>) -> bool);
}

#[test]
fn a_repeated_order_gets_its_first_answer() {
    let mut orders = Orders::new(LOADS_MAX);
    let command = order(7, 1, "sofia", load("advice"));
    let fencing = FencingNumber(1);
    let accepted = Answer::Accepted { fencing };
    assert_eq!(orders.apply(LogIndex(1), 0, &command), accepted);
    assert_eq!(orders.apply(LogIndex(2), 0, &command), accepted);
    let other = order(7, 1, "sofia", load("quote"));
    assert_eq!(orders.apply(LogIndex(3), 0, &other), Answer::IdReused);
    let second = order(8, 1, "sofia", load("quote"));
    let busy = Answer::Busy { open: OrderId(7) };
    assert_eq!(orders.apply(LogIndex(4), 0, &second), busy);
    let cancel = Command::Cancel { id: OrderId(7) };
    assert_eq!(orders.apply(LogIndex(5), 0, &cancel), Answer::Applied);
    let outcome = Outcome::Cancelled;
    let settled = Answer::Settled { fencing, outcome };
    assert_eq!(orders.apply(LogIndex(6), 0, &command), settled);
}

#[test]
fn a_started_order_cannot_be_cancelled() {
    let mut orders = Orders::new(LOADS_MAX);
    orders.apply(LogIndex(1), 0, &order(7, 1, "sofia", load("advice")));
    for command in plan_starts(&orders, &[]) {
        assert_eq!(orders.apply(LogIndex(2), 0, &command), Answer::Applied);
    }
    let cancel = Command::Cancel { id: OrderId(7) };
    assert_eq!(orders.apply(LogIndex(3), 0, &cancel), Answer::NotOpen);
}

#[test]
fn the_largest_shortage_starts_first_and_ties_alternate_between_data_centres() {
    let mut orders = Orders::new(4);
    let submitted = [
        ("sofia", "quote"),
        ("sofia", "advice"),
        ("sofia", "advice"),
        ("plovdiv", "advice"),
        ("plovdiv", "quote"),
    ];
    for (number, (data_centre, model)) in (1..).zip(submitted) {
        let command = order(u128::from(number), number, data_centre, load(model));
        orders.apply(LogIndex(u64::from(number)), 0, &command);
    }
    let shortages =
        [("advice", 5), ("quote", 3)].map(|(model, missing_replicas)| ReplicaShortage {
            model: ModelName::new(model).expect("a valid name"),
            missing_replicas,
        });
    let started = |command: &Command| match command {
        Command::Start { fencing, .. } => fencing.0,
        other => panic!("not a start: {other:?}"),
    };
    let order: Vec<u64> = plan_starts(&orders, &shortages)
        .iter()
        .map(started)
        .collect();
    assert_eq!(order, [2, 4, 1, 3]);
    assert!(
        orders
            .open()
            .iter()
            .all(|order| order.state == OrderState::Waiting)
    );
}
