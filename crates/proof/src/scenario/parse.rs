//! Parses scenario files, which have one statement per line.

use {
    super::{
        ast::{FlowSpec, NumberedStep, Scenario, Step, ZoneSpec},
        lexer::{Input, decimal, expected, integer, keyword, parsed_word, text, word},
        step::{STEPS, step},
    },
    load::{LengthDistribution, RequestKind},
    std::{error::Error, fmt},
    winnow::{
        ModalResult, Parser,
        ascii::space0,
        combinator::{alt, cut_err, eof, opt, preceded},
        error::{ContextError, ParseError, StrContext},
        token::rest,
    },
};

/// Characters of each prompt.
const PROMPT_CHARS: usize = 400;
/// Number of distinct prompt prefixes.
const PROMPT_PREFIXES: u64 = 4;
const MODEL: &str = "surveyor-llm";
const FIRST_WORDS: &str = "scenario, seed, zone, engines, stewards, flow, or a step";

/// A parse error and its position in the scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What was expected.
    pub message: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: {}",
            self.line, self.column, self.message
        )
    }
}

impl Error for ScenarioError {}

enum Statement {
    Empty,
    Title(String),
    Seed(u64),
    Zone(ZoneSpec),
    Engines(Vec<String>),
    Stewards(String),
    Flow(FlowSpec),
    Step(Step),
}

/// Parses a scenario.
pub fn parse_scenario(source: &str) -> Result<Scenario, ScenarioError> {
    let mut scenario = Scenario::default();
    for (index, text) in source.lines().enumerate() {
        let line = index + 1;
        let parsed = statement_line
            .parse(text)
            .map_err(|e| to_error(line, text, &e))?;
        match parsed {
            Statement::Empty => {}
            Statement::Title(title) => scenario.title = title,
            Statement::Seed(seed) => scenario.seed = seed,
            Statement::Zone(zone) => scenario.zones.push(zone),
            Statement::Engines(args) => scenario.engine_args = args,
            Statement::Stewards(line) => {
                scenario.steward_settings.push_str(&line);
                scenario.steward_settings.push('\n');
            }
            Statement::Flow(flow) => scenario.flows.push(flow),
            Statement::Step(step) => scenario.steps.push(NumberedStep { line, step }),
        }
    }
    check_flow_names(&scenario)?;
    Ok(scenario)
}

fn to_error(line: usize, text: &str, error: &ParseError<&str, ContextError>) -> ScenarioError {
    let before = text.get(..error.offset()).unwrap_or(text);
    let expectations = error.inner().context().filter_map(|c| match c {
        StrContext::Expected(value) => Some(value.to_string()),
        _ => None,
    });
    let message = match expectations.last() {
        Some(expected) => format!("expected {expected}"),
        None => "invalid statement".into(),
    };
    ScenarioError {
        line,
        column: before.chars().count() + 1,
        message,
    }
}

fn check_flow_names(scenario: &Scenario) -> Result<(), ScenarioError> {
    for numbered in &scenario.steps {
        let Step::Load(names, _) = &numbered.step else {
            continue;
        };
        let unknown = names
            .iter()
            .find(|n| !scenario.flows.iter().any(|f| f.name == **n));
        if let Some(name) = unknown {
            return Err(ScenarioError {
                line: numbered.line,
                column: 1,
                message: format!("no flow is named {name}"),
            });
        }
    }
    Ok(())
}

fn statement_line(input: &mut Input<'_>) -> ModalResult<Statement> {
    let statement = opt(preceded(space0, statement)).parse_next(input)?;
    (space0, opt(('#', rest)), eof)
        .context(expected("the end of the line"))
        .parse_next(input)?;
    Ok(statement.unwrap_or(Statement::Empty))
}

fn statement(input: &mut Input<'_>) -> ModalResult<Statement> {
    let start = *input;
    let first_word = word(input)?;
    match first_word {
        "scenario" => cut_err(text.map(|t| Statement::Title(t.into()))).parse_next(input),
        "seed" => cut_err(integer.map(Statement::Seed)).parse_next(input),
        "zone" => cut_err(zone.map(Statement::Zone)).parse_next(input),
        "engines" => cut_err(text.map(engine_args)).parse_next(input),
        "stewards" => cut_err(text.map(|t| Statement::Stewards(t.into()))).parse_next(input),
        "flow" => cut_err(flow.map(Statement::Flow)).parse_next(input),
        name if STEPS.contains(&name) => {
            cut_err(|i: &mut Input<'_>| step(name, i).map(Statement::Step)).parse_next(input)
        }
        _ => {
            *input = start;
            let unknown = winnow::combinator::fail::<_, Statement, _>;
            cut_err(unknown.context(expected(FIRST_WORDS))).parse_next(input)
        }
    }
}

fn engine_args(text: &str) -> Statement {
    Statement::Engines(text.split_whitespace().map(Into::into).collect())
}

fn zone(input: &mut Input<'_>) -> ModalResult<ZoneSpec> {
    let zone = parsed_word.context(expected("a zone")).parse_next(input)?;
    let vms = preceded(keyword("vms"), integer).parse_next(input)?;
    let engines = preceded(keyword("engines"), integer).parse_next(input)?;
    let cheap = opt(preceded(keyword("cheap"), integer)).parse_next(input)?;
    let services = preceded(keyword("services"), integer).parse_next(input)?;
    let stock = opt(preceded(keyword("stock"), integer)).parse_next(input)?;
    Ok(ZoneSpec {
        zone,
        vms,
        engines,
        cheap: cheap.unwrap_or_default(),
        services,
        stock: stock.unwrap_or_default(),
    })
}

fn flow(input: &mut Input<'_>) -> ModalResult<FlowSpec> {
    let name = word.parse_next(input)?.into();
    let work = alt((chat, get, post))
        .context(expected("chat, get or post"))
        .parse_next(input)?;
    let org = preceded(keyword("org"), parsed_word).parse_next(input)?;
    let class = preceded(keyword("class"), parsed_word).parse_next(input)?;
    let rate = preceded(keyword("rate"), decimal).parse_next(input)?;
    Ok(FlowSpec {
        name,
        work,
        org,
        class,
        rate,
    })
}

fn chat(input: &mut Input<'_>) -> ModalResult<RequestKind> {
    let median: u32 = preceded(
        (keyword("chat"), cut_err(keyword("tokens"))),
        cut_err(integer),
    )
    .parse_next(input)?;
    let spread = opt(preceded(keyword("spread"), decimal)).parse_next(input)?;
    let model = MODEL
        .parse()
        .map_err(|_| winnow::error::ErrMode::Cut(ContextError::new()))?;
    Ok(RequestKind::Chat {
        model,
        lengths: LengthDistribution {
            median: median.into(),
            spread: spread.unwrap_or_default(),
            longest: 4 * u64::from(median),
        },
        prompt: PROMPT_CHARS,
        prefixes: PROMPT_PREFIXES,
    })
}

fn get(input: &mut Input<'_>) -> ModalResult<RequestKind> {
    preceded(keyword("get"), cut_err(word))
        .map(|path| RequestKind::Get { path: path.into() })
        .parse_next(input)
}

fn post(input: &mut Input<'_>) -> ModalResult<RequestKind> {
    (keyword("post"), cut_err(word), opt(keyword("keyed")))
        .map(|((), path, keyed)| RequestKind::Post {
            path: path.into(),
            keyed: keyed.is_some(),
        })
        .parse_next(input)
}
