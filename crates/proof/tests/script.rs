//! The scenario language's errors.

use proof::parse_scenario;

fn place(text: &str) -> (usize, usize, String) {
    let error = parse_scenario(text).expect_err("a bad scenario");
    (error.line, error.column, error.message)
}

#[test]
fn errors_name_line_column_and_what_is_expected() {
    let heads = "expected scenario, seed, zone, engines, stewards, flow, or a step";
    assert_eq!(place("seed 1\n  flurb\n"), (2, 3, heads.into()));
    let number = "expected a whole number";
    assert_eq!(place("zone a vms x"), (1, 12, number.into()));
    let time = "expected a time such as 200ms or 3s";
    assert_eq!(place("sleep three"), (1, 7, time.into()));
    let end = "expected the end of the line";
    assert_eq!(place("settle now"), (1, 8, end.into()));
}

#[test]
fn a_load_of_an_unknown_flow_is_an_error() {
    let error = place("seed 1\nload summaries for 3s");
    assert_eq!(error, (2, 1, "no flow is named summaries".into()));
}

#[test]
fn comments_and_empty_lines_are_skipped() {
    let text = "# proves nothing\n\nscenario \"Nothing\" # a title\n   \n";
    assert_eq!(parse_scenario(text).expect("a scenario").title(), "Nothing");
}
