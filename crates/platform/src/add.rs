//! The arguments of `OUT.ADD`.

/// A message that is handed in, as its client wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Add {
    /// Its id.
    pub id: String,
    /// Its class, by name.
    pub class: String,
    /// Its tenant, by name.
    pub tenant: String,
    /// Milliseconds in which it may be delivered.
    pub left_ms: u64,
    /// Its destination.
    pub dest: i64,
    /// The idempotency key.
    pub key: Option<String>,
    /// Handed in again after a refusal.
    pub again: bool,
    /// Its body.
    pub body: Vec<u8>,
}

/// The command's name.
pub const NAME: &[u8] = b"OUT.ADD";

/// Octets of an id or a key.
const MOST_NAME: usize = 64;

/// Ids and keys travel in head fields and in JSON: plain signs only.
fn plain(text: &[u8]) -> Option<String> {
    let fits = (1..=MOST_NAME).contains(&text.len());
    let sign = |b: &u8| b.is_ascii_alphanumeric() || b"-_.:".contains(b);
    (fits && text.iter().all(sign)).then(|| String::from_utf8_lossy(text).into_owned())
}

impl Add {
    /// Reads the arguments behind the command's name.
    ///
    /// # Errors
    /// Says what is wrong.
    pub fn read(args: Vec<Vec<u8>>) -> Result<Add, &'static str> {
        let [_, id, pairs, body]: [Vec<u8>; 4] =
            args.try_into().map_err(|_| "OUT.ADD takes a key, an id, names and values, and a body")?;
        let mut add = Add { id: plain(&id).ok_or("the id can't be read")?, body, ..Add::default() };
        let pairs = std::str::from_utf8(&pairs).map_err(|_| "names and values are no text")?;
        let (mut left, mut dest) = (None, None);
        for pair in pairs.split(',') {
            let (name, value) = pair.split_once('=').ok_or("a name without a value")?;
            match name {
                "c" => add.class = value.to_string(),
                "t" => add.tenant = value.to_string(),
                "d" => left = Some(value.parse().map_err(|_| "the deadline is no number")?),
                "dest" => dest = Some(value.parse().map_err(|_| "the destination is no number")?),
                "k" => add.key = Some(plain(value.as_bytes()).ok_or("the idempotency key can't be read")?),
                "r" => add.again = value == "1",
                // Others may be added some day.
                _ => {}
            }
        }
        add.left_ms = left.filter(|l| *l > 0).ok_or("a deadline is wanted")?;
        add.dest = dest.ok_or("a destination is wanted")?;
        Ok(add)
    }
}
