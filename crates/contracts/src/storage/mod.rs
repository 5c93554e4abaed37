//! The contract of storage: files by name, on which logs rely.

mod faulty;
mod lossy;

pub use faulty::{Fault, FaultyStorage};
pub use lossy::{LOSSY_STORAGE_CLAUSES, LossyStorage};

use crate::suite::{Clause, done};
use crate::{ensure, random::SeededRandom};
use heronroute_journal::Storage;
use std::io::ErrorKind;

/// Creates a storage without files of the names used here.
pub type StorageFactory = dyn Fn() -> Box<dyn Storage>;

/// Storage that outlives its user.
pub trait PersistentStorage {
    /// Opens the storage with the files of its earlier users.
    fn open(&self) -> Box<dyn Storage>;
}

/// The clauses on each storage.
pub const CLAUSES: &[Clause<StorageFactory>] = &[
    Clause { name: "what is appended is read back in order", run: in_order },
    Clause { name: "files are apart", run: apart },
    Clause { name: "a file made again is empty", run: made_again },
    Clause { name: "a file that is not there is not found", run: missing },
    Clause { name: "a renamed file replaces the old one", run: renamed },
    Clause { name: "a removed file is gone", run: removed },
    Clause { name: "a cut within a file keeps its beginning", run: cut_within },
    Clause { name: "a cut at or behind the end changes nothing", run: cut_behind },
    Clause { name: "the list names what is there", run: listed },
    Clause { name: "syncs change nothing that can be read", run: synced },
];

/// The clauses on storage that outlives its user.
pub const PERSISTENT_STORAGE_CLAUSES: &[Clause<dyn PersistentStorage>] = &[Clause {
    name: "what was written outlives its user",
    run: |place| {
        let mut s = place.open();
        done("create", s.create("a"))?;
        done("append", s.append("a", b"one"))?;
        done("create", s.create("b"))?;
        done("rename", s.rename("b", "c"))?;
        drop(s);
        let mut s = place.open();
        done("append", s.append("a", b"two"))?;
        ensure!(done("read", s.read("a"))? == b"onetwo", "not all of it is there");
        ensure!(done("read", s.read("c"))?.is_empty(), "the renamed file is not empty");
        ensure!(s.read("b").is_err(), "the old name is back");
        Ok(())
    },
}];

/// Creates a file with this content.
pub(crate) fn file(s: &mut (impl Storage + ?Sized), name: &str, octets: &[u8]) -> Result<(), String> {
    done("create", s.create(name))?;
    done("append", s.append(name, octets))
}

fn holds(s: &dyn Storage, name: &str, wanted: &[u8]) -> Result<(), String> {
    let got = done(&format!("read {name}"), s.read(name))?;
    let show = |o: &[u8]| String::from_utf8_lossy(&o[..o.len().min(40)]).into_owned();
    ensure!(
        got == wanted,
        "{name} has {} octets ({:?}), not {} ({:?})",
        got.len(),
        show(&got),
        wanted.len(),
        show(wanted)
    );
    Ok(())
}

fn in_order(fresh: &StorageFactory) -> Result<(), String> {
    let (mut s, mut random, mut all) = (fresh(), SeededRandom::new(1), Vec::new());
    done("create", s.create("a"))?;
    for round in 0..20 {
        let length = [0, 1, 7, 512, 9_000][round % 5];
        let octets = random.octets(length);
        done("append", s.append("a", &octets))?;
        all.extend_from_slice(&octets);
        if round % 3 == 0 {
            done("sync", s.sync("a"))?;
        }
        if round % 4 == 0 {
            holds(&*s, "a", &all)?;
        }
    }
    holds(&*s, "a", &all)
}

fn apart(fresh: &StorageFactory) -> Result<(), String> {
    let mut s = fresh();
    file(&mut *s, "a", b"")?;
    file(&mut *s, "a1", b"")?;
    for _ in 0..3 {
        done("append", s.append("a", b"x"))?;
        done("append", s.append("a1", b"yz"))?;
    }
    done("truncate", s.truncate("a1", 5))?;
    holds(&*s, "a", b"xxx")?;
    holds(&*s, "a1", b"yzyzy")
}

fn made_again(fresh: &StorageFactory) -> Result<(), String> {
    let mut s = fresh();
    file(&mut *s, "a", b"old octets")?;
    done("sync", s.sync("a"))?;
    done("create again", s.create("a"))?;
    holds(&*s, "a", b"")?;
    done("append", s.append("a", b"new"))?;
    holds(&*s, "a", b"new")
}

fn missing(fresh: &StorageFactory) -> Result<(), String> {
    let mut s = fresh();
    file(&mut *s, "there", b"x")?;
    let results = [
        ("read", s.read("none").map(|_| ())),
        ("append", s.append("none", b"x")),
        ("truncate", s.truncate("none", 0)),
        ("rename", s.rename("none", "other")),
        ("remove", s.remove("none")),
        // It was there once.
        ("remove", s.remove("there").and_then(|()| s.remove("there"))),
        ("append", s.append("there", b"x")),
    ];
    for (step, result) in results {
        let kind = result.err().map(|e| e.kind());
        ensure!(kind == Some(ErrorKind::NotFound), "{step} of a file that is not there: {kind:?}");
    }
    let names = done("list", s.list())?;
    ensure!(!names.iter().any(|n| n == "none" || n == "other"), "it is there now: {names:?}");
    Ok(())
}

fn renamed(fresh: &StorageFactory) -> Result<(), String> {
    let mut s = fresh();
    file(&mut *s, "new", b"fresh")?;
    file(&mut *s, "old", b"stale octets")?;
    done("sync", s.sync("new"))?;
    done("rename", s.rename("new", "old"))?;
    holds(&*s, "old", b"fresh")?;
    ensure!(s.read("new").is_err(), "the first name is still there");
    done("append", s.append("old", b"!"))?;
    holds(&*s, "old", b"fresh!")?;
    file(&mut *s, "new", b"another")?;
    holds(&*s, "old", b"fresh!")
}

fn removed(fresh: &StorageFactory) -> Result<(), String> {
    let mut s = fresh();
    file(&mut *s, "a", b"x")?;
    file(&mut *s, "b", b"y")?;
    done("remove", s.remove("a"))?;
    ensure!(s.read("a").is_err(), "it can still be read");
    ensure!(!done("list", s.list())?.contains(&"a".to_string()), "it is still listed");
    holds(&*s, "b", b"y")?;
    file(&mut *s, "a", b"")?;
    holds(&*s, "a", b"")
}

fn cut_within(fresh: &StorageFactory) -> Result<(), String> {
    let mut s = fresh();
    file(&mut *s, "a", b"0123456789")?;
    done("sync", s.sync("a"))?;
    done("append", s.append("a", b"abc"))?;
    for (to, wanted) in [(12, &b"0123456789ab"[..]), (4, b"0123"), (0, b"")] {
        done("truncate", s.truncate("a", to))?;
        holds(&*s, "a", wanted)?;
    }
    done("append", s.append("a", b"end"))?;
    holds(&*s, "a", b"end")
}

fn cut_behind(fresh: &StorageFactory) -> Result<(), String> {
    let mut s = fresh();
    file(&mut *s, "a", b"0123")?;
    for length in [4, 5, 100] {
        done("truncate", s.truncate("a", length))?;
        holds(&*s, "a", b"0123")?;
    }
    Ok(())
}

fn listed(fresh: &StorageFactory) -> Result<(), String> {
    let mut s = fresh();
    let before = done("list", s.list())?;
    for name in ["b", "a", "c-0001"] {
        file(&mut *s, name, b"x")?;
    }
    done("rename", s.rename("c-0001", "d"))?;
    let mut names = done("list", s.list())?;
    names.retain(|n| !before.contains(n));
    names.sort();
    ensure!(names == ["a", "b", "d"], "{names:?}");
    Ok(())
}

fn synced(fresh: &StorageFactory) -> Result<(), String> {
    let mut s = fresh();
    file(&mut *s, "a", b"x")?;
    for _ in 0..2 {
        done("sync", s.sync("a"))?;
        done("sync_names", s.sync_names())?;
    }
    holds(&*s, "a", b"x")
}
