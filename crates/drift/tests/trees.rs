//! Tests of the tree, the digests and the tree walk against plain maps.

use heronroute_drift::report::{TreeNode, Verdict};
use heronroute_drift::tree::{FAN_OUT, MAX_BUCKET_CLIENTS, Path, Tree, diff};
use heronroute_drift::*;
use heronroute_fleet::{Life, Name, Standing, Start, Term};
use heronroute_rules::{Rule, RuleLimits};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const S: Micros = 1_000_000;

fn digest_of(number: u64) -> Digest {
    let mut digest = [7; 32];
    digest[..8].copy_from_slice(&number.to_be_bytes());
    digest
}

/// The root depends only on the entries, not on the order of changes, and the differences of two trees are
/// those of the maps.
#[test]
fn roots_and_differences_match_plain_maps() {
    for seed in 0..30 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut maps = [BTreeMap::new(), BTreeMap::new()];
        let mut trees = [Tree::default(), Tree::default()];
        for _ in 0..rng.random_range(1..600) {
            let client = format!("c{}", rng.random_range(0..200));
            let side = rng.random_range(0..2);
            let held =
                rng.random_bool(0.7).then(|| (rng.random_range(1..3), digest_of(rng.random_range(0..2))));
            let like = trees[1 - side].clone();
            trees[side].set_like(&client, held, &like);
            match held {
                Some(held) => maps[side].insert(client, held),
                None => maps[side].remove(&client),
            };
        }
        for side in 0..2 {
            let mut fresh = Tree::default();
            maps[side].iter().rev().for_each(|(client, held)| fresh.set(client, Some(*held)));
            assert_eq!(fresh.root(), trees[side].root(), "seed {seed}");
            assert_eq!(trees[side].len(), maps[side].len());
            assert!(
                maps[side]
                    .iter()
                    .all(|(c, h)| trees[side].get(c).is_some_and(|l| (l.version, l.digest) == *h))
            );
        }
        let keys: BTreeSet<&String> = maps[0].keys().chain(maps[1].keys()).collect();
        let differ: BTreeSet<&str> =
            keys.into_iter().filter(|c| maps[0].get(*c) != maps[1].get(*c)).map(|c| c.as_str()).collect();
        let found = diff(&trees[0], &trees[1], usize::MAX);
        assert_eq!(found.iter().map(|one| one.client()).collect::<BTreeSet<_>>(), differ, "seed {seed}");
        assert_eq!(diff(&trees[0], &trees[1], 3).len(), differ.len().min(3));
        assert_eq!(trees[0].root() == trees[1].root(), differ.is_empty());
    }
}

/// Guards against a digest that cannot distinguish the same value in different limits, as `hold_for: 5` and
/// `validity: 5` if it were taken over an encoding without the unset fields.
#[test]
fn digests_distinguish_each_limit() {
    let rule = |limits| [Rule { name: "r".into(), limits, ..Rule::default() }];
    let ones = [
        RuleLimits { answer_for: Some(5), ..RuleLimits::default() },
        RuleLimits { remember: Some(5), ..RuleLimits::default() },
        RuleLimits { remembered: Some(5), ..RuleLimits::default() },
        RuleLimits { hold_for: Some(5), ..RuleLimits::default() },
        RuleLimits { hold_count: Some(5), ..RuleLimits::default() },
        RuleLimits { hold_octets: Some(5), ..RuleLimits::default() },
        RuleLimits { trails: Some(5), ..RuleLimits::default() },
        RuleLimits { validity: Some(5), ..RuleLimits::default() },
        RuleLimits { release: Some(5), ..RuleLimits::default() },
        RuleLimits { release: Some(0), ..RuleLimits::default() },
        RuleLimits::default(),
    ];
    let digests: BTreeSet<Digest> = ones.iter().map(|one| content::digest(&rule(one.clone()))).collect();
    assert_eq!(digests.len(), ones.len());
    let (a, b) = (Rule { name: "a".into(), ..Rule::default() }, Rule { name: "b".into(), ..Rule::default() });
    assert_eq!(content::digest(&[a.clone(), b.clone()]), content::digest(&[b, a]));
}

/// A detector that knows nothing about a member finds the one differing client among thousands (10,000 with
/// HERONROUTE_LONG, at the same tree depth) with as many queries as the tree is deep.
#[test]
fn one_altered_client_among_thousands_is_found_in_four_queries() {
    let life = Life { name: Name::new("b").unwrap(), start: Start(1) };
    let clients = if std::env::var("HERONROUTE_LONG").is_ok() { 10_000 } else { 3_000 };
    for altered in [0, clients - 1] {
        let mut detector = Detector::new(Config::new(Name::new("a").unwrap(), [3; 32]));
        let mut reporter = Reporter::new(life.clone());
        detector.members(0, &life, "north", Standing::Alive);
        for number in 0..clients {
            let (client, digest) = (format!("client-{number}"), digest_of(number));
            let desired = Desired { client: client.clone(), version: 1, digest, at: -100 * S, uncut: None };
            detector.desired(0, &desired);
            reporter.live(&client, 1, if number == altered { digest_of(u64::MAX) } else { digest }, None);
        }
        // Only the root is reported at first, since more clients changed than the reporter tracks.
        let mut report = reporter.report(Health::default());
        report.clients.clear();
        detector.term(0, Term(1), true);
        detector.report(0, &report);
        let (mut queries, mut largest) = (0, 0);
        while let Some(output) = detector.poll() {
            match output {
                Output::Ask(ask) => {
                    queries += 1;
                    let tell = reporter.tell(&ask).unwrap();
                    if let TreeNode::Branch(below) = &tell.node {
                        assert_eq!(below.len(), FAN_OUT);
                    } else if let TreeNode::Bucket(clients) = &tell.node {
                        assert!(clients.len() <= MAX_BUCKET_CLIENTS);
                    }
                    largest = largest.max(postcard::to_stdvec(&tell).unwrap().len());
                    detector.tell(0, &tell);
                }
                Output::Ack(ack) => assert!(reporter.handle_ack(&ack)),
                _ => {}
            }
        }
        detector.report(1, &reporter.report(Health::default()));
        assert!((1..=4).contains(&queries), "{queries} queries");
        assert!(largest < 700, "{largest} bytes");
        assert_eq!(detector.verdict(1, &life.name), Some(Verdict::Altered));
        let line = detector.view(1).members.remove(0);
        assert_eq!(line.client, Some(format!("client-{altered}")));
    }
}

/// Replies are verified against the digest above the node. False nodes and invalid paths are rejected without
/// harm.
#[test]
fn invalid_tree_replies_are_dropped() {
    let life = Life { name: Name::new("b").unwrap(), start: Start(1) };
    let mut detector = Detector::new(Config::new(Name::new("a").unwrap(), [3; 32]));
    detector.members(0, &life, "north", Standing::Alive);
    for number in 0..100 {
        let desired = Desired {
            client: format!("c{number}"),
            version: 1,
            digest: digest_of(number),
            at: -100 * S,
            uncut: None,
        };
        detector.desired(0, &desired);
    }
    detector.term(0, Term(1), true);
    let report = |number, root| Report {
        life: life.clone(),
        number,
        term: Term(1),
        root,
        clients: Vec::new(),
        health: Health::default(),
        echo: Some(heronroute_drift::report::Echo { term: Term(1), at: 0 }),
    };
    detector.report(0, &report(1, [9; 32]));
    let mut rng = SmallRng::seed_from_u64(1);
    for number in 2..400 {
        let node = match rng.random_range(0..3) {
            0 => TreeNode::Branch(vec![[1; 32]; rng.random_range(0..20)]),
            1 => TreeNode::Bucket(vec![
                AppliedRules {
                    client: "x".repeat(rng.random_range(0..100)),
                    version: 1,
                    digest: digest_of(1),
                    problem: None,
                    partly: None,
                };
                rng.random_range(0..20)
            ]),
            _ => TreeNode::Branch(vec![[2; 32]; FAN_OUT]),
        };
        let steps: Vec<u8> = (0..rng.random_range(0..3)).map(|_| rng.random_range(0..16)).collect();
        let path = Path::try_from(steps).unwrap();
        detector.tell(0, &TreeReply { life: life.clone(), number, root: [9; 32], path, node });
    }
    assert_eq!(detector.dropped().invalid_answers, 398);
    assert_ne!(detector.verdict(0, &life.name), Some(Verdict::InLine));
    assert!(Path::try_from(vec![16]).is_err() && Path::try_from(vec![0; 65]).is_err());
    assert!(postcard::from_bytes::<Path>(&[1, 16]).is_err());
}

/// A report lists the changed clients only, and repeats those that are not acknowledged.
#[test]
fn changes_are_reported_until_acknowledged() {
    let life = Life { name: Name::new("b").unwrap(), start: Start(1) };
    let mut reporter = Reporter::new(life.clone());
    for number in 0..100 {
        reporter.live(&format!("c{number:03}"), 1, digest_of(number), None);
    }
    let first = reporter.report(Health::default());
    let second = reporter.report(Health::default());
    assert_eq!((first.clients.len(), second.clients.len()), (64, 64));
    let said: BTreeSet<&String> = first.clients.iter().chain(&second.clients).map(|a| &a.client).collect();
    assert_eq!(said.len(), 100, "unreported clients come first");
    let echo = heronroute_drift::report::Echo { term: Term(1), at: 5 };
    assert!(reporter.handle_ack(&Ack { to: life.clone(), number: 2, echo }));
    assert!(reporter.report(Health::default()).clients.is_empty());
    reporter.live("c001", 2, digest_of(1), None);
    reporter.live("c001", 2, digest_of(1), None);
    let fourth = reporter.report(Health::default());
    assert_eq!((fourth.clients.len(), fourth.echo), (1, Some(echo)));
    reporter.live("c001", 3, digest_of(1), None);
    // The acknowledgement of an older state does not cover a later change.
    assert!(!reporter.handle_ack(&Ack { to: life, number: 4, echo }));
    assert_eq!(reporter.report(Health::default()).clients[0].version, 3);
}
