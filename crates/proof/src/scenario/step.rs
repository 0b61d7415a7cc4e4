//! Parses the steps of the scenario language.

use {
    super::{
        ast::{Check, LinkAction, LinkKind, PlatformAction, ProcessAction, ProcessRole, Step},
        lexer::{
            Input, decimal, expected, integer, keyword, on_off, parsed_word, selector, time, word,
        },
    },
    crate::{HeldDirection, LinkFaults},
    compact_str::CompactString,
    standin::{engine, service},
    std::time::Duration,
    winnow::{
        ModalResult, Parser,
        combinator::{alt, fail, preceded, repeat, terminated},
    },
};

/// First words of steps.
pub(super) const STEPS: [&str; 21] = [
    "load", "finish", "sleep", "stop", "kill", "pause", "continue", "start", "platform", "engine",
    "service", "link", "leave", "remove", "withdraw", "weight", "race", "settle", "mark", "check",
    "pool",
];

/// Parses the rest of a step after its first word.
pub(super) fn step(first_word: &str, input: &mut Input<'_>) -> ModalResult<Step> {
    match first_word {
        "load" => load(input),
        "finish" => Ok(Step::Finish),
        "sleep" => time.map(Step::Sleep).parse_next(input),
        "stop" => process(ProcessAction::Stop, input),
        "kill" => process(ProcessAction::Kill, input),
        "pause" => process(ProcessAction::Pause, input),
        "continue" => process(ProcessAction::Continue, input),
        "start" => process(ProcessAction::Start, input),
        "platform" => platform_action.map(Step::Platform).parse_next(input),
        "engine" => (selector, engine_command)
            .map(|(s, c)| Step::Engine(s, c))
            .parse_next(input),
        "service" => (selector, service_command)
            .map(|(s, c)| Step::Service(s, c))
            .parse_next(input),
        "link" => (link_kind, selector, link_action)
            .map(|(k, s, a)| Step::Link(k, s, a))
            .parse_next(input),
        "leave" => preceded(keyword("engine"), selector)
            .map(Step::Leave)
            .parse_next(input),
        "remove" => preceded(keyword("engine"), selector)
            .map(Step::Remove)
            .parse_next(input),
        "withdraw" => parsed_word.map(Step::Withdraw).parse_next(input),
        "weight" => (parsed_word, integer)
            .map(|(o, n)| Step::Weight(o, n))
            .parse_next(input),
        "race" => (parsed_word, integer)
            .map(|(o, n)| Step::Race(o, n))
            .parse_next(input),
        "pool" => (
            parsed_word,
            preceded(keyword("min"), integer),
            preceded(keyword("max"), integer),
        )
            .map(|(zone, min, max)| Step::Pool(zone, min, max))
            .parse_next(input),
        "settle" => Ok(Step::Settle),
        "mark" => name.map(Step::Mark).parse_next(input),
        "check" => check.map(Step::Check).parse_next(input),
        _ => fail(input),
    }
}

fn name(input: &mut Input<'_>) -> ModalResult<CompactString> {
    word.map(Into::into).parse_next(input)
}

fn load(input: &mut Input<'_>) -> ModalResult<Step> {
    let flow = name.verify(|w: &CompactString| w != "for");
    let names = repeat(1.., flow).parse_next(input)?;
    let duration = preceded(keyword("for"), time).parse_next(input)?;
    Ok(Step::Load(names, duration))
}

fn process(action: ProcessAction, input: &mut Input<'_>) -> ModalResult<Step> {
    let role = alt((
        keyword("entry").value(ProcessRole::Entry),
        keyword("steward").value(ProcessRole::Steward),
    ));
    (role.context(expected("entry or steward")), selector)
        .map(|(role, selector)| Step::Process(action, role, selector))
        .parse_next(input)
}

fn platform_action(input: &mut Input<'_>) -> ModalResult<PlatformAction> {
    alt((
        keyword("down").value(PlatformAction::Down),
        keyword("up").value(PlatformAction::Up),
        preceded(keyword("slow"), time).map(PlatformAction::Slow),
        preceded(keyword("lose"), integer).map(PlatformAction::LoseResponses),
    ))
    .context(expected("down, up, slow TIME or lose NUMBER"))
    .parse_next(input)
}

fn engine_command(input: &mut Input<'_>) -> ModalResult<engine::EngineCommand> {
    alt((
        preceded(keyword("slow"), decimal).map(engine::EngineCommand::Slow),
        preceded(keyword("cut-after"), integer).map(|n| engine::EngineCommand::CutAfter(Some(n))),
        keyword("uncut").value(engine::EngineCommand::CutAfter(None)),
        preceded(keyword("cross"), on_off).map(engine::EngineCommand::Cross),
        preceded(keyword("hang"), on_off).map(engine::EngineCommand::Hang),
        preceded(keyword("fail"), on_off).map(engine::EngineCommand::Fail),
    ))
    .context(expected("slow, cut-after, uncut, cross, hang or fail"))
    .parse_next(input)
}

fn service_command(input: &mut Input<'_>) -> ModalResult<service::ServiceCommand> {
    let millis = |t: Duration| u64::try_from(t.as_millis()).unwrap_or(u64::MAX);
    alt((
        preceded(keyword("delay"), time).map(move |t| service::ServiceCommand::Delay(millis(t))),
        preceded(keyword("lose"), integer).map(service::ServiceCommand::LoseAnswers),
        preceded(keyword("cross"), on_off).map(service::ServiceCommand::Cross),
    ))
    .context(expected("delay TIME, lose NUMBER or cross"))
    .parse_next(input)
}

fn link_kind(input: &mut Input<'_>) -> ModalResult<LinkKind> {
    alt((
        keyword("engine").value(LinkKind::Engine),
        keyword("service").value(LinkKind::Service),
        keyword("mesh").value(LinkKind::Mesh),
        keyword("callers").value(LinkKind::Callers),
        keyword("platform").value(LinkKind::Platform),
    ))
    .context(expected("engine, service, mesh, callers or platform"))
    .parse_next(input)
}

fn link_action(input: &mut Input<'_>) -> ModalResult<LinkAction> {
    let reset = keyword("reset").value(LinkAction::Reset);
    alt((reset, faults.map(LinkAction::Set)))
        .context(expected(
            "clear, reset, delay, hold, reset-after, lose, repeat or rate",
        ))
        .parse_next(input)
}

fn faults(input: &mut Input<'_>) -> ModalResult<LinkFaults> {
    let none = LinkFaults::default;
    let hold = |hold| LinkFaults { hold, ..none() };
    alt((
        keyword("clear").map(move |()| none()),
        preceded(keyword("delay"), time).map(move |t| LinkFaults {
            delay_ms: u64::try_from(t.as_millis()).unwrap_or(u64::MAX),
            ..none()
        }),
        preceded(keyword("hold"), keyword("both")).map(move |()| hold(HeldDirection::Both)),
        preceded(keyword("hold"), keyword("forward")).map(move |()| hold(HeldDirection::Forward)),
        preceded(keyword("hold"), keyword("back")).map(move |()| hold(HeldDirection::Back)),
        preceded(keyword("reset-after"), integer).map(move |n| LinkFaults {
            reset_after: Some(n),
            ..none()
        }),
        preceded(keyword("lose"), integer).map(move |n| LinkFaults {
            lose_answers: n,
            ..none()
        }),
        preceded(keyword("repeat"), integer).map(move |n| LinkFaults {
            repeat: n,
            ..none()
        }),
        preceded(keyword("rate"), integer).map(move |n| LinkFaults {
            rate: Some(n),
            ..none()
        }),
    ))
    .parse_next(input)
}

fn check(input: &mut Input<'_>) -> ModalResult<Check> {
    let since = |input: &mut Input<'_>| preceded(keyword("since"), name).parse_next(input);
    let answers = alt((
        preceded(keyword("answers"), keyword("whole")).value(Check::AnswersWhole),
        preceded(keyword("answers"), keyword("own")).value(Check::AnswersOwn),
    ));
    let unparameterised = alt((
        preceded(keyword("refusals"), keyword("true")).value(Check::RefusalsTrue),
        keyword("once").value(Check::Once),
        preceded(keyword("keys"), keyword("hidden")).value(Check::KeysHidden),
        preceded(keyword("orgs"), keyword("right")).value(Check::OrgsRight),
        preceded(keyword("config"), keyword("everywhere")).value(Check::ConfigEverywhere),
        preceded(keyword("config"), keyword("forward")).value(Check::ConfigForward),
        preceded(keyword("one"), keyword("winner")).value(Check::OneWinner),
        preceded(keyword("orders"), keyword("fenced")).value(Check::OrdersFenced),
    ));
    let of_flow = alt((
        preceded(keyword("refused"), (name, name)).map(|(f, code)| Check::Refused(f, code)),
        preceded(
            keyword("served"),
            (name, terminated(integer, keyword("percent"))),
        )
        .map(|(f, percent)| Check::Served(f, percent)),
        preceded(keyword("sooner"), (name, name)).map(|(f, other)| Check::Sooner(f, other)),
        preceded(keyword("hurt"), name).map(Check::Hurt),
    ));
    let started = preceded(
        keyword("started"),
        (
            parsed_word,
            preceded((keyword("at"), keyword("most")), integer),
        ),
    )
    .map(|(zone, n)| Check::Started(zone, n));
    let silent =
        preceded(keyword("silent"), (parsed_word, since)).map(|(o, m)| Check::Silent(o, m));
    let busy = preceded(keyword("busy"), (parsed_word, since)).map(|(o, m)| Check::Busy(o, m));
    let idle = preceded(keyword("idle"), (link_kind, selector, since))
        .map(|(k, s, m)| Check::Idle(k, s, m));
    alt((answers, unparameterised, of_flow, started, silent, busy, idle))
        .context(expected(
            "answers whole, answers own, refusals true, once, keys hidden, orgs right, config \
             everywhere, config forward, one winner, orders fenced, started, refused, served, sooner, hurt, silent, busy or idle",
        ))
        .parse_next(input)
}
