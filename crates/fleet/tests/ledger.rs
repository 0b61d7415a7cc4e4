//! Folding of the order stream.

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
fn repeated_intent_neither_duplicates_nor_reopens_an_order() {
    let mut ledger = OrderLedger::default();
    fold(&mut ledger, OrderRecord::Intent(order(1, 5)));
    fold(&mut ledger, OrderRecord::Intent(order(1, 5)));
    assert_eq!(ledger.open().count(), 1);
    fold(&mut ledger, result(1));
    fold(&mut ledger, OrderRecord::Intent(order(1, 5)));
    assert_eq!(ledger.open().count(), 0);
}

#[test]
fn intent_of_a_former_holder_is_void_only_after_the_takeover() {
    let mut ledger = OrderLedger::default();
    fold(&mut ledger, OrderRecord::Intent(order(1, 5)));
    fold(&mut ledger, takeover(9));
    fold(&mut ledger, OrderRecord::Intent(order(2, 5)));
    fold(&mut ledger, OrderRecord::Intent(order(3, 9)));
    let open: Vec<_> = ledger.open().map(|o| o.order.id.bits()).collect();
    assert_eq!(open, [1, 3]);
}
