//! Runs `hornbeamctl explain --losses` on log files in the format that processes write.

use std::path::{Path, PathBuf};
use std::process::Command;

use expect_test::expect;

/// Formats a log line; `fields` is the content of its attributes object.
fn log_line(time: &str, message: &str, fields: &str) -> String {
    format!(
        "{{\"time\":\"2026-01-08T14:32:{time}+00:00\",\"level\":\"INFO\",\"message\":\"{message}\",\
         \"target\":\"relay\",\"attributes\":{{{fields}}}}}\n"
    )
}

/// The lines of one model request until the first event of its stream; times are in seconds.
fn stream(request: &str, second: u32, granted: &str, first_event_ms: u32) -> String {
    let line = |fraction: &str, message: &str, fields: &str| {
        let fields = format!("\"request\":\"{request}\",{fields}");
        log_line(&format!("{second:02}.{fraction}"), message, &fields)
    };
    [
        line(
            "000000",
            "accepted",
            r#""outcome":"notes","version":"4","tokens":"3000","target_ms":"900""#,
        ),
        line("000100", "waits", r#""ms":"0""#),
        line(
            granted,
            "granted",
            r#""runner":"make-1","version":"1","ms":"1.0""#,
        ),
        line(
            granted,
            "dispatched",
            r#""runner":"read-1","outcome":"prefill","attempt":"1","ms":"40.0""#,
        ),
        line(
            "900000",
            "dispatched",
            r#""runner":"make-1","outcome":"generate","attempt":"2","ms":"60.0""#,
        ),
        line(
            "950000",
            "first_event",
            &format!("\"attempt\":\"2\",\"ms\":\"{first_event_ms}\""),
        ),
    ]
    .concat()
}

fn ended(request: &str, second: u32) -> String {
    let fields = format!(
        "\"request\":\"{request}\",\"runner\":\"make-1\",\"attempt\":\"2\",\"ms\":\"3000\""
    );
    log_line(&format!("{second:02}.990000"), "stream_ended", &fields)
}

fn sample_log() -> String {
    let plain = |request: &str, status: u32, second: u32| {
        let accepted =
            format!("\"request\":\"{request}\",\"outcome\":\"top\",\"target_ms\":\"100\"");
        let answered = format!("\"request\":\"{request}\",\"outcome\":\"{status}\",\"ms\":\"20\"");
        [
            log_line(&format!("{second:02}.000000"), "accepted", &accepted),
            log_line(&format!("{second:02}.020000"), "answered", &answered),
        ]
        .concat()
    };
    [
        log_line("00.000000", "started", ""),
        // In time.
        stream("r1", 1, "010000", 500),
        ended("r1", 4),
        // The grant came late.
        stream("r2", 2, "800000", 950),
        ended("r2", 5),
        // The runner paused.
        stream("r3", 3, "010000", 500),
        log_line(
            "05.000000",
            "paused",
            r#""request":"r3","attempt":"2","ms":"400""#,
        ),
        ended("r3", 6),
        // Never got capacity.
        log_line(
            "04.000000",
            "accepted",
            r#""request":"r4","outcome":"notes","tokens":"3000","target_ms":"900""#,
        ),
        log_line("04.000100", "waits", r#""request":"r4""#),
        log_line(
            "07.000000",
            "refused",
            r#""request":"r4","outcome":"not_run full","ms":"3000""#,
        ),
        plain("r5", 200, 5),
        plain("r6", 500, 6),
        // The process ends during the stream, and starts again.
        stream("r7", 7, "010000", 500),
        log_line("09.000000", "started", ""),
        // The log ends.
        stream("r8", 10, "010000", 500),
    ]
    .concat()
}

fn run_losses(flags: &[&str], file: &Path) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_hornbeamctl"))
        .args(["explain", "--losses"])
        .arg(file)
        .args(flags)
        .output()
        .expect("the command runs");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

fn write_log(folder: &tempfile::TempDir) -> PathBuf {
    let path = folder.path().join("front-1.log");
    std::fs::write(&path, sample_log()).expect("a file");
    path
}

#[test]
fn losses_each_request_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let text = run_losses(&[], &write_log(&folder));
    expect![[r#"
        kind   requests      %      prompts      in vain   load ms  worst s  how it ended
        model         1   16.7         3000            0        60        0  in time
        model         1   16.7         3000            0        60        2  late by a pause: the runner paused
        model         1   16.7         3000            0        60        2  late first event: waited for capacity
        model         1   16.7         3000         3000        60        6  lost with its process, streaming
        model         1   16.7         3000            0         -        4  refused: not_run full, waiting for capacity
        model         1   16.7         3000         3000        60       10  unknown: the log ends first
        plain         1   50.0            0            0         -        6  failed: status 500 of a runner
        plain         1   50.0            0            0         -        4  in time
    "#]].assert_eq(&text);
}

#[test]
fn losses_json() {
    let folder = tempfile::tempdir().expect("a folder");
    let text = run_losses(&["--json"], &write_log(&folder));
    let rows: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let rows = rows.as_array().expect("a list");
    let requests: u64 = rows.iter().filter_map(|row| row["requests"].as_u64()).sum();
    assert_eq!(requests, 8);
    let vain: u64 = rows
        .iter()
        .filter_map(|row| row["vain_tokens"].as_u64())
        .sum();
    // The prompts of the two streams that did not end.
    assert_eq!(vain, 6_000);
}

#[test]
fn losses_without_requests() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("empty.log");
    std::fs::write(&path, "").expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_hornbeamctl"))
        .args(["explain", "--losses"])
        .arg(&path)
        .output()
        .expect("the command runs");
    assert_eq!(output.status.code(), Some(1));
}
