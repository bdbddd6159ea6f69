//! Runs `hornbeamctl explain --retries` on a log file in the format that processes write.

use std::path::Path;
use std::process::Command;

use expect_test::expect;

/// One attempt of a request: the second at which it begins, its operation, how it fails if it does,
/// and what it costs.
struct Attempt(u32, &'static str, Option<&'static str>, &'static str);

fn write_line(second: u32, message: &str, fields: &str) -> String {
    format!(
        "{{\"time\":\"2026-01-08T14:32:{second:02}.5+00:00\",\"level\":\"INFO\",\
         \"message\":\"{message}\",\"target\":\"relay\",\"attributes\":{{{fields}}}}}\n"
    )
}

fn write_request(request: &str, attempts: &[Attempt]) -> String {
    let mut text = String::new();
    for (number, Attempt(second, operation, failure, charge)) in attempts.iter().enumerate() {
        let common = format!("\"request\":\"{request}\",\"attempt\":\"{number}\"");
        text.push_str(&write_line(
            *second,
            "dispatched",
            &format!(
                "{common},\"outcome\":\"{operation}\",\"endpoint\":\"notes\",\"charge\":\"{charge}\""
            ),
        ));
        if let Some(failure) = failure {
            let fields = format!("{common},\"outcome\":\"{failure}\"");
            text.push_str(&write_line(*second, "attempt_failed", &fields));
        }
    }
    text
}

fn run(files: &[&Path]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_hornbeamctl"))
        .args(["explain", "--retries"])
        .args(files)
        .output()
        .expect("hornbeamctl runs");
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("the output is text")
}

#[test]
fn explain_retries_worst_span() {
    let declined = Some("Declined(Full)");
    let log = [
        write_request(
            "a",
            &[
                Attempt(1, "prefill", None, "none"),
                Attempt(2, "generate", None, "none"),
            ],
        ),
        write_request(
            "b",
            &[
                Attempt(3, "prefill", declined, "none"),
                Attempt(4, "read_and_generate", None, "none"),
            ],
        ),
        write_request(
            "c",
            &[
                Attempt(3, "prefill", declined, "none"),
                Attempt(4, "prefill", declined, "retry"),
                Attempt(5, "read_and_generate", None, "none"),
            ],
        ),
        write_request(
            "d",
            &[
                Attempt(30, "prefill", Some("Unwritten"), "none"),
                Attempt(31, "read_and_generate", None, "none"),
            ],
        ),
    ]
    .concat();
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("vm-1.log");
    std::fs::write(&file, log).expect("the file is written");
    expect![[r#"
        notes: 3 attempts beyond the first of their request in 10 s from 14:32:04.500, 1 charged
               1        1 charged  prefill Declined(Full), prefill Declined(Full)
               1        0 charged  prefill Declined(Full), prefill Declined(Full), read_and_generate answered
               1        0 charged  prefill Declined(Full), read_and_generate answered
    "#]]
    .assert_eq(&run(&[&file]));
}
