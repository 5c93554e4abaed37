//! `.ci/known_red` passes a run of the tests only where exactly the tests of the list have failed.

use std::path::{Path, PathBuf};
use std::process::Command;

const LINE: &str = "heronroute-cli --test discovery half_a_list: the watch waits too long (issue 41)\n";

/// What cargo prints of a run with these failed targets, each with its failed tests.
fn log(failed: &[(&str, &str, &[&str])]) -> String {
    let mut text = String::from("     Running unittests src/lib.rs (target/debug/deps/heronroute-0a)\n\n");
    text += "running 1 test\ntest fine ... ok\n\ntest result: ok. 1 passed; 0 failed\n\n";
    for (rerun, file, tests) in failed {
        text +=
            &format!("     Running {file} (target/debug/deps/x-1b)\n\nrunning 2 tests\ntest fine ... ok\n");
        text.extend(tests.iter().map(|name| format!("test {name} ... FAILED\n")));
        text += &format!(
            "\ntest result: FAILED. 1 passed; 1 failed\n\nerror: test failed, to rerun pass `{rerun}`\n"
        );
    }
    if !failed.is_empty() {
        text += &format!("error: {} targets failed:\n", failed.len());
        text.extend(failed.iter().map(|(rerun, ..)| format!("    `{rerun}`\n")));
    }
    text
}

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Whether the run passes, and what is said of it.
fn judge(name: &str, status: i32, log: &str, list: Option<&str>) -> (bool, String) {
    let folder = Folder(std::env::temp_dir().join(format!("heronroute-red-{name}-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0).unwrap();
    let (log_file, list_file) = (folder.0.join("log"), folder.0.join("list"));
    std::fs::write(&log_file, log).unwrap();
    if let Some(list) = list {
        std::fs::write(&list_file, list).unwrap();
    }
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known_red");
    let output = Command::new(script).arg(status.to_string()).args([&log_file, &list_file]).output().unwrap();
    let said = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&said).into_owned())
}

const HALF: (&str, &str, &[&str]) =
    ("-p heronroute-cli --test discovery", "tests/discovery.rs", &["half_a_list"]);

#[test]
fn a_run_without_failures_passes_where_nothing_is_listed() {
    assert!(judge("none", 0, &log(&[]), None).0);
    assert!(judge("empty", 0, &log(&[]), Some("")).0);
}

#[test]
fn what_fails_and_is_not_listed_fails_the_run() {
    let (passes, said) = judge("unlisted", 101, &log(&[HALF]), None);
    assert!(!passes && said.contains("heronroute-cli --test discovery half_a_list"), "{said}");
    let two = ("-p heronroute-cli --test discovery", "tests/discovery.rs", &["half_a_list", "other"][..]);
    assert!(!judge("second", 101, &log(&[two]), Some(LINE)).0);
    let elsewhere = ("-p heronroute-net --lib", "unittests src/lib.rs", &["clock::tests::late"][..]);
    assert!(!judge("elsewhere", 101, &log(&[HALF, elsewhere]), Some(LINE)).0);
}

#[test]
fn exactly_what_is_listed_may_fail_and_is_printed() {
    let (passes, said) = judge("listed", 101, &log(&[HALF]), Some(LINE));
    assert!(passes && said.contains(LINE), "{said}");
}

#[test]
fn a_line_whose_test_passes_or_does_not_exist_fails_the_run() {
    let (passes, said) = judge("passes", 0, &log(&[]), Some(LINE));
    assert!(!passes && said.contains("passes now, or names no test"), "{said}");
}

#[test]
fn a_run_that_ended_without_naming_a_test_fails() {
    assert!(!judge("build", 101, "error: could not compile `heronroute`\n", None).0);
    assert!(!judge("build-listed", 101, "error: could not compile `heronroute`\n", Some(LINE)).0);
    let aborted = log(&[HALF]).replace("test result: FAILED. 1 passed; 1 failed\n", "");
    assert!(!judge("aborted", 101, &aborted, Some(LINE)).0, "the tests behind it were not run");
    let silent = ("-p heronroute-cli --test kill", "tests/kill.rs", &[][..]);
    assert!(!judge("silent", 101, &log(&[HALF, silent]), Some(LINE)).0);
}

#[test]
fn the_list_has_three_lines_at_most_each_with_test_cause_and_issue() {
    assert!(
        !judge(
            "no-issue",
            101,
            &log(&[HALF]),
            Some("heronroute-cli --test discovery half_a_list: it fails\n")
        )
        .0
    );
    assert!(!judge("no-target", 101, &log(&[HALF]), Some("half_a_list: it fails (issue 41)\n")).0);
    let names = ["a", "b", "c", "d"];
    let lines: String = names.iter().map(|n| LINE.replace("half_a_list", n)).collect();
    let four = (HALF.0, HALF.1, &names[..]);
    assert!(!judge("four", 101, &log(&[four]), Some(&lines)).0);
    let three = (HALF.0, HALF.1, &names[..3]);
    let lines: String = names[..3].iter().map(|n| LINE.replace("half_a_list", n)).collect();
    assert!(judge("three", 101, &log(&[three]), Some(&lines)).0);
}
