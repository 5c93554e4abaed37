//! Homes and partners: shares, and how many homes move when a member joins or is lost.

use heronroute_fleet::Name;
use heronroute_region::homes::{Homes, Partners, SLOTS, client_key};
use heronroute_region::list::ListError;
use heronroute_region::{List, Place, Region};
use std::collections::BTreeMap;
use std::sync::Arc;

fn list(members: impl IntoIterator<Item = usize>) -> Arc<List> {
    let place = |at: usize| Place {
        name: Name::new(&format!("m{at:03}")).unwrap(),
        region: Region(Name::new(["north", "south"][at % 2]).unwrap()),
    };
    Arc::new(List::of(1, members.into_iter().map(place)).unwrap())
}

fn moved(one: &Homes, other: &Homes) -> usize {
    let name = |homes: &Homes, slot| homes.owner(slot).and_then(|at| homes.list().name(at).cloned());
    (0..SLOTS).filter(|slot| name(one, *slot) != name(other, *slot)).count()
}

#[test]
fn no_member_exceeds_its_share_by_a_quarter_and_few_homes_move() {
    for n in [2, 3, 10, 50, 512] {
        let homes = Homes::new(&list(0..n));
        let mut counts = vec![0; n];
        (0..SLOTS).for_each(|slot| counts[homes.owner(slot).unwrap()] += 1);
        assert!(counts.iter().all(|count| count * n * 4 <= SLOTS * 5), "{n}: {counts:?}");
    }
    for n in [4, 10, 50] {
        let homes = Homes::new(&list(0..n));
        let join = moved(&homes, &Homes::new(&list(0..n + 1)));
        let loss = moved(&homes, &Homes::new(&list((0..n).filter(|at| *at != n / 2))));
        let part = |moved: usize| moved as f64 * n as f64 / SLOTS as f64;
        println!(
            "{n} members: {:.2}/n of the homes move at a join, {:.2}/n at a loss",
            part(join),
            part(loss)
        );
        assert!(part(join) < 1.6 && part(loss) < 1.6, "{n}: {join} and {loss} of {SLOTS} slots move");
    }
}

#[test]
fn homes_do_not_depend_on_the_build() {
    let homes = Homes::new(&list(0..10));
    let of = |client: &str| homes.home(client_key(client)).unwrap().as_str().to_owned();
    let all = ["oduya", "banda", "chike", "ops"].map(of);
    assert_eq!(all, HOMES, "what members of two builds would divide in two ways");
}

const HOMES: [&str; 4] = ["m001", "m009", "m006", "m006"];

#[test]
fn partners_are_in_another_region_and_evenly_distributed() {
    for n in [2, 3, 10, 41, 100] {
        let list = list(0..n);
        let partners = Partners::new(&list);
        let mut kept: BTreeMap<&Name, usize> = BTreeMap::new();
        for place in &list.places {
            let all = partners.all(&place.name);
            assert_eq!(partners.of(&place.name), all.first().copied());
            assert!(all.iter().all(|by| list.region(by) != Some(&place.region)));
            assert_eq!(all.len(), list.places.iter().filter(|other| other.region != place.region).count());
            *kept.entry(all[0]).or_default() += 1;
        }
        assert!(kept.values().all(|kept| *kept <= 3), "{n}: {kept:?}");
    }
    assert_eq!(Partners::new(&list([0, 2])).of(&Name::new("m000").unwrap()), None, "one region alone");
}

#[test]
fn a_list_has_no_duplicates_and_is_bounded() {
    let many: Vec<Place> = list(0..400).places.clone();
    assert!(matches!(List::of(1, many.iter().chain(&many).cloned()), Err(ListError::Many(800))));
    assert!(matches!(List::of(1, many.iter().chain(&many[..1]).cloned()), Err(ListError::Order(_))));
    let turned = List { number: 1, places: many.into_iter().rev().collect() };
    assert!(turned.check().is_err());
}
