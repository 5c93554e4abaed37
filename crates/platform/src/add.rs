//! The arguments of `OUT.ADD`.

/// A submitted message, as the client wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Add {
    /// Its id.
    pub id: String,
    /// Its class, by name.
    pub class: String,
    /// Its tenant, by name.
    pub tenant: String,
    /// The time that remains to deliver it, in milliseconds.
    pub time_left_ms: u64,
    /// Its destination, by number.
    pub dest: i64,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Whether the client submits it again after a refusal.
    pub again: bool,
    /// Its body.
    pub body: Vec<u8>,
}

/// The command's name.
pub const NAME: &[u8] = b"OUT.ADD";

/// The maximum length of an id or a key, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Parses an id or a key. They are sent in header fields and in JSON, so only letters, digits and `-_.:` are
/// accepted.
fn parse_id(text: &[u8]) -> Option<String> {
    let has_valid_length = (1..=MAX_ID_BYTES).contains(&text.len());
    let is_allowed = |b: &u8| b.is_ascii_alphanumeric() || b"-_.:".contains(b);
    (has_valid_length && text.iter().all(is_allowed)).then(|| String::from_utf8_lossy(text).into_owned())
}

/// Why the arguments of a command can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AddError {
    /// The number of arguments is not four.
    #[error("OUT.ADD takes a key, an id, names and values, and a body")]
    Arguments,
    /// The id is empty or too long, or contains a character that is not allowed.
    #[error("the id can't be read")]
    Id,
    /// The names and values are not UTF-8.
    #[error("names and values are no text")]
    Pairs,
    /// A name has no `=`.
    #[error("a name without a value")]
    NameWithoutValue,
    /// The deadline is not a whole number of milliseconds.
    #[error("the deadline is no number")]
    Deadline,
    /// The destination is not a whole number.
    #[error("the destination is no number")]
    Destination,
    /// The idempotency key is empty or too long, or contains a character that is not allowed.
    #[error("the idempotency key can't be read")]
    Key,
    /// The deadline is missing or 0.
    #[error("a deadline is wanted")]
    NoDeadline,
    /// The destination is missing.
    #[error("a destination is wanted")]
    NoDestination,
}

impl Add {
    /// Parses the arguments that follow the command's name.
    ///
    /// # Errors
    /// If an argument is missing or invalid. The error names the first one.
    pub fn read(args: Vec<Vec<u8>>) -> Result<Add, AddError> {
        let [_, id, pairs, body]: [Vec<u8>; 4] = args.try_into().map_err(|_| AddError::Arguments)?;
        let mut add = Add { id: parse_id(&id).ok_or(AddError::Id)?, body, ..Add::default() };
        let pairs = std::str::from_utf8(&pairs).map_err(|_| AddError::Pairs)?;
        let (mut deadline_ms, mut dest) = (None, None);
        for pair in pairs.split(',') {
            let (name, value) = pair.split_once('=').ok_or(AddError::NameWithoutValue)?;
            match name {
                "c" => add.class = value.to_string(),
                "t" => add.tenant = value.to_string(),
                "d" => deadline_ms = Some(value.parse().map_err(|_| AddError::Deadline)?),
                "dest" => dest = Some(value.parse().map_err(|_| AddError::Destination)?),
                "k" => add.key = Some(parse_id(value.as_bytes()).ok_or(AddError::Key)?),
                "r" => add.again = value == "1",
                // Unknown names are ignored, since later clients may send more.
                _ => {}
            }
        }
        add.time_left_ms = deadline_ms.filter(|l| *l > 0).ok_or(AddError::NoDeadline)?;
        add.dest = dest.ok_or(AddError::NoDestination)?;
        Ok(add)
    }
}
