//! Plans that are read again while nobody is in charge.

mod rig;

use heronroute_fleet::Term;
use heronroute_installation::PlanSetting;
use heronroute_installation::seam::Input;
use rig::{MS, S, World, clients, plan};

fn term(world: &World) -> Option<Term> {
    let node = &world.nodes[world.leader()?];
    node.member.as_ref()?.in_charge(node.clock(world.now)).map(|charge| charge.term)
}

/// All are apart for a moment, so that the lease runs out and nobody can be elected in its place: a machine under load.
#[test]
fn plans_read_again_while_the_lease_is_out_count_when_its_holder_is_in_charge_again() {
    for seed in 0..4 {
        let mut world = World::new(seed, 3, 3).begun();
        assert!(world.until(30 * S, World::in_line).is_some());
        assert_eq!(world.submit(0, "oduya", 0, "long", 30).0, "approved");
        let before = term(&world).unwrap();
        world.split(&[0]);
        world.split(&[1]);
        assert!(world.until(10 * S, |w| w.leader().is_none()).is_some(), "the lease runs out");
        let mut lower = clients();
        lower.get_mut("oduya").unwrap().plan = PlanSetting::Plan(plan("lower", 20));
        for at in 0..3 {
            world.give(at, Input::Clients(lower.clone()));
        }
        world.run(100 * MS);
        world.heal();
        assert!(world.until(10 * S, |w| w.leader().is_some()).is_some());
        assert_eq!(term(&world), Some(before), "seed {seed}: the same one is in charge, in the same term");
        world.run(5 * S);
        let (state, told) = world.submit(1, "oduya", 1, "long", 40);
        assert_eq!(state, "refused", "seed {seed}: the plan of before counts still: {told}");
        world.sound();
    }
}
