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
    /// Milliseconds that remain to deliver it.
    pub left_ms: u64,
    /// Its destination.
    pub dest: i64,
    /// The idempotency key.
    pub key: Option<String>,
    /// The client submits it again after a refusal.
    pub again: bool,
    /// Its body.
    pub body: Vec<u8>,
}

/// The command's name.
pub const NAME: &[u8] = b"OUT.ADD";

/// Octets of an id or a key at most.
const MOST_NAME: usize = 64;

/// An id or a key. They are sent in header fields and in JSON, so only letters, digits and `-_.:` are accepted.
fn plain(text: &[u8]) -> Option<String> {
    let fits = (1..=MOST_NAME).contains(&text.len());
    let sign = |b: &u8| b.is_ascii_alphanumeric() || b"-_.:".contains(b);
    (fits && text.iter().all(sign)).then(|| String::from_utf8_lossy(text).into_owned())
}

/// Why the arguments of a command can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AddError {
    /// Not four arguments.
    #[error("OUT.ADD takes a key, an id, names and values, and a body")]
    Arguments,
    /// The id is empty, too long, or holds other characters than ids may.
    #[error("the id can't be read")]
    Id,
    /// The names and values are not UTF-8.
    #[error("names and values are no text")]
    Pairs,
    /// A name stands without `=`.
    #[error("a name without a value")]
    NameWithoutValue,
    /// The deadline is not a whole number of milliseconds.
    #[error("the deadline is no number")]
    Deadline,
    /// The destination is not a whole number.
    #[error("the destination is no number")]
    Destination,
    /// The idempotency key is empty, too long, or holds other characters than keys may.
    #[error("the idempotency key can't be read")]
    Key,
    /// There is no deadline, or it is 0.
    #[error("a deadline is wanted")]
    NoDeadline,
    /// There is no destination.
    #[error("a destination is wanted")]
    NoDestination,
}

impl Add {
    /// Parses the arguments that follow the command's name.
    ///
    /// # Errors
    /// The first argument that is missing or can't be read.
    pub fn read(args: Vec<Vec<u8>>) -> Result<Add, AddError> {
        let [_, id, pairs, body]: [Vec<u8>; 4] = args.try_into().map_err(|_| AddError::Arguments)?;
        let mut add = Add { id: plain(&id).ok_or(AddError::Id)?, body, ..Add::default() };
        let pairs = std::str::from_utf8(&pairs).map_err(|_| AddError::Pairs)?;
        let (mut left, mut dest) = (None, None);
        for pair in pairs.split(',') {
            let (name, value) = pair.split_once('=').ok_or(AddError::NameWithoutValue)?;
            match name {
                "c" => add.class = value.to_string(),
                "t" => add.tenant = value.to_string(),
                "d" => left = Some(value.parse().map_err(|_| AddError::Deadline)?),
                "dest" => dest = Some(value.parse().map_err(|_| AddError::Destination)?),
                "k" => add.key = Some(plain(value.as_bytes()).ok_or(AddError::Key)?),
                "r" => add.again = value == "1",
                // Unknown names are ignored: later clients may send more.
                _ => {}
            }
        }
        add.left_ms = left.filter(|l| *l > 0).ok_or(AddError::NoDeadline)?;
        add.dest = dest.ok_or(AddError::NoDestination)?;
        Ok(add)
    }
}
