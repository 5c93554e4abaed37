use super::*;

#[test]
fn what_matters_less_to_accepted_messages_is_refused_first() {
    let mut budget = MemoryBudget::new(Some(2_000));
    assert_eq!(budget.limit(), 1_000);
    assert_eq!(budget.room(MemoryUse::Clients), 500);
    budget.replace(MemoryUse::Clients, 0, 600);
    assert_eq!((budget.room(MemoryUse::Clients), budget.room(MemoryUse::Messages)), (0, 150));
    budget.set(MemoryUse::Messages, 200);
    assert_eq!((budget.room(MemoryUse::Messages), budget.room(MemoryUse::Endpoints)), (0, 100));
    assert_eq!(budget.room(MemoryUse::Journal), 200);
    budget.replace(MemoryUse::Clients, 600, 100);
    assert_eq!((budget.used(), budget.room(MemoryUse::Clients)), (300, 200));
}

#[test]
fn without_a_limit_there_is_always_room() {
    let mut budget = MemoryBudget::new(None);
    budget.set(MemoryUse::Clients, 1 << 40);
    assert!(budget.room(MemoryUse::Clients) > 1 << 40);
}
