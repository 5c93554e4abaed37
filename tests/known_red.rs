//! Tests of `.ci/known_red`, which accepts a test run only if exactly the tests in a list of known failures
//! failed.

use std::path::{Path, PathBuf};
use std::process::Command;

const KNOWN_FAILURE: &str =
    "heronroute-cli --test discovery half_a_list: the watch waits too long (issue 41)\n";

/// Returns the output of cargo for a run with these failed targets, each with its failed tests.
fn cargo_output(failed: &[(&str, &str, &[&str])]) -> String {
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

/// A temporary folder, removed on drop.
struct TempFolder(PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the script. Returns whether it accepts the run, and its output.
fn run_script(name: &str, status: i32, cargo_output: &str, list: Option<&str>) -> (bool, String) {
    let folder =
        TempFolder(std::env::temp_dir().join(format!("heronroute-red-{name}-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0).unwrap();
    let (log_file, list_file) = (folder.0.join("log"), folder.0.join("list"));
    std::fs::write(&log_file, cargo_output).unwrap();
    if let Some(list) = list {
        std::fs::write(&list_file, list).unwrap();
    }
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known_red");
    let output = Command::new(script).arg(status.to_string()).args([&log_file, &list_file]).output().unwrap();
    let printed = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&printed).into_owned())
}

const FAILED_TARGET: (&str, &str, &[&str]) =
    ("-p heronroute-cli --test discovery", "tests/discovery.rs", &["half_a_list"]);

#[test]
fn a_run_without_failures_passes_where_nothing_is_listed() {
    assert!(run_script("none", 0, &cargo_output(&[]), None).0);
    assert!(run_script("empty", 0, &cargo_output(&[]), Some("")).0);
}

#[test]
fn an_unlisted_failure_fails_the_run() {
    let (passes, printed) = run_script("unlisted", 101, &cargo_output(&[FAILED_TARGET]), None);
    assert!(!passes && printed.contains("heronroute-cli --test discovery half_a_list"), "{printed}");
    let two = ("-p heronroute-cli --test discovery", "tests/discovery.rs", &["half_a_list", "other"][..]);
    assert!(!run_script("second", 101, &cargo_output(&[two]), Some(KNOWN_FAILURE)).0);
    let elsewhere = ("-p heronroute-net --lib", "unittests src/lib.rs", &["clock::tests::late"][..]);
    assert!(!run_script("elsewhere", 101, &cargo_output(&[FAILED_TARGET, elsewhere]), Some(KNOWN_FAILURE)).0);
}

#[test]
fn listed_failures_are_accepted_and_printed() {
    let (passes, printed) = run_script("listed", 101, &cargo_output(&[FAILED_TARGET]), Some(KNOWN_FAILURE));
    assert!(passes && printed.contains(KNOWN_FAILURE), "{printed}");
}

#[test]
fn a_listed_test_that_passes_or_does_not_exist_fails_the_run() {
    let (passes, printed) = run_script("passes", 0, &cargo_output(&[]), Some(KNOWN_FAILURE));
    assert!(!passes && printed.contains("passes now, or names no test"), "{printed}");
}

#[test]
fn a_run_that_ended_without_naming_a_test_fails() {
    assert!(!run_script("build", 101, "error: could not compile `heronroute`\n", None).0);
    assert!(
        !run_script("build-listed", 101, "error: could not compile `heronroute`\n", Some(KNOWN_FAILURE)).0
    );
    let aborted = cargo_output(&[FAILED_TARGET]).replace("test result: FAILED. 1 passed; 1 failed\n", "");
    assert!(!run_script("aborted", 101, &aborted, Some(KNOWN_FAILURE)).0, "the tests after it were not run");
    let silent = ("-p heronroute-cli --test kill", "tests/kill.rs", &[][..]);
    assert!(!run_script("silent", 101, &cargo_output(&[FAILED_TARGET, silent]), Some(KNOWN_FAILURE)).0);
}

#[test]
fn the_list_has_at_most_three_lines_each_with_test_cause_and_issue() {
    assert!(
        !run_script(
            "no-issue",
            101,
            &cargo_output(&[FAILED_TARGET]),
            Some("heronroute-cli --test discovery half_a_list: it fails\n")
        )
        .0
    );
    assert!(
        !run_script(
            "no-target",
            101,
            &cargo_output(&[FAILED_TARGET]),
            Some("half_a_list: it fails (issue 41)\n")
        )
        .0
    );
    let names = ["a", "b", "c", "d"];
    let lines: String = names.iter().map(|n| KNOWN_FAILURE.replace("half_a_list", n)).collect();
    let four = (FAILED_TARGET.0, FAILED_TARGET.1, &names[..]);
    assert!(!run_script("four", 101, &cargo_output(&[four]), Some(&lines)).0);
    let three = (FAILED_TARGET.0, FAILED_TARGET.1, &names[..3]);
    let lines: String = names[..3].iter().map(|n| KNOWN_FAILURE.replace("half_a_list", n)).collect();
    assert!(run_script("three", 101, &cargo_output(&[three]), Some(&lines)).0);
}

const KNOWN_COMMAND: &str =
    "$ SOAK_SEED=30 cargo test -p heronroute-cli --test soak [seed 30]: a message is lost (issue 41)\n";
const COMMAND_WITHOUT_SEED: &str =
    "$ review/4/run.sh [no seed]: another client's message is shown (issue 41)\n";

#[test]
fn a_listed_command_is_printed_and_changes_nothing_else() {
    let commands = format!("{KNOWN_COMMAND}{COMMAND_WITHOUT_SEED}");
    let (passes, printed) = run_script("command", 0, &cargo_output(&[]), Some(&commands));
    assert!(passes && printed.contains(&commands), "{printed}");
    let both = format!("{KNOWN_COMMAND}{KNOWN_FAILURE}");
    let (passes, printed) = run_script("both", 101, &cargo_output(&[FAILED_TARGET]), Some(&both));
    assert!(passes && printed.contains(KNOWN_COMMAND) && printed.contains(KNOWN_FAILURE), "{printed}");
    assert!(
        !run_script("both-passes", 0, &cargo_output(&[]), Some(&both)).0,
        "the test of the list passes now"
    );
    assert!(!run_script("build-command", 101, "error: could not compile `heronroute`\n", Some(&commands)).0);
}

#[test]
fn a_listed_command_excuses_no_test() {
    let names_the_test =
        "$ cargo test -p heronroute-cli --test discovery half_a_list [no seed]: it fails (issue 41)\n";
    assert!(!run_script("excuse", 101, &cargo_output(&[FAILED_TARGET]), Some(names_the_test)).0);
}

#[test]
fn a_listed_command_has_a_seed_what_was_seen_and_an_issue() {
    for (name, line) in [
        ("seed", "$ review/4/run.sh: it fails (issue 41)\n"),
        ("issue", "$ review/4/run.sh [no seed]: it fails\n"),
        ("seen", "$ review/4/run.sh [no seed]: (issue 41)\n"),
        ("command", "$ [seed 3]: it fails (issue 41)\n"),
        ("mark", "review/4/run.sh [no seed]: it fails (issue 41)\n"),
    ] {
        assert!(!run_script(&format!("without-{name}"), 0, &cargo_output(&[]), Some(line)).0, "{line}");
    }
    assert!(run_script("twelve", 0, &cargo_output(&[]), Some(&KNOWN_COMMAND.repeat(12))).0);
    assert!(!run_script("thirteen", 0, &cargo_output(&[]), Some(&KNOWN_COMMAND.repeat(13))).0);
}
