//! A blocking MQTT 5 client for driving processes under test: hand in, ask, wait for answers until a deadline.

use rumqttc::v5::mqttbytes::QoS;
use rumqttc::v5::mqttbytes::v5::{Packet, PubAckProperties, PubAckReason, PublishProperties};
use rumqttc::v5::{Connection, Event, MqttOptions};
use rumqttc::{Outgoing, v5};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Publications whose acknowledgement or answers were not asked for yet, at most.
const MOST: usize = 10_000;
/// Numbers are unique in this process: an answer that was not acknowledged before a connection was lost is told again on
/// the next one under the same identifier, and must not be taken for the answer to a later question.
static NEXT: AtomicU64 = AtomicU64::new(1);
/// Between two tries to connect.
const PAUSE: Duration = Duration::from_millis(20);

/// Why nothing was heard.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection is lost; what is not acknowledged may or may not have come. Connect anew.
    #[error("the connection is lost: {0}")]
    Lost(String),
    /// Nothing came in time.
    #[error("{0} not heard in time")]
    Late(&'static str),
    /// The publication was refused.
    #[error("refused with 0x{0:02X} {1}")]
    Refused(u8, String),
    /// An answer is no JSON.
    #[error("no JSON ({1}): {0}")]
    Json(String, serde_json::Error),
    /// Too many publications wait for somebody who asks what became of them.
    #[error("10,000 publications are not looked at")]
    Full,
}

type Result<T> = std::result::Result<T, ClientError>;

/// Who connects.
#[derive(Clone, Debug)]
pub struct Login {
    /// The front's address.
    pub at: SocketAddr,
    /// The user name: `client { system_id: }`.
    pub user: String,
    /// The password.
    pub password: String,
    /// The client identifier; answers go to the topic `answers/<id>`.
    pub id: String,
}

impl Login {
    /// With the password `secret`.
    pub fn new(at: SocketAddr, user: &str, id: &str) -> Self {
        Login { at, user: user.into(), password: "secret".into(), id: id.into() }
    }
}

/// What an answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its text.
    pub text: String,
    /// Its user properties.
    pub properties: Vec<(String, String)>,
}

/// A client that is connected and hears its answers.
pub struct Client {
    client: v5::Client,
    connection: Connection,
    topic: String,
    /// Published, not yet given a packet identifier.
    queued: VecDeque<u64>,
    /// By packet identifier.
    out: BTreeMap<u16, u64>,
    acks: BTreeMap<u64, std::result::Result<Option<String>, (u8, String)>>,
    answers: BTreeMap<u64, VecDeque<Answer>>,
    /// Whose acknowledgement or answer nobody has asked for.
    open: BTreeSet<u64>,
    lost: Option<String>,
}

impl Client {
    /// Connects, trying again until the deadline, and subscribes to its answers. The session is new and ends with the
    /// connection.
    ///
    /// # Errors
    /// Where it is not let in before the deadline: what the last try found.
    pub fn connect(login: &Login, within: Duration) -> Result<Self> {
        let end = Instant::now() + within;
        loop {
            match Client::once(login, end) {
                Err(ClientError::Lost(why)) if Instant::now() + PAUSE >= end => {
                    return Err(ClientError::Lost(why));
                }
                Err(ClientError::Lost(_)) => std::thread::sleep(PAUSE),
                done => return done,
            }
        }
    }

    fn once(login: &Login, end: Instant) -> Result<Self> {
        let mut options = MqttOptions::new(&login.id, login.at.ip().to_string(), login.at.port());
        options.set_credentials(&login.user, &login.password);
        // A paused process is the test's business; nothing here gives up on it before the deadline does.
        options.set_keep_alive(Duration::from_secs(600)).set_clean_start(true);
        // Guards against answers of more than the library's 10 KiB, by which the connection would be lost: a history of
        // verdicts, say.
        options.set_max_packet_size(Some(1 << 20));
        let (client, connection) = v5::Client::new(options, 100);
        let mut this = Client {
            client,
            connection,
            topic: format!("answers/{}", login.id),
            queued: VecDeque::new(),
            out: BTreeMap::new(),
            acks: BTreeMap::new(),
            answers: BTreeMap::new(),
            open: BTreeSet::new(),
            lost: None,
        };
        this.client.subscribe(&this.topic, QoS::AtLeastOnce).map_err(|e| ClientError::Lost(e.to_string()))?;
        loop {
            match this.step(end, "the subscription")? {
                Some(Packet::SubAck(_)) => return Ok(this),
                _ => continue,
            }
        }
    }

    /// Takes one event. Gives packets that are of no use to it.
    fn step(&mut self, end: Instant, what: &'static str) -> Result<Option<Packet>> {
        if let Some(why) = &self.lost {
            return Err(ClientError::Lost(why.clone()));
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ClientError::Late(what));
        }
        let event = match self.connection.recv_timeout(left) {
            Ok(Ok(event)) => event,
            Ok(Err(e)) => {
                // The library would connect again by itself and send again what is open; a test must know.
                self.lost = Some(e.to_string());
                return Err(ClientError::Lost(e.to_string()));
            }
            Err(_) => return Err(ClientError::Late(what)),
        };
        match event {
            Event::Outgoing(Outgoing::Publish(packet)) => {
                if let Some(number) = self.queued.pop_front() {
                    self.out.insert(packet, number);
                }
            }
            Event::Incoming(Packet::PubAck(ack)) => {
                if let Some(number) = self.out.remove(&ack.pkid) {
                    self.acks.insert(number, acked(code(ack.reason), ack.properties));
                }
            }
            Event::Incoming(Packet::Publish(told)) => {
                let properties = told.properties.unwrap_or_default();
                let correlation = properties.correlation_data.as_deref().and_then(|c| c.try_into().ok());
                if let Some(number) = correlation.map(u64::from_be_bytes)
                    && (self.answers.len() < MOST || self.open.contains(&number))
                {
                    let text = String::from_utf8_lossy(&told.payload).into_owned();
                    let answer = Answer { text, properties: properties.user_properties };
                    self.answers.entry(number).or_default().push_back(answer);
                }
            }
            Event::Incoming(packet) => return Ok(Some(packet)),
            Event::Outgoing(_) => {}
        }
        Ok(None)
    }

    /// Publishes with quality 1, user properties and the topic of its answers; gives a number by which to ask what became
    /// of it. It leaves with the next call that waits.
    ///
    /// # Errors
    /// Where the connection is lost, or 10,000 are not looked at.
    pub fn publish(&mut self, topic: &str, payload: &str, properties: &[(&str, &str)]) -> Result<u64> {
        if self.open.len() >= MOST {
            return Err(ClientError::Full);
        }
        // The library's queue has 100 places and is emptied by `step` alone.
        while self.queued.len() >= 50 {
            self.step(Instant::now() + Duration::from_secs(30), "room to publish")?;
        }
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let properties = PublishProperties {
            response_topic: Some(self.topic.clone()),
            correlation_data: Some(number.to_be_bytes().to_vec().into()),
            user_properties: properties.iter().map(|(k, v)| ((*k).into(), (*v).into())).collect(),
            ..PublishProperties::default()
        };
        let payload = payload.as_bytes().to_vec();
        let sent = self.client.publish_with_properties(topic, QoS::AtLeastOnce, false, payload, properties);
        sent.map_err(|e| ClientError::Lost(e.to_string()))?;
        self.queued.push_back(number);
        self.open.insert(number);
        Ok(number)
    }

    /// Waits until a publication is acknowledged; gives the identity that the service gave it, if any.
    ///
    /// # Errors
    /// Where it is refused, late, or the connection is lost.
    pub fn acknowledged(&mut self, number: u64, within: Duration) -> Result<Option<String>> {
        let end = Instant::now() + within;
        loop {
            match self.acks.get(&number) {
                Some(Ok(identity)) => return Ok(identity.clone()),
                Some(Err((code, why))) => return Err(ClientError::Refused(*code, why.clone())),
                None => _ = self.step(end, "an acknowledgement")?,
            }
        }
    }

    /// Waits for the next answer to a publication, also one made on an earlier connection (10,000 that nobody asked for
    /// are kept; further ones are passed over); a refusal ends the wait, too.
    ///
    /// # Errors
    /// Where it is refused, late, or the connection is lost.
    pub fn answer(&mut self, number: u64, within: Duration) -> Result<Answer> {
        let end = Instant::now() + within;
        loop {
            if let Some(answer) = self.answers.get_mut(&number).and_then(VecDeque::pop_front) {
                return Ok(answer);
            }
            if let Some(Err((code, why))) = self.acks.get(&number) {
                return Err(ClientError::Refused(*code, why.clone()));
            }
            self.step(end, "an answer")?;
        }
    }

    /// Nothing more is wanted of a publication.
    pub fn done(&mut self, number: u64) {
        self.open.remove(&number);
        self.acks.remove(&number);
        self.answers.remove(&number);
    }

    /// Publishes and waits for one answer.
    ///
    /// # Errors
    /// As [`Client::publish`] and [`Client::answer`].
    pub fn ask(&mut self, topic: &str, payload: &str, within: Duration) -> Result<String> {
        let number = self.publish(topic, payload, &[])?;
        let answer = self.answer(number, within);
        self.done(number);
        answer.map(|a| a.text)
    }

    /// Likewise where question and answer are JSON.
    ///
    /// # Errors
    /// As [`Client::ask`], and where the answer is no JSON.
    pub fn ask_json(
        &mut self,
        topic: &str,
        question: &serde_json::Value,
        within: Duration,
    ) -> Result<serde_json::Value> {
        let payload = if question.is_null() { String::new() } else { question.to_string() };
        let text = self.ask(topic, &payload, within)?;
        serde_json::from_str(&text).map_err(|e| ClientError::Json(text, e))
    }
}

fn acked(
    code: u8,
    properties: Option<PubAckProperties>,
) -> std::result::Result<Option<String>, (u8, String)> {
    let properties =
        properties.unwrap_or(PubAckProperties { reason_string: None, user_properties: Vec::new() });
    if code >= 0x80 {
        return Err((code, properties.reason_string.unwrap_or_default()));
    }
    Ok(properties.user_properties.into_iter().find(|(key, _)| key == "message").map(|(_, id)| id))
}

/// The code on the wire; the library keeps it to itself.
fn code(reason: PubAckReason) -> u8 {
    match reason {
        PubAckReason::Success => 0,
        PubAckReason::NoMatchingSubscribers => 0x10,
        PubAckReason::UnspecifiedError => 0x80,
        PubAckReason::ImplementationSpecificError => 0x83,
        PubAckReason::NotAuthorized => 0x87,
        PubAckReason::TopicNameInvalid => 0x90,
        PubAckReason::PacketIdentifierInUse => 0x91,
        PubAckReason::QuotaExceeded => 0x97,
        PubAckReason::PayloadFormatInvalid => 0x99,
    }
}
