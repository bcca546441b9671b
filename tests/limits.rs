//! The operators' limits on the policy files.

#[test]
fn the_policy_files_stay_within_their_limits() {
    let files = [include_str!("../src/balance.rs"), include_str!("../src/route.rs")];
    let lines = || files.iter().flat_map(|text| text.lines());
    let count = lines().filter(|line| !line.trim().is_empty()).count();
    assert!(count <= 1_200, "{count} lines that are not blank");
    let longest = lines().map(|line| line.chars().count()).max();
    assert!(longest <= Some(110), "a line of {longest:?} characters");
}
