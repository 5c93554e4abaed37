//! The MQTT front end to end: real service, real sockets on loopback, an ordinary client from the registry, and
//! many sessions at once, audited from what crossed the sockets.

use heronroute_audit::{Effect, Told};
use heronroute_config::parse;
use heronroute_drill::{ClassSpec, ClientSpec, Day, Destination, Drill, Listed, Rules};
use heronroute_net::Service;
use heronroute_smpp::server::Mode;
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use heronroute_standins::model::{Incident, ReceiverModel, Trouble};
use heronroute_standins::mqtt::ClientOptions;
use heronroute_standins::mqtt_clients::{MqttPlan, PlannedMessage, Step};
use heronroute_standins::receivers::Speaks;
use heronroute_standins::smpp_clients::{Plan, Step as SmppStep};
use rumqttc::v5::mqttbytes::QoS;
use rumqttc::v5::mqttbytes::v5::{Packet, PublishProperties};
use rumqttc::v5::{Client, Event, MqttOptions};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MS: i64 = 1_000;
const S: i64 = 1_000_000;

fn day(destinations: Vec<Destination>, mqtt: Vec<MqttPlan>) -> Day {
    let class =
        |name, effect| ClassSpec { name, effect, aim: S, deadline: 8 * S, ordered: false, worth: 1.0 };
    Day {
        seed: 7,
        senders: 2,
        slots: 64,
        room: 8_000,
        classes: vec![class("PAY", Effect::SingleShot), class("STAT", Effect::Free)],
        clients: vec![
            ClientSpec { system_id: "oduya".into(), rate: 0.0 },
            ClientSpec { system_id: "askwell".into(), rate: 0.0 },
        ],
        destinations,
        plans: Vec::new(),
        mqtt,
        directory_errors: Vec::new(),
        stalls: Vec::new(),
        until: 30 * S,
        rules: Rules::default(),
        journal: None,
        more: String::new(),
    }
}

fn destination(number: i64) -> Destination {
    Destination {
        number,
        speaks: Speaks::Smpp,
        batch: 1,
        endpoints: vec![Listed::default(); 2],
        shape: ReceiverModel { pace: 3 * MS, width: 32, ..ReceiverModel::default() },
        incidents: Vec::new(),
        strays: false,
    }
}

fn letter(class: usize, destination: i64, n: usize) -> Step {
    Step::Submit(PlannedMessage {
        address: format!("{destination:06}{n:06}"),
        class: (["PAY", "STAT"][class], class),
        key: None,
        body: b"top up".to_vec(),
        qos: 1 + (n % 2) as u8,
    })
}

#[test]
fn two_thousand_sessions_come_back_at_once() {
    // Each hands in a message, is cut before most answers, and all return within a tenth of a second: half over
    // version 5.0, half over 3.1.1, of two clients.
    let plans = (0..2_000)
        .map(|i| {
            let user = ["oduya", "askwell"][i % 2];
            let who = ClientOptions::new(i % 4 < 2, user, &format!("m{i}"));
            let at = i as i64 * 50;
            let steps = vec![
                (100 * MS + at * 10, Step::Connect),
                (1_500 * MS + at, letter(i % 2, 1 + i as i64 % 4, i)),
                (1_620 * MS, Step::Cut),
                (1_900 * MS + at, Step::Connect),
            ];
            MqttPlan { who, returns: true, steps }
        })
        .collect();
    let o = Drill::start(day((1..=4).map(destination).collect(), plans)).unwrap().run().unwrap();
    assert_eq!(o.breaches, [], "no rule is broken");
    assert_eq!(o.wrong, [], "no client found anything wrong");
    assert_eq!((o.record.submissions.len(), o.refused.len()), (2_000, 0));
    let delivered = o.record.submissions.iter().filter(|s| s.answers[0].1 == Told::Delivered).count();
    assert_eq!(delivered, 2_000);
}

#[test]
fn both_fronts_at_once_through_lost_answers_and_cuts() {
    let mut d = destination(1);
    d.incidents = vec![Incident { from: S, to: 2 * S, trouble: Trouble::AnswerLost(0.3) }];
    let mqtt = [("five", true), ("three", false)].map(|(id, five)| {
        let mut steps = vec![(100 * MS, Step::Connect)];
        steps.extend((0..200).map(|n| (500 * MS + n as i64 * 10 * MS, letter(n % 2, 1, n))));
        steps.extend([
            (S, Step::Cut),
            (1_300 * MS, Step::Connect),
            (2 * S, Step::Cut),
            (2_200 * MS, Step::Connect),
        ]);
        steps.sort_by_key(|s| s.0);
        MqttPlan { who: ClientOptions::new(five, "oduya", id), returns: true, steps }
    });
    let mut day = day(vec![d], mqtt.to_vec());
    let mut steps = vec![(100 * MS, SmppStep::Bind(Mode::Transceiver))];
    steps.extend((0..200).map(|n| {
        let s = Submission {
            service: "STAT".into(),
            destination: format!("000001{:06}", 900_000 + n),
            wanted: ReceiptRequest::Always,
            body: b"top up".to_vec(),
            ..Submission::default()
        };
        (500 * MS + n as i64 * 10 * MS, SmppStep::Submit(Box::new(s), 1))
    }));
    day.plans = vec![Plan { system_id: "oduya".into(), password: "secret".into(), returns: false, steps }];
    let folder = std::env::temp_dir().join(format!("heronroute-mqtt-{}", std::process::id()));
    day.journal = Some(folder.clone());
    let o = Drill::start(day).unwrap().run().unwrap();
    _ = std::fs::remove_dir_all(folder);
    assert_eq!((o.breaches, o.wrong), (vec![], vec![]));
    assert_eq!(o.lies, [""; 0], "trails say what receivers recorded");
    assert_eq!(o.trails, 200);
    assert_eq!(o.record.submissions.len(), 600);
    let unknown = o.record.submissions.iter().filter(|s| s.answers[0].1 == Told::Unknown).count();
    assert!((5..80).contains(&unknown), "unsafe messages whose answer was lost: {unknown}");
}

/// A service with a receiver of its own, as an operator would set it up.
fn service(
    folder: &Path,
    more: &str,
) -> (Service, heronroute_standins::run::Running<heronroute_standins::receivers::Receivers>) {
    use heronroute_standins::receivers::{self, Endpoint, Receivers};
    use heronroute_standins::run::Running;
    let clock = heronroute_net::Clock::start();
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let endpoint = Endpoint {
        name: "a".into(),
        destination: 1,
        speaks: Speaks::Http,
        batches: false,
        leaves: None,
        strays: false,
    };
    let shape = ReceiverModel { pace: 2 * MS, width: 16, ..ReceiverModel::default() };
    let model = receivers::Destination { destination: 1, shape, incidents: Vec::new() };
    let receivers =
        Running::start(&[any], clock, |_| Receivers::new(vec![endpoint], vec![model], 1)).unwrap();
    let text = format!(
        "service {{ senders: 1 drain_for: \"2s\" }} smpp {{ listen: \"127.0.0.1:0\" }} \
         mqtt {{ listen: \"127.0.0.1:0\" }} journal {{ folder: \"{}\" }} \
         client {{ system_id: \"oduya\" password: \"secret\" {more} }} \
         class {{ name: \"PAY\" effect: \"single_shot\" deadline: \"5s\" }} \
         kind {{ name: \"k\" protocol: \"http\" }} route {{ destination: 1 }} \
         endpoint {{ name: \"a\" address: \"{}\" destination: 1 kind: \"k\" }}",
        folder.display(),
        receivers.addresses[0]
    );
    (Service::start(Arc::new(parse("test", &text).unwrap()), 1).unwrap(), receivers)
}

/// What an ordinary client hears until it has heard enough, or ten seconds have passed.
fn listen(connection: &mut rumqttc::v5::Connection, mut each: impl FnMut(&Packet) -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        if let Ok(Ok(Event::Incoming(packet))) = connection.recv_timeout(Duration::from_millis(200))
            && each(&packet)
        {
            return;
        }
    }
    panic!("not heard in time");
}

#[test]
fn an_ordinary_client_hands_in_and_hears_its_answers() {
    let folder = std::env::temp_dir().join(format!("heronroute-ordinary-{}", std::process::id()));
    let (service, receivers) = service(&folder, "rate: 100 burst: 5");
    let mut options = MqttOptions::new("till-7", "127.0.0.1", service.mqtt_address().unwrap().port());
    options.set_credentials("oduya", "secret").set_keep_alive(Duration::from_secs(5));
    let (client, mut connection) = Client::new(options, 100);
    client.subscribe("tills/7/#", QoS::AtLeastOnce).unwrap();
    let hand = |n: usize, qos| {
        let properties = PublishProperties {
            response_topic: Some("tills/7/answers".into()),
            correlation_data: Some(format!("n{n}").into_bytes().into()),
            message_expiry_interval: Some(4),
            user_properties: vec![("class".into(), "PAY".into())],
            ..PublishProperties::default()
        };
        client
            .publish_with_properties(format!("to/234{n:06}"), qos, false, "top up 100", properties)
            .unwrap();
    };
    for n in 0..20 {
        hand(n, [QoS::AtLeastOnce, QoS::ExactlyOnce][n % 2]);
    }
    let (mut acked, mut refused) = (BTreeMap::new(), 0);
    let mut told = BTreeMap::new();
    listen(&mut connection, |packet| {
        match packet {
            Packet::PubAck(p) if p.reason as u8 == 0 => {
                let id = p.properties.as_ref().map(|p| p.user_properties.clone());
                acked.insert(p.pkid, id);
            }
            Packet::PubRec(p) if p.reason as u8 == 0 => {
                let id = p.properties.as_ref().map(|p| p.user_properties.clone());
                acked.insert(p.pkid, id);
            }
            Packet::PubAck(_) | Packet::PubRec(_) => refused += 1,
            Packet::Publish(p) => {
                assert_eq!(p.topic, "tills/7/answers");
                let properties = p.properties.clone().unwrap();
                let correlation = properties.correlation_data.unwrap();
                told.insert(correlation.to_vec(), properties.user_properties);
            }
            _ => {}
        }
        acked.len() + refused == 20 && told.len() == acked.len()
    });
    assert!(refused > 0 && acked.len() >= 5, "beyond its rate it is refused: {refused}");
    assert!(told.values().all(|p| p.contains(&("state".into(), "DELIVRD".into()))), "{told:?}");
    client.disconnect().unwrap();
    for event in connection.iter() {
        if event.is_err() {
            break;
        }
    }
    service.shut_down();
    let stats = service.join().unwrap();
    assert_eq!((stats.answers[0], stats.receipts), (acked.len() as u64, acked.len() as u64));
    let arrived = receivers.stop().unwrap().arrivals.len();
    assert_eq!(arrived, acked.len());
    _ = std::fs::remove_dir_all(folder);
}
