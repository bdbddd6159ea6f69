//! Runs `hornbeamctl explain` on log files in the format that processes write.

use std::path::PathBuf;
use std::process::{Command, Output};

use expect_test::expect;

/// Formats a log line; `fields` is the content of its attributes object.
fn log_line(time: &str, message: &str, fields: &str) -> String {
    format!(
        "{{\"time\":\"2026-01-08T14:32:{time}+00:00\",\"level\":\"INFO\",\"message\":\"{message}\",\
         \"target\":\"relay\",\"attributes\":{{{fields}}}}}\n"
    )
}

fn write_file(folder: &tempfile::TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

fn explain(request: &str, files: &[PathBuf]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hornbeamctl"))
        .arg("explain")
        .arg(request)
        .args(files)
        .output()
        .expect("the command runs")
}

fn sample_log() -> String {
    [
        log_line("01.000000", "manifest_in_force", r#""outcome":"4 routes, 2 endpoints","version":"3""#),
        log_line("02.000000", "manifest_in_force", r#""outcome":"5 routes, 2 endpoints","version":"4""#),
        log_line("02.500000", "runner_rests", r#""runner":"pay-1","outcome":"silent","ms":"300.0""#),
        log_line("02.600000", "runner_rests", r#""runner":"pay-9","outcome":"silent","ms":"300.0""#),
        log_line("03.000000", "accepted", r#""request":"r1","outcome":"topup","version":"4""#),
        log_line(
            "03.000100",
            "dispatched",
            r#""request":"r1","runner":"pay-1","outcome":"plain","attempt":"7","version":"12","ms":"20.5""#,
        ),
        log_line("03.000200", "accepted", r#""request":"r2","outcome":"balance","version":"4""#),
        log_line("03.010000", "runner_listed", r#""runner":"pay-1","outcome":"gone","version":"13""#),
        log_line(
            "03.050000",
            "attempt_failed",
            r#""request":"r1","runner":"pay-1","outcome":"Lost","attempt":"7","ms":"49.9""#,
        ),
        log_line("03.050100", "refused", r#""request":"r1","outcome":"unknown runners_failed","ms":"50.1""#),
    ]
    .concat()
}

/// The explanation leaves out what the process didn't base its decisions on: the earlier manifest,
/// runners that the request wasn't sent to, and other requests.
#[test]
fn explain_unknown_outcome() {
    let folder = tempfile::tempdir().expect("a folder");
    let files = [
        write_file(&folder, "front-a-1.log", &sample_log()),
        write_file(&folder, "front-a-2.log", "a line of another writer\n"),
    ];
    let output = explain("r1", &files);
    assert!(output.status.success());
    expect![[r#"
        request r1 on front-a-1
          known on receipt
             -1.000 s  manifest 4 took effect: 5 routes, 2 endpoints
             -0.500 s  runner pay-1 is in cooldown for 300.0 ms: silent
          decided
             +0.000 s  request received in full; route topup of manifest 4
             +0.000 s  attempt 7: plain request dispatched to pay-1 (entry revision 12, load reported 20.5 ms ago)
             +0.010 s  runner list entry of pay-1 updated: gone (revision 13)
             +0.050 s  attempt 7: failed at pay-1 after 49.9 ms: Lost
             +0.050 s  request refused after 50.1 ms: unknown runners_failed
          result: the request may have been executed; its response is lost: the runners that were tried returned no usable response
    "#]]
    .assert_eq(&String::from_utf8_lossy(&output.stdout));
}

/// Several processes write to one file, and each line is prefixed with the name of its process. A
/// line must be attributed to the process in its prefix, not to the file.
#[test]
fn explain_shared_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let prefixed = |name: &str| {
        let lines = sample_log();
        let lines: Vec<_> = lines
            .lines()
            .map(|line| format!("  3.0000 {name} {line}\n"))
            .collect();
        lines.concat()
    };
    let text = prefixed("front-b-1") + &prefixed("front-b-2").replace("\"r1\"", "\"r5\"");
    let output = explain("r5", &[write_file(&folder, "all.log", &text)]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.starts_with("request r5 on front-b-2\n"), "{text}");
    assert_eq!(text.matches("request r5").count(), 1);
}

#[test]
fn explain_not_found() {
    let folder = tempfile::tempdir().expect("a folder");
    let output = explain("r9", &[write_file(&folder, "front-a-1.log", &sample_log())]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no log line for request r9"));
}

#[test]
fn explain_no_file() {
    let output = explain("r1", &[PathBuf::from("no-such-file.log")]);
    assert_eq!(output.status.code(), Some(3));
}
