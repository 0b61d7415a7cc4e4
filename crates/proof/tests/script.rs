//! Parsing of the scenario language: error positions and messages, comments.

use proof::parse_scenario;

/// Line, column and message of the error in an invalid scenario.
fn parse_error(text: &str) -> (usize, usize, String) {
    let error = parse_scenario(text).expect_err("the scenario is invalid");
    (error.line, error.column, error.message)
}

#[test]
fn errors_name_line_column_and_what_is_expected() {
    let first_words = "expected scenario, seed, zone, engines, stewards, flow, or a step";
    assert_eq!(parse_error("seed 1\n  flurb\n"), (2, 3, first_words.into()));
    let number = "expected a whole number";
    assert_eq!(parse_error("zone a vms x"), (1, 12, number.into()));
    let time = "expected a time such as 200ms or 3s";
    assert_eq!(parse_error("sleep three"), (1, 7, time.into()));
    let end = "expected the end of the line";
    assert_eq!(parse_error("settle now"), (1, 8, end.into()));
}

#[test]
fn a_load_of_an_unknown_flow_is_an_error() {
    let error = parse_error("seed 1\nload summaries for 3s");
    assert_eq!(error, (2, 1, "no flow is named summaries".into()));
}

#[test]
fn comments_and_empty_lines_are_skipped() {
    let text = "# proves nothing\n\nscenario \"Nothing\" # a title\n   \n";
    assert_eq!(
        parse_scenario(text).expect("the scenario is valid").title(),
        "Nothing"
    );
}
