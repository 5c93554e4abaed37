use super::*;

const FIRST: EndpointId = EndpointId(1);
const SECOND: EndpointId = EndpointId(2);

fn at(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn rank(list: u64, serves: bool, started_ms: u64) -> ClaimRank {
    ClaimRank { list, serves, started_ms }
}

#[test]
fn an_address_belongs_to_the_endpoint_that_was_listed_there_last() {
    let mut claims = AddressClaims::default();
    claims.claim(FIRST, at(1), rank(1, true, 9));
    claims.claim(SECOND, at(1), rank(2, true, 0));
    claims.claim(FIRST, at(1), rank(3, true, 9));
    assert_eq!(
        claims.claimants(at(1)),
        [(FIRST, false), (SECOND, true)],
        "stated again, which is no new claim"
    );
    assert_eq!(claims.withdraw(SECOND), Some(at(1)));
    assert_eq!(claims.claimants(at(1)), [(FIRST, true)]);
    assert_eq!(claims.claim(FIRST, at(2), rank(3, true, 9)), Some(at(1)));
    assert!(claims.claimants(at(1)).is_empty());
}

#[test]
fn in_one_list_it_belongs_to_the_one_that_serves_and_then_to_the_one_that_started_last() {
    for (loser, winner) in [(rank(1, false, 9), rank(1, true, 0)), (rank(1, true, 1), rank(1, true, 2))] {
        let mut claims = AddressClaims::default();
        claims.claim(SECOND, at(1), loser);
        claims.claim(FIRST, at(1), winner);
        assert_eq!(claims.claimants(at(1)), [(SECOND, false), (FIRST, true)]);
    }
    let mut claims = AddressClaims::default();
    claims.claim(FIRST, at(1), rank(1, true, 2));
    claims.claim(SECOND, at(1), rank(1, true, 2));
    assert_eq!(claims.claimants(at(1)), [(FIRST, true), (SECOND, true)], "they share it");
}
