use super::*;

#[test]
fn an_id_is_its_messages_until_it_is_forgotten() {
    let mut identities = Identities::new(100, 0, 7);
    assert_eq!(identities.owner(0, "m"), Owner::Nobody);
    identities.open("m".to_string(), MsgId(5));
    let kept = identities.accept(0, "m", MsgId(5), 1_000_000);
    assert_eq!(identities.owner(0, "m"), Owner::Open(MsgId(5)));
    identities.close("m");
    assert_eq!(identities.owner(1_000_000 + RETENTION, "m"), Owner::Ended);
    assert_eq!(identities.owner(3_000_000 + RETENTION, "m"), Owner::Nobody);
    let mut restarted = Identities::new(100, 0, 8);
    restarted.restore(0, &kept);
    assert_eq!(restarted.owner(0, "m"), Owner::Ended);
    assert_eq!(restarted.owner(0, "n"), Owner::Nobody);
}

#[test]
fn an_id_whose_message_was_withdrawn_may_come_again() {
    let mut identities = Identities::new(100, 0, 7);
    identities.accept(0, "m", MsgId(5), 1_000_000);
    identities.withdraw(0, "m", 10);
    assert_eq!(identities.owner(0, "m"), Owner::Nobody);
}
