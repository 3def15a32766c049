//! Builds the schema from the statements of the YANG module.

use super::{Node, NodeKind, Schema};
use crate::value::{decimal_units, LeafType};
use crate::yang::{self, Statement, SyntaxError};
use regex::Regex;
use std::ops::RangeInclusive;
use std::sync::Arc;

/// Limit on the number of types in a chain of typedefs, so that typedefs that refer to each other in a cycle are not
/// followed for ever.
const MAX_TYPEDEF_CHAIN: usize = 8;

/// Why a YANG module can't be used as the schema.
#[derive(Debug, thiserror::Error)]
pub enum SchemaError {
    /// The text is not a YANG module.
    #[error(transparent)]
    Syntax(#[from] SyntaxError),
    /// The YANG module has no `revision` statement.
    #[error("the YANG module has no revision statement")]
    NoRevision,
    /// The YANG module has no `namespace` statement.
    #[error("the YANG module has no namespace statement")]
    NoNamespace,
    /// A statement is incomplete or uses a part of YANG that is not implemented.
    #[error("line {line}: {fault}")]
    Statement {
        /// The line of the statement, from 1.
        line: usize,
        /// The fault.
        fault: StatementFault,
    },
    /// The argument of a `range` or `length` statement can't be read.
    #[error("{0:?} is not a valid range or length")]
    Range(String),
    /// The argument of a `pattern` statement is not a regular expression.
    #[error(transparent)]
    Pattern(#[from] regex::Error),
}

/// A fault of a statement of the YANG module.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementFault {
    /// A list has no key, or more than one.
    #[error("a list must have exactly one key")]
    ListKey,
    /// The statement is a part of YANG that is not implemented.
    #[error("the statement is a part of YANG that is not supported")]
    UnsupportedStatement,
    /// The argument of `min-elements` or `max-elements` is not a number.
    #[error("the argument of min-elements or max-elements is not a number")]
    ElementCount,
    /// A leaf or typedef has no type.
    #[error("the type statement is missing")]
    NoType,
    /// A decimal64 has no `fraction-digits`, or their number can't be read.
    #[error("a decimal64 must have a valid fraction-digits statement")]
    FractionDigits,
    /// The type is a part of YANG that is not implemented.
    #[error("the type {0} is not supported")]
    UnsupportedType(String),
}

impl SchemaError {
    fn at(statement: &Statement, fault: StatementFault) -> Self {
        SchemaError::Statement {
            line: statement.line,
            fault,
        }
    }
}

impl Schema {
    /// Reads the schema from the text of a YANG module.
    ///
    /// # Errors
    /// Fails if the text is not YANG, or uses a part of YANG that is not implemented.
    pub fn read(text: &str) -> Result<Schema, SchemaError> {
        let module = yang::parse(text)?;
        let root = Node {
            name: module.argument.as_str().into(),
            kind: NodeKind::Container,
            config: true,
            mandatory: false,
            presence: false,
            min_elements: 0,
            max_elements: usize::MAX,
            units: None,
            typedef: None,
            children: children(&module, &module, true)?,
        };
        let revision = module
            .argument_of("revision")
            .ok_or(SchemaError::NoRevision)?;
        let namespace = module
            .argument_of("namespace")
            .ok_or(SchemaError::NoNamespace)?;
        Ok(Schema {
            root,
            revision: revision.to_owned(),
            namespace: namespace.to_owned(),
        })
    }

    /// Reads the schema from the YANG module that is compiled into the program.
    ///
    /// # Errors
    /// Fails if the module can't be read. The tests read it, so that a failure means a faulty build.
    pub fn shipped() -> Result<Schema, SchemaError> {
        Schema::read(crate::MODULE)
    }
}

fn children(
    parent: &Statement,
    module: &Statement,
    config: bool,
) -> Result<Vec<Node>, SchemaError> {
    parent
        .substatements
        .iter()
        .filter_map(|statement| node(statement, module, config).transpose())
        .collect()
}

/// The node that a statement defines; `None` if the statement defines none.
fn node(
    statement: &Statement,
    module: &Statement,
    config: bool,
) -> Result<Option<Node>, SchemaError> {
    let config = config && statement.argument_of("config") != Some("false");
    let Some(kind) = node_kind(statement, module)? else {
        return Ok(None);
    };
    Ok(Some(Node {
        name: statement.argument.as_str().into(),
        kind,
        config,
        mandatory: statement.argument_of("mandatory") == Some("true"),
        presence: statement.first("presence").is_some(),
        min_elements: element_count(statement, "min-elements", 0)?,
        max_elements: element_count(statement, "max-elements", usize::MAX)?,
        units: statement.argument_of("units").map(String::from),
        typedef: statement.argument_of("type").map(String::from),
        children: children(statement, module, config)?,
    }))
}

fn node_kind(statement: &Statement, module: &Statement) -> Result<Option<NodeKind>, SchemaError> {
    let kind = match statement.keyword.as_str() {
        "container" => NodeKind::Container,
        "list" => NodeKind::List {
            key: list_key(statement)?,
        },
        "leaf" => NodeKind::Leaf(leaf_type(statement, module)?),
        "leaf-list" => NodeKind::LeafList(leaf_type(statement, module)?),
        "choice" | "augment" | "uses" | "anydata" | "anyxml" | "rpc" | "notification" => {
            return Err(SchemaError::at(
                statement,
                StatementFault::UnsupportedStatement,
            ));
        }
        _ => return Ok(None),
    };
    Ok(Some(kind))
}

fn list_key(statement: &Statement) -> Result<Arc<str>, SchemaError> {
    let key = statement
        .argument_of("key")
        .filter(|key| !key.contains(' '));
    match key {
        Some(key) => Ok(key.into()),
        None => Err(SchemaError::at(statement, StatementFault::ListKey)),
    }
}

fn element_count(
    statement: &Statement,
    keyword: &str,
    default: usize,
) -> Result<usize, SchemaError> {
    match statement.argument_of(keyword) {
        Some(count) => count
            .parse()
            .map_err(|_| SchemaError::at(statement, StatementFault::ElementCount)),
        None => Ok(default),
    }
}

/// The `type` statements of a leaf, from its own through the typedefs to the built-in type.
struct TypeChain<'a> {
    types: Vec<&'a Statement>,
    built_in: &'a str,
}

impl<'a> TypeChain<'a> {
    fn of(leaf: &'a Statement, module: &'a Statement) -> Result<Self, SchemaError> {
        let mut types = Vec::new();
        let mut definition = leaf;
        loop {
            let type_statement = definition
                .first("type")
                .ok_or_else(|| SchemaError::at(definition, StatementFault::NoType))?;
            types.push(type_statement);
            let typedef = module
                .all("typedef")
                .find(|typedef| typedef.argument == type_statement.argument);
            match typedef {
                Some(typedef) if types.len() < MAX_TYPEDEF_CHAIN => definition = typedef,
                _ => {
                    return Ok(TypeChain {
                        types,
                        built_in: &type_statement.argument,
                    });
                }
            }
        }
    }

    /// The argument of a restriction. The one nearest to the leaf applies: YANG allows it only to narrow those of the
    /// typedefs.
    fn restriction(&self, keyword: &str) -> Option<&'a str> {
        self.types
            .iter()
            .find_map(|statement| statement.argument_of(keyword))
    }

    /// The argument of the `range` statement; the whole range of the type without one.
    fn range(&self) -> &'a str {
        self.restriction("range").unwrap_or("min .. max")
    }
}

fn leaf_type(leaf: &Statement, module: &Statement) -> Result<LeafType, SchemaError> {
    let chain = TypeChain::of(leaf, module)?;
    match chain.built_in {
        "boolean" => Ok(LeafType::Bool),
        "uint8" => unsigned_type(&chain, u64::from(u8::MAX), false),
        "uint16" => unsigned_type(&chain, u64::from(u16::MAX), false),
        "uint32" => unsigned_type(&chain, u64::from(u32::MAX), false),
        "uint64" => unsigned_type(&chain, u64::MAX, true),
        "decimal64" => decimal_type(&chain, leaf),
        "string" => string_type(&chain),
        "enumeration" => Ok(enumeration_type(&chain)),
        other => Err(SchemaError::at(
            leaf,
            StatementFault::UnsupportedType(other.to_owned()),
        )),
    }
}

fn unsigned_type(chain: &TypeChain, max: u64, is_64_bit: bool) -> Result<LeafType, SchemaError> {
    let ranges = ranges(chain.range(), 0, max, |bound| bound.parse().ok())?;
    Ok(LeafType::Uint { is_64_bit, ranges })
}

fn decimal_type(chain: &TypeChain, leaf: &Statement) -> Result<LeafType, SchemaError> {
    let digits = chain
        .restriction("fraction-digits")
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(|| SchemaError::at(leaf, StatementFault::FractionDigits))?;
    let ranges = ranges(chain.range(), i64::MIN, i64::MAX, |bound| {
        decimal_units(bound, digits)
    })?;
    Ok(LeafType::Decimal { digits, ranges })
}

fn string_type(chain: &TypeChain) -> Result<LeafType, SchemaError> {
    let lengths = match chain.restriction("length") {
        Some(length) => ranges(length, 0, u64::MAX, |bound| bound.parse().ok())?,
        None => Vec::new(),
    };
    let patterns = chain
        .types
        .iter()
        .filter_map(|statement| statement.argument_of("pattern"))
        .map(|pattern| Regex::new(&format!("^(?:{pattern})$")))
        .collect::<Result<_, _>>()?;
    Ok(LeafType::Text { lengths, patterns })
}

fn enumeration_type(chain: &TypeChain) -> LeafType {
    let members = chain
        .types
        .iter()
        .flat_map(|statement| statement.all("enum"))
        .map(|member| member.argument.as_str().into());
    LeafType::Enum(members.collect())
}

/// Reads the argument of a `range` or `length` statement; `min` and `max` in it mean the bounds of the type.
fn ranges<T: Copy>(
    text: &str,
    min: T,
    max: T,
    read: impl Fn(&str) -> Option<T>,
) -> Result<Vec<RangeInclusive<T>>, SchemaError> {
    let bound = |text: &str| match text.trim() {
        "min" => Some(min),
        "max" => Some(max),
        other => read(other),
    };
    let range = |part: &str| match part.split_once("..") {
        Some((from, to)) => Some(bound(from)?..=bound(to)?),
        None => bound(part).map(|only| only..=only),
    };
    text.split('|')
        .map(|part| range(part).ok_or_else(|| SchemaError::Range(text.to_owned())))
        .collect()
}
