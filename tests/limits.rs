//! The operators' limits on the policy files, and what the programs' command lines take.

use std::process::{Command, Stdio};

#[test]
fn the_policy_files_stay_within_their_limits() {
    let files = [include_str!("../src/balance.rs"), include_str!("../src/route.rs")];
    let lines = || files.iter().flat_map(|text| text.lines());
    let count = lines().filter(|line| !line.trim().is_empty()).count();
    assert!(count <= 1_200, "{count} lines that are not blank");
    let longest = lines().map(|line| line.chars().count()).max();
    assert!(longest <= Some(110), "a line of {longest:?} characters");
}

#[test]
fn the_programs_say_their_version_and_refuse_what_they_do_not_know() {
    for (name, program) in
        [("juniperspoke", env!("CARGO_BIN_EXE_juniperspoke")), ("listd", env!("CARGO_BIN_EXE_listd"))]
    {
        let run = |argument: &str| {
            Command::new(program).arg(argument).stdin(Stdio::null()).output().expect("started")
        };
        let version = String::from_utf8(run("--version").stdout).expect("text");
        assert_eq!(version, format!("{name} {}\n", env!("CARGO_PKG_VERSION")));
        assert!(String::from_utf8_lossy(&run("--help").stdout).contains("Usage:"), "{name}");
        assert_eq!(run("--nonsense").status.code(), Some(2), "{name}");
    }
}
