//! The fold of the order stream.

use {
    fleet::{OrderLedger, OrderOutcome, OrderRecord},
    ports::{Order, OrderAction, OrderId},
    types::Epoch,
};

fn order(id: u128, epoch: u64) -> Order {
    Order {
        id: OrderId::from_bits(id),
        zone: "a".parse().unwrap(),
        sender: "vm-1".parse().unwrap(),
        epoch: Epoch(epoch),
        action: OrderAction::Start {
            serves: "m".parse().unwrap(),
            cheap: false,
        },
    }
}

fn fold(ledger: &mut OrderLedger, record: OrderRecord) {
    ledger.fold(0, &serde_json::to_string(&record).unwrap());
}

fn takeover(epoch: u64) -> OrderRecord {
    OrderRecord::Takeover {
        zone: "a".parse().unwrap(),
        sender: "vm-2".parse().unwrap(),
        epoch: Epoch(epoch),
    }
}

fn result(id: u128) -> OrderRecord {
    OrderRecord::Result {
        id: OrderId::from_bits(id),
        outcome: OrderOutcome::Met,
    }
}

#[test]
fn repeats_open_an_order_once_and_a_result_ends_it_for_good() {
    let mut ledger = OrderLedger::default();
    fold(&mut ledger, OrderRecord::Intent(order(1, 5)));
    fold(&mut ledger, OrderRecord::Intent(order(1, 5)));
    assert_eq!(ledger.open().count(), 1);
    fold(&mut ledger, result(1));
    fold(&mut ledger, OrderRecord::Intent(order(1, 5)));
    assert_eq!(ledger.open().count(), 0);
}

#[test]
fn an_old_intent_after_a_takeover_is_void_and_one_before_it_stays_open() {
    let mut ledger = OrderLedger::default();
    fold(&mut ledger, OrderRecord::Intent(order(1, 5)));
    fold(&mut ledger, takeover(9));
    fold(&mut ledger, OrderRecord::Intent(order(2, 5)));
    fold(&mut ledger, OrderRecord::Intent(order(3, 9)));
    let open: Vec<_> = ledger.open().map(|o| o.order.id.bits()).collect();
    assert_eq!(open, [1, 3]);
}
