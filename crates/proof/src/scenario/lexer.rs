//! Parsers for words, numbers and times of the scenario language.

use {
    super::ast::Selector,
    std::{str::FromStr, time::Duration},
    winnow::{
        ModalResult, Parser,
        ascii::{dec_uint, float, space0},
        combinator::{alt, cut_err, delimited, eof, not, peek, preceded, terminated},
        error::{StrContext, StrContextValue},
        token::{one_of, take_till, take_while},
    },
};

pub(super) type Input<'a> = &'a str;

fn is_word(c: char) -> bool {
    c.is_ascii_alphanumeric() || "._-:/%@".contains(c)
}

/// Context for a parse error: what was expected.
pub(super) fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

/// Parses a word, after any white space.
pub(super) fn word<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    preceded(space0, take_while(1.., is_word))
        .context(expected("a word"))
        .parse_next(input)
}

/// Parses the word `name`.
pub(super) fn keyword<'a>(name: &'static str) -> impl FnMut(&mut Input<'a>) -> ModalResult<()> {
    move |input| {
        (space0, name, word_end)
            .void()
            .context(StrContext::Expected(StrContextValue::StringLiteral(name)))
            .parse_next(input)
    }
}

fn word_end(input: &mut Input<'_>) -> ModalResult<()> {
    alt((eof.void(), peek(not(one_of(is_word))))).parse_next(input)
}

/// Parses a word as a `T`.
pub(super) fn parsed_word<'a, T: FromStr>(input: &mut Input<'a>) -> ModalResult<T> {
    word.parse_to().parse_next(input)
}

/// Parses a whole number.
pub(super) fn integer<T: TryFrom<u64>>(input: &mut Input<'_>) -> ModalResult<T> {
    preceded(space0, terminated(dec_uint::<_, u64, _>, word_end))
        .verify_map(|n| T::try_from(n).ok())
        .context(expected("a whole number"))
        .parse_next(input)
}

/// Parses a number that may have a fraction.
pub(super) fn decimal(input: &mut Input<'_>) -> ModalResult<f64> {
    preceded(space0, terminated(float, word_end))
        .context(expected("a number"))
        .parse_next(input)
}

/// Parses a time such as `200ms` or `3s`.
pub(super) fn time(input: &mut Input<'_>) -> ModalResult<Duration> {
    let unit = alt(("ms".value(1u64), "s".value(1000)));
    preceded(space0, (dec_uint::<_, u64, _>, unit, word_end))
        .map(|(n, unit, ())| Duration::from_millis(n.saturating_mul(unit)))
        .context(expected("a time such as 200ms or 3s"))
        .parse_next(input)
}

/// Parses text in quotes.
pub(super) fn text<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    let quoted = delimited('"', take_till(0.., ['"', '\n']), cut_err('"'));
    preceded(space0, quoted)
        .context(expected("text in quotes"))
        .parse_next(input)
}

/// Parses `on` or `off`.
pub(super) fn on_off(input: &mut Input<'_>) -> ModalResult<bool> {
    alt((keyword("on").value(true), keyword("off").value(false)))
        .context(expected("on or off"))
        .parse_next(input)
}

/// Parses `all`, a zone, or a zone and a number as in `calicut/2`.
pub(super) fn selector(input: &mut Input<'_>) -> ModalResult<Selector> {
    word.verify_map(to_selector)
        .context(expected("all, ZONE or ZONE/NUMBER"))
        .parse_next(input)
}

fn to_selector(text: &str) -> Option<Selector> {
    if text == "all" {
        return Some(Selector::All);
    }
    match text.split_once('/') {
        Some((zone, index)) => Some(Selector::One(zone.parse().ok()?, index.parse().ok()?)),
        None => text.parse().ok().map(Selector::Zone),
    }
}
