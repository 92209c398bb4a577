//! Tests that the shell completions and the manual page match the program.

use std::fs;

use test_case::test_case;

use crate::support::run;

fn read_file(path: &str) -> String {
    let path = format!("{}/../../{path}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(&path).unwrap_or_else(|err| panic!("{path}: {err}"))
}

#[test_case("bash", "eelgrasswell.bash")]
#[test_case("zsh", "_eelgrasswell")]
#[test_case("fish", "eelgrasswell.fish")]
fn completions_are_current(shell: &str, name: &str) {
    let current = run(&["completions", shell], &[]).success();
    let hint = format!("write the output of `eelgrasswell completions {shell}` to completions/{name}");
    assert_eq!(read_file(&format!("completions/{name}")), current, "{hint}");
}

#[test]
fn manual_page_names_every_command_and_option() {
    let page = read_file("man/eelgrasswell.1").replace('\\', "");
    let usage = run(&["--help"], &[]).success();
    let listed = usage.split("Commands:\n").nth(1).unwrap().lines();
    // Continuation lines of a description are indented further.
    let commands: Vec<_> =
        listed.filter_map(|line| line.strip_prefix("  ")?.split(' ').next().filter(|name| !name.is_empty())).collect();
    assert!(commands.contains(&"submit"), "{usage}");
    for command in commands {
        assert!(page.contains(command), "the page has no command {command}");
        let usage = run(&[command, "--help"], &[]).success();
        for option in usage.split_whitespace().map(|word| word.trim_matches(['[', ']', ','])) {
            let known = !option.starts_with("--") || option == "--" || page.contains(option);
            assert!(known, "the page has no option {option} of {command}");
        }
    }
}
