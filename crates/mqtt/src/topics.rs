//! Topics of requests, and the matching of topics against subscription filters.

/// The maximum length in bytes of a topic, filter, client identifier, user property value or correlation
/// data.
pub const MAX_LENGTH: usize = 256;

/// The request that a publication to a topic makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Submits a message: `to/<address>[/<class>[/<key>[/<name>]]]`; an empty level counts as absent.
    Message {
        /// The destination address.
        address: String,
        /// The class; empty for the first class.
        class: String,
        /// The ordering key, in classes that keep order.
        key: Option<String>,
        /// The client's own name for the message.
        name: Option<String>,
    },
    /// Queries the state of a message: `ask/<message>`.
    Ask(String),
    /// Withdraws a message: `withdraw/<message>`.
    Withdraw(String),
    /// Handles held messages: `held/list[/<after>]`, `held/show/<message>`, `held/again/<message>[/new]`,
    /// `held/drop/<message>`, `held/release[/<destination>]`, `held/stop`.
    Held(Vec<String>),
    /// Handles the client's own rules, and queries the fleet: `rules/show`, `rules/check`, `rules/submit`,
    /// `rules/back/<version>`, `rules/approve/<client>/<version>`, `rules/refuse/<client>/<version>`,
    /// `fleet/members`, `fleet/drift`. Holds all levels of the topic.
    Rules(Vec<String>),
}

/// Parses a topic; returns `None` if it makes no request.
pub fn parse_target(topic: &str) -> Option<Target> {
    if topic.len() > MAX_LENGTH {
        return None;
    }
    let mut levels = topic.split('/');
    let first = levels.next()?;
    let mut level = || levels.next().unwrap_or_default().to_string();
    let non_empty = |text: String| Some(text).filter(|t| !t.is_empty());
    let target = match first {
        "to" => Target::Message {
            address: level(),
            class: level(),
            key: non_empty(level()),
            name: non_empty(level()),
        },
        "ask" => Target::Ask(level()),
        "withdraw" => Target::Withdraw(level()),
        "held" => Target::Held(levels.by_ref().take(3).map(str::to_string).collect()),
        "rules" | "fleet" => {
            Target::Rules([first].into_iter().chain(levels.by_ref().take(3)).map(str::to_string).collect())
        }
        _ => return None,
    };
    let complete = match &target {
        Target::Message { address, key, .. } => {
            !address.is_empty() && key.as_ref().is_none_or(|k| k.len() <= 64)
        }
        Target::Ask(id) | Target::Withdraw(id) => !id.is_empty(),
        Target::Held(levels) => !levels.is_empty(),
        Target::Rules(levels) => match &levels.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["rules", "show" | "check" | "submit"] | ["fleet", "members" | "drift"] => true,
            ["rules", "back", version] => !version.is_empty(),
            ["rules", "approve" | "refuse", client, version] => !client.is_empty() && !version.is_empty(),
            _ => false,
        },
    };
    (complete && levels.next().is_none()).then_some(target)
}

/// Returns whether a text is a valid topic to publish to.
pub fn is_topic(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_LENGTH && !text.contains(['+', '#', '\0'])
}

/// Returns whether a text is a valid filter (MQTT 5.0, 4.7.1): `+` stands for a whole level, `#` only for the
/// last.
pub fn is_filter(text: &str) -> bool {
    let levels: Vec<&str> = text.split('/').collect();
    let last = levels.len() - 1;
    let valid_level = |(index, level): (usize, &&str)| match *level {
        "+" => true,
        "#" => index == last,
        other => !other.contains(['+', '#', '\0']),
    };
    !text.is_empty() && text.len() <= MAX_LENGTH && levels.iter().enumerate().all(valid_level)
}

/// Returns whether a topic matches a filter.
pub fn matches_filter(topic: &str, filter: &str) -> bool {
    // Leading wildcards don't match topics that begin with `$`.
    if topic.starts_with('$') && filter.starts_with(['+', '#']) {
        return false;
    }
    let (mut topic, mut filter) = (topic.split('/'), filter.split('/'));
    loop {
        match (topic.next(), filter.next()) {
            (_, Some("#")) | (None, None) => return true,
            (Some(_), Some("+")) => {}
            (Some(t), Some(f)) if t == f => {}
            _ => return false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn topics_parse_and_filters_match() {
        let full = parse_target("to/0001/ALRT/k/n").unwrap();
        let (key, name) = (Some("k".into()), Some("n".into()));
        assert_eq!(full, Target::Message { address: "0001".into(), class: "ALRT".into(), key, name });
        assert!(
            matches!(parse_target("to/0001"), Some(Target::Message { class, key: None, .. }) if class.is_empty())
        );
        for invalid in ["", "to", "to/", "to/1/2/3/4/5", "ask", "ask/", "ask/1/2", "answers/x", "/to/1"] {
            assert_eq!(parse_target(invalid), None, "{invalid}");
        }
        let request = |t: &str| Some(Target::Rules(t.split('/').map(str::to_string).collect()));
        for topic in ["rules/show", "rules/submit", "rules/back/3", "rules/approve/c/4", "fleet/drift"] {
            assert_eq!(parse_target(topic), request(topic));
        }
        for invalid in [
            "rules",
            "rules/",
            "rules/shown",
            "rules/show/1",
            "rules/back",
            "rules/back/",
            "rules/approve/c",
            "rules/approve/c/1/2",
            "fleet",
            "fleet/",
            "fleet/show",
        ] {
            assert_eq!(parse_target(invalid), None, "{invalid}");
        }
        for (topic, filter, matches) in [
            ("answers/a", "answers/a", true),
            ("answers/a", "answers/+", true),
            ("answers/a", "#", true),
            ("answers", "answers/#", true),
            ("answers/a/b", "answers/+", false),
            ("answers/a", "answers", false),
            ("$sys/a", "#", false),
        ] {
            assert!(is_filter(filter));
            assert_eq!(matches_filter(topic, filter), matches, "{topic} {filter}");
        }
        for invalid in ["", "a+", "a/#/b", "#a", "a/b#"] {
            assert!(!is_filter(invalid), "{invalid}");
        }
        assert!(is_topic("a/b") && !is_topic("a/+") && !is_topic(""));
    }
}
