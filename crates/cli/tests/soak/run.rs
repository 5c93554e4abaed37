//! One run: processes, clients, endpoints and discovery, whose faults are drawn from the run's seed.

use crate::alone::{MS, Sender, set_up};
use crate::clients::{DESTINATIONS, MESSAGE_TIME, Submitted, client};
use crate::crowd;
use crate::endpoint::{ENDPOINTS_PER_DESTINATION, Profile, discovery, endpoint};
use crate::incoming::MOST_IN_BULK;
use crate::judge::{Case, MACHINE_SLACK, REPEAT_WINDOW, START_SLACK, Wait, judge, judge_run};
use crate::member::Member;
use crate::world::{Random, Trail, World, serve};
use serde_json::{Value, json};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// How long messages are submitted in a run.
const SPAN: Duration = Duration::from_secs(8);
const CLIENTS: u64 = 6;
/// One run in so many has a crowd of idle clients.
const CROWD_EVERY: u64 = 4;
/// One run in so many has a crowd and answers that make the process hold as much as it can, and so much memory and so many
/// descriptors.
const GREEDY_EVERY: u64 = 5;
const LEAST_MEMORY_MB: u64 = 32;
const GREEDY_SOCKETS: usize = 1_024;
/// The descriptors that a process knows of in other runs.
const SOCKETS: usize = 128;
/// One run in so many has an endpoint that drains and returns again and again.
const TOGGLING_EVERY: u64 = 7;
/// In one run of so many an endpoint changes its address again and again.
const MOVING_EVERY: u64 = 4;
/// One endpoint in so many that leave the list is removed, the others drain.
const REMOVED_EVERY: u64 = 3;
/// In one run of so many, messages have bodies that fill the journal.
const LARGE_BODIES_EVERY: u64 = 4;
/// The processes of a run: one, or in some runs several that share the endpoints.
const PROCESSES: [usize; 5] = [1, 1, 3, 1, 2];

/// What came of a run.
pub struct Outcome {
    pub broken: Vec<String>,
    /// The number of messages that were accepted.
    pub accepted: usize,
}

/// Starts a run's endpoints, and returns the list of them.
fn start_endpoints(seed: u64, address: Ipv4Addr, world: &Arc<World>) -> Vec<Value> {
    let start = |number: u64| {
        let seen = world.clone();
        let at = serve(address, world, move |stream, count| {
            let own_seed = seed * 1_000_003 + number * 1_009 + count;
            endpoint(number as usize, stream, Profile::of_run(seed, is_greedy(seed)), own_seed, &seen);
        });
        let cell = 1 + number / ENDPOINTS_PER_DESTINATION;
        let kind = if cell == DESTINATIONS { "bulk" } else { "m" };
        json!({"id": format!("e{number}"), "addr": at, "zone": "a", "kind": kind, "cell": cell,
            "state": "SERVING", "weight": 400.0})
    };
    (0..=DESTINATIONS * ENDPOINTS_PER_DESTINATION).map(start).collect()
}

/// Writes a process's settings, with a discovery of its own.
fn configure(sender: &Sender, process: usize, seed: u64, world: &Arc<World>) {
    let seen = world.clone();
    let discovery_at = serve(ipv4(sender), world, move |stream, count| {
        discovery(process, stream, seed + count, &seen);
    });
    let file = sender.folder.join("config.json");
    let text = std::fs::read_to_string(&file).unwrap();
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["discovery"] = json!(discovery_at);
    for profile in config["settings"]["Profiles"].as_array_mut().unwrap() {
        if profile["Name"] == "keyed" {
            profile["WindowUs"] = (REPEAT_WINDOW.as_micros() as u64).into();
        }
    }
    if is_greedy(seed) {
        config["limits"]["memory_mb"] = LEAST_MEMORY_MB.into();
    }
    config["settings"]["Shapes"] = json!(["m", "bulk"]);
    config["settings"]["FamilyInfo"]["Workers"] = 24.into();
    config["settings"]["FamilyInfo"]["BatchByKind"] = json!([1, MOST_IN_BULK]);
    std::fs::write(file, config.to_string()).unwrap();
}

/// Whether a run has a crowd that makes the process hold as much as it can.
fn is_greedy(seed: u64) -> bool {
    seed % GREEDY_EVERY == 1
}

fn ipv4(sender: &Sender) -> Ipv4Addr {
    match sender.listen.ip() {
        IpAddr::V4(address) => address,
        IpAddr::V6(_) => unreachable!("loopback of IPv4"),
    }
}

/// Starts the processes of a run, with all that is around them.
fn start(seed: u64, world: &Arc<World>) -> Vec<Member> {
    let quantum = [1_000, 5_000, 20_000][(seed % 3) as usize];
    let sockets = if is_greedy(seed) { GREEDY_SOCKETS } else { SOCKETS };
    let processes = PROCESSES[(seed % PROCESSES.len() as u64) as usize];
    let senders: Vec<Sender> =
        (0..processes).map(|process| set_up(&format!("soak-{seed}-{process}"), sockets, quantum)).collect();
    let mut servers = start_endpoints(seed, ipv4(&senders[0]), world);
    if let Some(spare) = servers.pop() {
        world.listing.set_spare(servers.len(), spare["addr"].clone());
    }
    world.listing.set_entries(&servers, processes);
    for (process, sender) in senders.iter().enumerate() {
        configure(sender, process, seed, world);
    }
    let start = |(process, sender)| Member::start(process, sender, world);
    senders.into_iter().enumerate().map(start).collect()
}

/// Waits, and lets one endpoint of a destination drain, return or hang, where the other one serves all the time, or
/// discovery fall silent. In one run of so many one endpoint drains and returns, or changes its address, again and again.
fn fault_surroundings(seed: u64, world: &World, random: &mut Random) -> String {
    if seed.is_multiple_of(TOGGLING_EVERY) {
        sleep(random.millis(1_500, 3_000));
        return format!("{:?} {}", Instant::now(), world.listing.toggle(0, random.one_in(REMOVED_EVERY)));
    }
    if seed % MOVING_EVERY == 3 {
        sleep(random.millis(300, 900));
        return format!("{:?} {}", Instant::now(), world.listing.toggle_address());
    }
    sleep(random.millis(300, 1_500));
    if random.one_in(6) {
        let span = random.millis(300, 2_500);
        world.listing.fall_silent(span);
        return format!("{:?} discovery is silent for {span:?}", Instant::now());
    }
    if random.one_in(4) {
        return format!("{:?} {}", Instant::now(), world.listing.toggle_address());
    }
    let endpoint = (random.below(DESTINATIONS) * ENDPOINTS_PER_DESTINATION) as usize;
    if random.one_in(3) {
        let span = random.millis(200, 2_500);
        world.hang(endpoint, span);
        return format!("{:?} endpoint {endpoint} hangs for {span:?}", Instant::now());
    }
    format!("{:?} {}", Instant::now(), world.listing.toggle(endpoint, random.one_in(REMOVED_EVERY)))
}

/// Plays clients and faults until the end of the run's span. Returns all messages, and the faults of endpoints
/// and discovery.
fn play_faults(seed: u64, members: &mut [Member], world: &World) -> (Vec<Submitted>, Vec<String>) {
    let (stop, all) = (AtomicBool::new(false), Mutex::new(Vec::<Submitted>::new()));
    let listens: Vec<_> = members.iter().map(Member::listen).enumerate().collect();
    let end = Instant::now() + SPAN;
    let mut faults = Vec::new();
    scope(|threads| {
        for name in 0..CLIENTS {
            let (process, stop, all) = (listens[name as usize % listens.len()], &stop, &all);
            let has_large_bodies = seed % LARGE_BODIES_EVERY == 2;
            threads.spawn(move || client(process, name, seed * 31 + name, has_large_bodies, stop, all));
        }
        if seed.is_multiple_of(CROWD_EVERY) {
            let ((_, listen), stop) = (listens[0], &stop);
            threads.spawn(move || crowd::rest(listen, stop));
        }
        if is_greedy(seed) {
            let ((_, listen), stop) = (listens[0], &stop);
            threads.spawn(move || crowd::be_greedy(listen, stop));
        }
        let played: Vec<_> = members
            .iter_mut()
            .enumerate()
            .map(|(process, member)| {
                let (mut random, all) = (Random::new(seed ^ (0x5EED + process as u64)), &all);
                threads.spawn(move || {
                    while Instant::now() < end {
                        sleep(random.millis(100, 700));
                        member.fault(&mut random);
                        all.lock().unwrap().append(&mut member.left_unread);
                    }
                })
            })
            .collect();
        let mut random = Random::new(seed ^ 0xE4D5);
        while Instant::now() < end {
            faults.push(fault_surroundings(seed, world, &mut random));
        }
        let results: Vec<_> = played.into_iter().map(|thread| thread.join()).collect();
        stop.store(true, Ordering::Relaxed);
        results.into_iter().for_each(|result| result.unwrap());
    });
    (all.into_inner().unwrap(), faults)
}

/// The waits that the messages' answers told their processes.
fn told_waits(all: &[Submitted], trails: &HashMap<String, Trail>) -> Vec<Wait> {
    let of_message = |message: &Submitted| {
        let (process, dest) = (message.process, message.dest);
        let told = trails
            .get(&message.id)
            .into_iter()
            .flat_map(|trail| trail.waits.iter().map(|(told, until)| (*told, *until, trail.steps.clone())));
        told.map(move |(told, until, steps)| Wait { process, dest, told, until, steps })
    };
    all.iter().flat_map(of_message).collect()
}

/// Calls and notices of messages that no client has submitted.
fn unknown_messages(all: &[Submitted], trails: &HashMap<String, Trail>) -> Vec<String> {
    let known: HashSet<&str> = all.iter().map(|message| message.id.as_str()).collect();
    let unknown = trails.iter().filter(|(id, _)| !known.contains(id.as_str()));
    unknown.map(|(id, trail)| format!("{id} was never submitted: {:#?}", trail.steps)).collect()
}

/// Plays one seed.
pub fn play(seed: u64) -> Outcome {
    let world = Arc::new(World::default());
    let mut members = start(seed, &world);
    let (all, faults) = play_faults(seed, &mut members, &world);
    sleep(MESSAGE_TIME + START_SLACK + MACHINE_SLACK + 200 * MS);
    let trails = world.trails.lock().unwrap().clone();
    let (drains, tenancies) = (world.listing.drains(), world.listing.tenancies());
    members.iter_mut().for_each(Member::measure);
    members.iter_mut().for_each(Member::check_acceptance);
    let mut broken: Vec<String> =
        members.iter_mut().flat_map(|member| std::mem::take(&mut member.broken)).collect();
    members[0].history.has_crowd = seed.is_multiple_of(CROWD_EVERY) || is_greedy(seed);
    let waits = told_waits(&all, &trails);
    let unseen = Trail::default();
    let case = |message| Case {
        message,
        trail: trails.get(&message.id).unwrap_or(&unseen),
        process: &members[message.process].history,
        waits: &waits,
        drains: &drains,
        tenancies: &tenancies,
    };
    let cases: Vec<Case<'_>> = all.iter().map(case).collect();
    broken.extend(cases.iter().flat_map(judge));
    broken.extend(judge_run(&cases));
    broken.extend(unknown_messages(&all, &trails));
    world.over.store(true, Ordering::Relaxed);
    if !broken.is_empty() {
        println!("seed {seed}: faults of endpoints and discovery: {faults:#?}");
        for (process, member) in members.iter().enumerate() {
            let log = member.keep_log(&format!("{seed}-{process}"));
            println!("process {process}: faults, and the program's log in {log:?}: {:#?}", member.faults);
        }
    }
    Outcome { broken, accepted: all.iter().filter(|message| message.is_accepted()).count() }
}
