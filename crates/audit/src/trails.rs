//! Trails, line by line against what receivers recorded.

use crate::{Arrival, Record, Verdict};
use std::collections::BTreeMap;

/// What a trail says of one endpoint.
#[derive(Default)]
struct Said {
    attempts: usize,
    never_left: usize,
    taken: usize,
    turned_away: usize,
}

/// Compares each message's trail with its arrivals; gives what does not fit. A trail's lines are times and words, as
/// the service tells them over MQTT.
pub fn trails(record: &Record, told: &BTreeMap<String, String>) -> Vec<String> {
    let mut by_message: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for a in &record.arrivals {
        by_message.entry(&a.message).or_default().push(a);
    }
    let none = Vec::new();
    let mut wrong = Vec::new();
    for (message, text) in told {
        let arrivals = by_message.get(message.as_str()).unwrap_or(&none);
        one(message, text, arrivals, &mut wrong);
    }
    wrong
}

fn one(message: &str, text: &str, arrivals: &[&Arrival], wrong: &mut Vec<String>) {
    let mut said: BTreeMap<&str, Said> = BTreeMap::new();
    let mut at = "";
    for line in text.lines().skip(1) {
        let words = line.split_once(' ').map_or(line, |(_, words)| words);
        if let Some(endpoint) = words.strip_prefix("attempt at ") {
            at = endpoint;
        }
        let s = said.entry(at).or_default();
        match words {
            "never left" => s.never_left += 1,
            "taken by the receiver" => s.taken += 1,
            "turned away by the receiver" => s.turned_away += 1,
            w if w.starts_with("attempt at ") => s.attempts += 1,
            _ => {}
        }
    }
    let mut fault = |what: String| wrong.push(format!("{message}: {what}\n{text}"));
    let of = |e: &str| arrivals.iter().filter(|a| a.endpoint == e).collect::<Vec<_>>();
    for (endpoint, s) in &said {
        let mine = of(endpoint);
        if mine.len() > s.attempts - s.never_left.min(s.attempts) {
            fault(format!("{} arrivals at {endpoint}, more than left by its trail", mine.len()));
        }
        if s.taken > mine.iter().filter(|a| a.ran).count() {
            fault(format!("told as taken by {endpoint}, which has no such arrival"));
        }
        if s.turned_away > mine.iter().filter(|a| matches!(a.verdict, Verdict::Busy(_))).count() {
            fault(format!("told as turned away by {endpoint}, which did not"));
        }
    }
    if let Some(a) = arrivals.iter().find(|a| !said.contains_key(a.endpoint.as_str())) {
        fault(format!("an arrival at {} that its trail does not have", a.endpoint));
    }
    let delivered = text.contains("answer DELIVRD");
    let ran = arrivals.iter().any(|a| a.ran);
    if delivered && !ran {
        fault("told as delivered, and it never ran".to_string());
    }
    if ran && !delivered && !text.ends_with("may have taken effect") {
        fault("it ran, and its trail does not say that it may have".to_string());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn arrival(endpoint: &str, verdict: Verdict, ran: bool) -> Arrival {
        Arrival {
            at: 0,
            earliest: 0,
            endpoint: endpoint.into(),
            destination: 1,
            sender: String::new(),
            message: "m".into(),
            verdict,
            ran,
            answered: None,
            broken: None,
        }
    }

    fn faults(arrivals: Vec<Arrival>, lines: &str) -> usize {
        let record = Record { arrivals, ..Record::default() };
        let told = BTreeMap::from([("m".to_string(), format!("id:m taken:1 by:mqtt/x\n{lines}"))]);
        trails(&record, &told).len()
    }

    #[test]
    fn each_lie_of_a_trail_is_found() {
        let ran = || arrival("a", Verdict::Done, true);
        let good = "2 attempt at a\n3 taken by the receiver\n4 answer DELIVRD";
        assert_eq!(faults(vec![ran()], good), 0);
        assert_eq!(faults(vec![], good), 2, "taken and delivered without an arrival");
        assert_eq!(faults(vec![ran(), ran()], good), 1, "an arrival too many");
        assert_eq!(faults(vec![ran(), arrival("b", Verdict::Silent, false)], good), 1, "one elsewhere");
        let unsent = "2 attempt at a\n3 never left\n4 answer EXPIRED";
        assert_eq!(faults(vec![], unsent), 0);
        assert_eq!(faults(vec![arrival("a", Verdict::Error, false)], unsent), 1);
        let lost = "2 attempt at a\n3 no proof that it had no effect\n4 answer UNKNOWN";
        assert_eq!(faults(vec![ran()], lost), 1, "it must say so");
        assert_eq!(faults(vec![ran()], &format!("{lost}\nmay have taken effect")), 0);
        let busy = "2 attempt at a\n3 turned away by the receiver\n4 answer EXPIRED";
        assert_eq!(faults(vec![arrival("a", Verdict::Busy(0), false)], busy), 0);
        assert_eq!(faults(vec![arrival("a", Verdict::Error, false)], busy), 1);
    }
}
