//! Steps of the scenario language.

use {
    super::{
        ast::{Act, Check, Line, LinkFault, PlatformFault, Role, Step},
        lexis::{Input, decimal, expected, keyword, number, parsed, place, switch, time, word},
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

/// Words that begin a step.
pub(super) const STEPS: [&str; 21] = [
    "load", "finish", "sleep", "stop", "kill", "pause", "continue", "start", "platform", "engine",
    "service", "link", "leave", "remove", "withdraw", "weight", "race", "settle", "mark", "check",
    "pool",
];

/// Parses what follows the word that begins a step.
pub(super) fn step(head: &str, input: &mut Input<'_>) -> ModalResult<Step> {
    match head {
        "load" => load(input),
        "finish" => Ok(Step::Finish),
        "sleep" => time.map(Step::Sleep).parse_next(input),
        "stop" => process(Act::Stop, input),
        "kill" => process(Act::Kill, input),
        "pause" => process(Act::Pause, input),
        "continue" => process(Act::Continue, input),
        "start" => process(Act::Start, input),
        "platform" => platform.map(Step::Platform).parse_next(input),
        "engine" => (place, engine)
            .map(|(p, c)| Step::Engine(p, c))
            .parse_next(input),
        "service" => (place, service)
            .map(|(p, c)| Step::Service(p, c))
            .parse_next(input),
        "link" => (line, place, link)
            .map(|(l, p, f)| Step::Link(l, p, f))
            .parse_next(input),
        "leave" => preceded(keyword("engine"), place)
            .map(Step::Leave)
            .parse_next(input),
        "remove" => preceded(keyword("engine"), place)
            .map(Step::Remove)
            .parse_next(input),
        "withdraw" => parsed.map(Step::Withdraw).parse_next(input),
        "weight" => (parsed, number)
            .map(|(o, n)| Step::Weight(o, n))
            .parse_next(input),
        "race" => (parsed, number)
            .map(|(o, n)| Step::Race(o, n))
            .parse_next(input),
        "pool" => (
            parsed,
            preceded(keyword("min"), number),
            preceded(keyword("max"), number),
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
    let length = preceded(keyword("for"), time).parse_next(input)?;
    Ok(Step::Load(names, length))
}

fn process(act: Act, input: &mut Input<'_>) -> ModalResult<Step> {
    let role = alt((
        keyword("entry").value(Role::Entry),
        keyword("steward").value(Role::Steward),
    ));
    (role.context(expected("entry or steward")), place)
        .map(|(role, place)| Step::Process(act, role, place))
        .parse_next(input)
}

fn platform(input: &mut Input<'_>) -> ModalResult<PlatformFault> {
    alt((
        keyword("down").value(PlatformFault::Down),
        keyword("up").value(PlatformFault::Up),
        preceded(keyword("slow"), time).map(PlatformFault::Slow),
        preceded(keyword("lose"), number).map(PlatformFault::LoseAnswers),
    ))
    .context(expected("down, up, slow TIME or lose NUMBER"))
    .parse_next(input)
}

fn engine(input: &mut Input<'_>) -> ModalResult<engine::EngineCommand> {
    alt((
        preceded(keyword("slow"), decimal).map(engine::EngineCommand::Slow),
        preceded(keyword("cut-after"), number).map(|n| engine::EngineCommand::CutAfter(Some(n))),
        keyword("uncut").value(engine::EngineCommand::CutAfter(None)),
        preceded(keyword("cross"), switch).map(engine::EngineCommand::Cross),
        preceded(keyword("hang"), switch).map(engine::EngineCommand::Hang),
        preceded(keyword("fail"), switch).map(engine::EngineCommand::Fail),
    ))
    .context(expected("slow, cut-after, uncut, cross, hang or fail"))
    .parse_next(input)
}

fn service(input: &mut Input<'_>) -> ModalResult<service::ServiceCommand> {
    let millis = |t: Duration| u64::try_from(t.as_millis()).unwrap_or(u64::MAX);
    alt((
        preceded(keyword("delay"), time).map(move |t| service::ServiceCommand::Delay(millis(t))),
        preceded(keyword("lose"), number).map(service::ServiceCommand::LoseAnswers),
        preceded(keyword("cross"), switch).map(service::ServiceCommand::Cross),
    ))
    .context(expected("delay TIME, lose NUMBER or cross"))
    .parse_next(input)
}

fn line(input: &mut Input<'_>) -> ModalResult<Line> {
    alt((
        keyword("engine").value(Line::Engine),
        keyword("service").value(Line::Service),
        keyword("mesh").value(Line::Mesh),
        keyword("callers").value(Line::Callers),
        keyword("platform").value(Line::Platform),
    ))
    .context(expected("engine, service, mesh, callers or platform"))
    .parse_next(input)
}

fn link(input: &mut Input<'_>) -> ModalResult<LinkFault> {
    let reset = keyword("reset").value(LinkFault::Reset);
    alt((reset, faults.map(LinkFault::Set)))
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
        preceded(keyword("reset-after"), number).map(move |n| LinkFaults {
            reset_after: Some(n),
            ..none()
        }),
        preceded(keyword("lose"), number).map(move |n| LinkFaults {
            lose_answers: n,
            ..none()
        }),
        preceded(keyword("repeat"), number).map(move |n| LinkFaults {
            repeat: n,
            ..none()
        }),
        preceded(keyword("rate"), number).map(move |n| LinkFaults {
            rate: Some(n),
            ..none()
        }),
    ))
    .parse_next(input)
}

fn check(input: &mut Input<'_>) -> ModalResult<Check> {
    let since = |input: &mut Input<'_>| preceded(keyword("since"), name).parse_next(input);
    let answers = alt((
        preceded(keyword("answers"), keyword("whole")).value(Check::Whole),
        preceded(keyword("answers"), keyword("own")).value(Check::Own),
    ));
    let plain = alt((
        preceded(keyword("refusals"), keyword("true")).value(Check::RefusalsTrue),
        keyword("once").value(Check::Once),
        preceded(keyword("keys"), keyword("hidden")).value(Check::KeysHidden),
        preceded(keyword("orgs"), keyword("right")).value(Check::OrgsRight),
        preceded(keyword("config"), keyword("everywhere")).value(Check::Config),
        preceded(keyword("config"), keyword("forward")).value(Check::Forward),
        preceded(keyword("one"), keyword("winner")).value(Check::OneWinner),
        preceded(keyword("orders"), keyword("fenced")).value(Check::OrdersFenced),
    ));
    let flow = alt((
        preceded(keyword("refused"), (name, name)).map(|(f, code)| Check::Refused(f, code)),
        preceded(
            keyword("served"),
            (name, terminated(number, keyword("percent"))),
        )
        .map(|(f, share)| Check::Served(f, share)),
        preceded(keyword("sooner"), (name, name)).map(|(f, other)| Check::Sooner(f, other)),
        preceded(keyword("hurt"), name).map(Check::Hurt),
    ));
    let started = preceded(
        keyword("started"),
        (parsed, preceded((keyword("at"), keyword("most")), number)),
    )
    .map(|(zone, n)| Check::Started(zone, n));
    let silent = preceded(keyword("silent"), (parsed, since)).map(|(o, m)| Check::Silent(o, m));
    let busy = preceded(keyword("busy"), (parsed, since)).map(|(o, m)| Check::Busy(o, m));
    let idle =
        preceded(keyword("idle"), (line, place, since)).map(|(l, p, m)| Check::Idle(l, p, m));
    alt((answers, plain, flow, started, silent, busy, idle))
        .context(expected(
            "answers whole, answers own, refusals true, once, keys hidden, orgs right, config \
             everywhere, config forward, one winner, orders fenced, started, refused, served, sooner, hurt, silent, busy or idle",
        ))
        .parse_next(input)
}
