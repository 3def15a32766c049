//! The settings document: what of a gateway's policy config may be read and set. Its JSON is that of the YANG module
//! (RFC 7951), so that neither has to be mapped to the other.

use ironstair::{Effect, Ms, PolicyConfig, Within};
use ironstair_cells::assign::Wrong;
use ironstair_cells::{Assignment, CellDirectory, Choice};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeSet;
use std::fmt;

/// A decimal64 with so many fraction digits, as text in JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Decimal<const DIGITS: u32>(f64);

impl<const DIGITS: u32> Decimal<DIGITS> {
    /// The nearest that has no more digits.
    pub fn of(x: f64) -> Self {
        let tens = 10f64.powi(DIGITS as i32);
        Decimal((x * tens).round() / tens)
    }
    pub fn get(self) -> f64 {
        self.0
    }
}

impl<const DIGITS: u32> fmt::Display for Decimal<DIGITS> {
    /// The canonical form of RFC 7950: no zeros behind but one.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let text = format!("{:.*}", DIGITS as usize, self.0);
        let short = text.trim_end_matches('0');
        f.write_str(short)?;
        f.write_str(if short.ends_with('.') { "0" } else { "" })
    }
}

impl<const DIGITS: u32> Serialize for Decimal<DIGITS> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de, const DIGITS: u32> Deserialize<'de> for Decimal<DIGITS> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let number = text.parse::<f64>().ok().filter(|x| x.is_finite());
        number
            .map(Self::of)
            .ok_or_else(|| D::Error::custom(format!("{text} is no decimal")))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatSafety {
    Repeatable,
    Tagged,
    OnceOnly,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    #[default]
    All,
    Zone,
    MarkGroup,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    Error,
    Warning,
    #[default]
    Info,
    Debug,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub expected: u32,
    #[serde(default)]
    pub expected_stretch: Decimal<3>,
    pub hard_limit: u32,
    #[serde(rename = "payoff")]
    pub value: Decimal<6>,
    #[serde(default = "one")]
    pub threads: u16,
    pub repeat: RepeatSafety,
    #[serde(default)]
    pub within: DeduplicationScope,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window: Option<u32>,
    #[serde(default)]
    pub in_order: bool,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub kind: Vec<String>,
}

fn one() -> u16 {
    1
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RetryBudget {
    pub spare: u32,
    pub share: Decimal<4>,
    pub span: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SlowStart {
    pub from: Decimal<4>,
    #[serde(rename = "warm-after")]
    pub slow_start_duration: u32,
    pub multiple: Decimal<3>,
    pub span: u32,
}

/// Tenants confined to a part of the engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Cells {
    #[serde(default = "single")]
    pub shard: u8,
    pub cell: Vec<Cell>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub engine: Vec<EnginePin>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tenant: Vec<TenantPin>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "turn-back")]
    pub retry_after: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lend: Option<Decimal<4>>,
}

fn single() -> u8 {
    1
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Cell {
    pub name: String,
    #[serde(default = "whole")]
    pub weight: Decimal<3>,
}

fn whole() -> Decimal<3> {
    Decimal(1.0)
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct EnginePin {
    pub name: String,
    pub cell: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TenantPin {
    pub name: String,
    #[serde(default)]
    pub cell: Vec<String>,
}

impl Cells {
    /// What a gateway keeps of them. `number` spreads a name over 64 bits, alike at every gateway.
    ///
    /// # Errors
    /// A cell that is not there, too many, or a shard that can't be; by its path.
    pub fn cell_directory(&self, number: fn(&[u8]) -> u64) -> Result<CellDirectory, Violation> {
        let at = |field: &str, reason: &dyn fmt::Display| {
            violation(format!("/settings/cells/{field}"), reason.to_string())
        };
        let mut cells: Vec<(String, f64)> = self
            .cell
            .iter()
            .map(|c| (c.name.clone(), c.weight.get()))
            .collect();
        // Alike from whatever order they were told in.
        cells.sort_by(|a, b| a.0.cmp(&b.0));
        let made = Assignment::new(1, &cells, self.shard as usize);
        let field = |e: &Wrong| {
            if matches!(e, Wrong::Shard(_)) {
                "shard"
            } else {
                "cell"
            }
        };
        let mut a = made.map_err(|e| at(field(&e), &e))?;
        for pin in &self.engine {
            // In lower case, like the names that the list brings.
            let id = number(pin.name.to_ascii_lowercase().as_bytes());
            let pinned = a.pin_engine(id, Some(&pin.cell));
            a = pinned.map_err(|e| at(&format!("engine[name={}]/cell", pin.name), &e))?;
        }
        for pin in &self.tenant {
            let names: Vec<&str> = pin.cell.iter().map(String::as_str).collect();
            let pinned = a.pin_tenant(number(pin.name.as_bytes()), Some(&names));
            a = pinned.map_err(|e| at(&format!("tenant[name={}]/cell", pin.name), &e))?;
        }
        let choice = match (self.retry_after, self.lend) {
            (Some(_), Some(_)) => return Err(at("lend", &"either turn-back or lend")),
            (_, Some(share)) => Choice::Lend { share: share.get() },
            (ms, None) => Choice::Reject {
                retry_after: ms.unwrap_or(0) as f64,
            },
        };
        Ok(CellDirectory::new(a, choice))
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Log {
    #[serde(default)]
    pub level: Level,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Document {
    #[serde(rename = "band")]
    pub class: Vec<Class>,
    pub gateways: u32,
    #[serde(rename = "forwards-most")]
    pub max_attempts: u8,
    #[serde(default)]
    pub advice: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "ration")]
    pub retry_budget: Option<RetryBudget>,
    #[serde(rename = "cold")]
    pub slow_start: SlowStart,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cells: Option<Cells>,
    #[serde(default)]
    pub log: Log,
}

/// The names under which zones and kinds of machine come, by the index that the decisions know.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl NameIndex {
    /// The number of a zone's name; one that was not told gets a number that no rule allows.
    pub fn zone(&self, name: &str) -> u16 {
        Self::index(&self.zones, name).unwrap_or(u16::MAX)
    }
    /// The number of a kind's name, likewise.
    pub fn kind(&self, name: &str) -> u16 {
        Self::index(&self.kinds, name).unwrap_or(u16::MAX)
    }
    pub(crate) fn index(names: &[String], name: &str) -> Option<u16> {
        names
            .iter()
            .position(|n| n.eq_ignore_ascii_case(name))
            .and_then(|i| u16::try_from(i).ok())
    }
}

/// Why a document or a change of it can't be, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    pub path: String,
    #[serde(rename = "why")]
    pub reason: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

pub(crate) fn violation(path: impl Into<String>, reason: impl Into<String>) -> Violation {
    Violation {
        path: path.into(),
        reason: reason.into(),
    }
}

pub(crate) fn class_path(name: &str, field: &str) -> String {
    format!("/settings/band[name={name}]/{field}")
}

impl Document {
    /// The document of what a gateway was told; figures with more digits than the tree has are rounded.
    /// `limits` are the classes' hard limits, in ms.
    pub fn configured(
        m: &PolicyConfig,
        names: &[String],
        limits: &[Ms],
        name_index: &NameIndex,
    ) -> Document {
        let whole = |x: Ms| x.round().clamp(0.0, u32::MAX as f64) as u32;
        let named = |of: &Option<Vec<u16>>, names: &[String]| -> Vec<String> {
            let of = of.iter().flatten();
            of.map(|&i| {
                names
                    .get(i as usize)
                    .cloned()
                    .unwrap_or_else(|| format!("unknown-{i}"))
            })
            .collect()
        };
        let class = m
            .classes
            .iter()
            .zip(names)
            .zip(limits)
            .map(|((t, name), &limit)| Class {
                name: name.clone(),
                expected: whole(t.expected),
                expected_stretch: Decimal::of(t.expected_stretch),
                hard_limit: whole(limit),
                value: Decimal::of(t.value),
                threads: t.threads as u16,
                repeat: match t.repeat {
                    Effect::Idempotent => RepeatSafety::Repeatable,
                    Effect::Deduplicated(_) => RepeatSafety::Tagged,
                    Effect::NonIdempotent => RepeatSafety::OnceOnly,
                },
                within: match t.repeat {
                    Effect::Deduplicated(Within::Zone) => DeduplicationScope::Zone,
                    Effect::Deduplicated(Within::MarkGroup) => DeduplicationScope::MarkGroup,
                    _ => DeduplicationScope::All,
                },
                window: matches!(t.repeat, Effect::Deduplicated(_)).then(|| whole(t.window)),
                in_order: t.in_order,
                zone: named(&t.zones, &name_index.zones),
                kind: named(&t.kinds, &name_index.kinds),
            });
        Document {
            class: class.collect(),
            gateways: m.gateways as u32,
            max_attempts: m.max_attempts,
            advice: whole(m.max_retry_after),
            retry_budget: m.retry_budget.map(|r| RetryBudget {
                spare: r.spare.round() as u32,
                share: Decimal::of(r.share),
                span: whole(r.span),
            }),
            slow_start: SlowStart {
                from: Decimal::of(m.slow_start_from),
                slow_start_duration: whole(m.slow_start_duration),
                multiple: Decimal::of(m.fall_multiple),
                span: whole(m.fall_span),
            },
            cells: None,
            log: Log::default(),
        }
    }

    /// All that the types and ranges of the tree do not say: its `must` statements, and names that the gateway
    /// was not told.
    pub fn violations(&self, name_index: &NameIndex) -> Vec<Violation> {
        let mut found = Vec::new();
        let mut check = |ok: bool, path: String, reason: &str| {
            if !ok {
                found.push(violation(path, reason));
            }
        };
        check(
            !self.class.is_empty(),
            "/settings/band".into(),
            "there must be a band",
        );
        let mut names = BTreeSet::new();
        for b in &self.class {
            let at = |field: &str| class_path(&b.name, field);
            check(names.insert(&b.name), at("name"), "the name is there twice");
            check(
                b.hard_limit >= b.expected,
                at("hard-limit"),
                "the hard limit is shorter than the expected time",
            );
            let tagged = b.repeat == RepeatSafety::Tagged;
            check(
                tagged || b.within == DeduplicationScope::All,
                at("within"),
                "within is for tagged bands",
            );
            check(
                tagged || b.window.is_none(),
                at("window"),
                "window is for tagged bands",
            );
            check(
                !tagged || b.window.is_some(),
                at("window"),
                "a tagged band needs its window",
            );
            for (field, names, known) in [
                ("zone", &b.zone, &name_index.zones),
                ("kind", &b.kind, &name_index.kinds),
            ] {
                for name in names {
                    let configured = NameIndex::index(known, name).is_some();
                    check(
                        configured,
                        at(field),
                        &format!("{name} is not among those told at start"),
                    );
                }
            }
        }
        // Which names are meant matters here, not what they are spread over.
        found.extend(
            self.cells
                .iter()
                .filter_map(|c| c.cell_directory(|name| name.len() as u64).err()),
        );
        found
    }
}
