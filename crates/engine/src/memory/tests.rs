use super::*;

#[test]
fn what_matters_less_to_accepted_messages_is_refused_first() {
    let budget = MemoryBudget::new(Some(2_000));
    assert_eq!(budget.limit(), 1_000);
    assert_eq!(budget.room(MemoryUse::Clients), 500);
    let mut clients = budget.count(MemoryUse::Clients, 600);
    assert_eq!((budget.room(MemoryUse::Clients), budget.room(MemoryUse::Messages)), (0, 150));
    let _messages = budget.count(MemoryUse::Messages, 200);
    assert_eq!((budget.room(MemoryUse::Messages), budget.room(MemoryUse::Endpoints)), (0, 100));
    assert_eq!(budget.room(MemoryUse::Journal), 200);
    clients.set(100);
    assert_eq!((budget.used(), budget.room(MemoryUse::Clients)), (300, 200));
}

#[test]
fn without_a_limit_there_is_always_room() {
    let budget = MemoryBudget::new(None);
    let _clients = budget.count(MemoryUse::Clients, 1 << 40);
    assert!(budget.room(MemoryUse::Clients) > 1 << 40);
}

/// Guards against a count that is given back to another use than the one it was taken for.
#[test]
fn a_count_gives_back_what_it_took_to_its_own_use() {
    let budget = MemoryBudget::new(Some(2_000));
    let clients = budget.count(MemoryUse::Clients, 100);
    let mut endpoint = budget.count(MemoryUse::Endpoints, 300);
    endpoint.set(900);
    assert_eq!((budget.used(), endpoint.bytes(), budget.room(MemoryUse::Endpoints)), (1_000, 900, 0));
    drop(endpoint);
    assert_eq!(budget.used(), 100);
    drop(clients);
    assert_eq!((budget.used(), budget.room(MemoryUse::Clients)), (0, 500));
}
