//! The command line's own client of management: reads, changes, watches.

use humantime::Duration as Span;
use ironstair_data_tree::path::{key_name, Wanted};
use ironstair_data_tree::{Pattern, Schema};
use ironstair_gnmi::proto::gnmi::g_nmi_client::GNmiClient;
use ironstair_gnmi::proto::gnmi::{
    self, subscribe_request, subscribe_response, typed_value, TypedValue,
};
use ironstair_gnmi::proto::gnmi_ext::{self, commit::Action, extension::Ext, Commit, Extension};
use ironstair_gnmi::FLEET;
use serde_json::{json, Value as Json};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{ErrorKind, Write as _};
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Identity};
use tonic::{Code, Status};

/// Of one answer; a tree of thousands of engines is some megabytes.
const ANSWER_MOST: usize = 64 << 20;
const CONNECT_WITHIN: Duration = Duration::from_secs(5);

#[derive(clap::Args)]
pub struct At {
    /// Where a gateway serves management
    #[arg(
        global = true,
        long,
        env = "IRONSTAIR_AT",
        default_value = "127.0.0.1:9339",
        value_name = "HOST:PORT"
    )]
    at: String,
    /// For programs: JSON instead of tables
    #[arg(global = true, long)]
    json: bool,
    /// The authority of the gateway's certificate, as PEM: with it TLS is spoken
    #[arg(global = true, long, env = "IRONSTAIR_CA", value_name = "FILE", requires_all = ["cert", "key"])]
    ca: Option<PathBuf>,
    /// The own certificate, as PEM
    #[arg(global = true, long, env = "IRONSTAIR_CERT", value_name = "FILE")]
    cert: Option<PathBuf>,
    /// The key of that, as PEM
    #[arg(global = true, long, env = "IRONSTAIR_KEY", value_name = "FILE")]
    key: Option<PathBuf>,
    /// The name in the gateway's certificate, where it is not the host's
    #[arg(global = true, long, value_name = "NAME")]
    server_name: Option<String>,
}

#[derive(clap::Args)]
pub struct Get {
    /// As /state/engine or /settings/band[name=lookup]/expected; * and ... stand for any
    #[arg(default_value = "/")]
    path: String,
    #[command(flatten)]
    at: At,
}

#[derive(clap::Args)]
pub struct Set {
    path: String,
    /// JSON, or text as it is; what it does not say stays
    #[arg(required_unless_present = "delete", conflicts_with = "delete")]
    value: Option<String>,
    /// What the value does not say goes
    #[arg(long, conflicts_with = "delete")]
    replace: bool,
    /// Takes out what is at the path
    #[arg(long)]
    delete: bool,
    /// Takes the change back by itself unless confirmed in time, as 2m
    #[arg(long, value_name = "TIME")]
    confirm_within: Option<Span>,
    /// Under which it is confirmed; made up where it is missing
    #[arg(long, requires = "confirm_within")]
    id: Option<String>,
    /// At every gateway of the fleet or at none
    #[arg(long)]
    fleet: bool,
    #[command(flatten)]
    at: At,
}

#[derive(clap::Args)]
pub struct Trial {
    /// As told by `set --confirm-within`; the one that waits where it is missing
    id: Option<String>,
    /// Of the fleet's change
    #[arg(long)]
    fleet: bool,
    #[command(flatten)]
    at: At,
}

#[derive(clap::Args)]
pub struct Watch {
    path: String,
    /// Samples instead of changes, as 1s
    #[arg(long, value_name = "TIME")]
    every: Option<Span>,
    /// Ends after so many messages
    #[arg(long)]
    count: Option<usize>,
    #[command(flatten)]
    at: At,
}

#[derive(clap::Args)]
pub struct Move {
    tenant: String,
    /// Where its requests go from now on
    #[arg(required = true)]
    cells: Vec<String>,
    /// Takes the move back by itself unless confirmed in time, as 2m
    #[arg(long, value_name = "TIME")]
    confirm_within: Option<Span>,
    /// At every gateway of the fleet or at none
    #[arg(long)]
    fleet: bool,
    #[command(flatten)]
    at: At,
}

#[derive(clap::Args)]
pub struct Revisions {
    /// Those of the fleet
    #[arg(long)]
    fleet: bool,
    #[command(flatten)]
    at: At,
}

#[derive(clap::Args)]
pub struct Fleet {
    #[command(subcommand)]
    what: Option<FleetWhat>,
    #[command(flatten)]
    at: At,
}

/// How often it is looked whether a history that began anew has its leader.
const ANEW_LOOKS: usize = 20;
const ANEW_LOOK: std::time::Duration = std::time::Duration::from_millis(200);

#[derive(clap::Subcommand)]
enum FleetWhat {
    /// Begins the fleet's history with what this gateway was told, once, at the first voter by name
    Begin,
    /// Begins it anew at a voter, after most voters' disks were lost for good: with the last policy that this one's
    /// disk holds. What was decided after that is lost, and most voters that still run elsewhere must not
    BeginAnew,
}

#[derive(clap::Args)]
pub struct Endpoint {
    #[command(flatten)]
    at: At,
}

/// What went wrong, and the code that the process ends with.
pub struct Failed(pub String, pub u8);

impl From<Status> for Failed {
    /// 3: refused, nothing changed; 4: no gateway there, or it ends; 5: nothing at that path.
    fn from(s: Status) -> Failed {
        let code = match s.code() {
            Code::Unavailable | Code::Cancelled | Code::DeadlineExceeded => 4,
            Code::NotFound => 5,
            Code::Unknown | Code::Internal => 1,
            _ => 3,
        };
        Failed(s.message().to_string(), code)
    }
}

type Done = Result<(), Failed>;
type Client = GNmiClient<Channel>;

fn wrong(text: String) -> Failed {
    Failed(text, 2)
}

async fn client(at: &At) -> Result<Client, Failed> {
    let unreachable = |e: &dyn std::fmt::Display| {
        Failed(
            format!("{}: no gateway serves management there: {e}", at.at),
            4,
        )
    };
    let scheme = if at.ca.is_some() { "https" } else { "http" };
    let endpoint = Channel::from_shared(format!("{scheme}://{}", at.at));
    let mut endpoint = endpoint.map_err(|e| wrong(e.to_string()))?;
    if let (Some(ca), Some(cert), Some(key)) = (&at.ca, &at.cert, &at.key) {
        let file =
            |p: &PathBuf| std::fs::read(p).map_err(|e| wrong(format!("{}: {e}", p.display())));
        let mut tls = ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(file(ca)?))
            .identity(Identity::from_pem(file(cert)?, file(key)?));
        if let Some(name) = &at.server_name {
            tls = tls.domain_name(name);
        }
        endpoint = endpoint
            .tls_config(tls)
            .map_err(|e| wrong(format!("the keys can't be used: {e}")))?;
    }
    let connected = endpoint.connect_timeout(CONNECT_WITHIN).connect().await;
    let channel = connected.map_err(|e| unreachable(&cause(&e)))?;
    Ok(GNmiClient::new(channel).max_decoding_message_size(ANSWER_MOST))
}

/// The innermost reason: what is around it says no more than that the transport failed.
fn cause(e: &dyn std::error::Error) -> String {
    e.source().map_or_else(|| e.to_string(), cause)
}

fn path(text: &str) -> Result<gnmi::Path, Failed> {
    let pattern = Pattern::read(text).map_err(wrong)?;
    let elem = pattern.0.iter().map(|w| match w {
        Wanted::Any => gnmi::PathElem {
            name: "...".into(),
            ..Default::default()
        },
        Wanted::Step {
            name,
            key,
            key_name,
        } => {
            let any = || "*".to_string();
            let key = key_name.iter().map(|k| {
                (
                    k.to_string(),
                    key.as_ref().map_or_else(any, |v| v.to_string()),
                )
            });
            gnmi::PathElem {
                name: name.as_ref().map_or_else(any, |n| n.to_string()),
                key: key.collect(),
            }
        }
    });
    Ok(gnmi::Path {
        elem: elem.collect(),
        ..Default::default()
    })
}

/// A path as text; the keys in the order of their names.
fn shown(prefix: Option<&gnmi::Path>, path: Option<&gnmi::Path>) -> String {
    let mut text = String::new();
    for e in prefix.into_iter().chain(path).flat_map(|p| &p.elem) {
        let _ = write!(text, "/{}", e.name);
        let keys: BTreeMap<&String, &String> = e.key.iter().collect();
        for (k, v) in keys {
            let _ = write!(text, "[{k}={v}]");
        }
    }
    if text.is_empty() {
        "/".into()
    } else {
        text
    }
}

fn value(v: Option<&TypedValue>) -> Json {
    use typed_value::Value as V;
    match v.and_then(|v| v.value.as_ref()) {
        Some(V::StringVal(s) | V::AsciiVal(s)) => json!(s),
        Some(V::IntVal(n)) => json!(n),
        Some(V::UintVal(n)) => json!(n),
        Some(V::BoolVal(b)) => json!(b),
        Some(V::DoubleVal(x)) => json!(x),
        Some(V::LeaflistVal(all)) => all.element.iter().map(|v| value(Some(v))).collect(),
        Some(V::JsonVal(b) | V::JsonIetfVal(b)) => serde_json::from_slice(b).unwrap_or(Json::Null),
        _ => Json::Null,
    }
}

fn plain(v: &Json) -> String {
    match v {
        Json::String(s) => s.clone(),
        Json::Array(all) => all.iter().map(plain).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

async fn read(at: &At, what: &str, encoding: gnmi::Encoding) -> Result<Vec<gnmi::Update>, Failed> {
    let request = gnmi::GetRequest {
        path: vec![path(what)?],
        encoding: encoding as i32,
        ..Default::default()
    };
    let answer = client(at).await?.get(request).await?.into_inner();
    Ok(answer
        .notification
        .into_iter()
        .flat_map(|n| n.update)
        .collect())
}

pub async fn get(g: Get) -> Done {
    if g.at.json {
        let all = read(&g.at, &g.path, gnmi::Encoding::JsonIetf).await?;
        let all = all
            .iter()
            .map(|u| json!({"path": shown(None, u.path.as_ref()), "value": value(u.val.as_ref())}));
        return say(&format!("{:#}", Json::Array(all.collect())));
    }
    say(&table(
        &schema()?,
        &read(&g.at, &g.path, gnmi::Encoding::Proto).await?,
    ))
}

type Row = BTreeMap<String, String>;

/// Entries of one list as a table, a row each; everything else a line each.
fn table(schema: &Schema, updates: &[gnmi::Update]) -> String {
    let mut text = String::new();
    let mut lists: Vec<(String, Vec<String>, Vec<Row>)> = Vec::new();
    let mut last = String::new();
    for u in updates {
        let Some(path) = &u.path else { continue };
        let nodes = path
            .elem
            .iter()
            .try_fold(&schema.root, |n, e| n.child(&e.name));
        let moments = nodes.is_some_and(|n| n.typedef.as_deref() == Some("moment"));
        let value = value(u.val.as_ref());
        let value = if moments {
            moment(value.as_u64().unwrap_or(0))
        } else {
            plain(&value)
        };
        let n = path.elem.len();
        let entry = n >= 2 && !path.elem[n - 2].key.is_empty();
        if !entry {
            let _ = writeln!(text, "{} {value}", shown(None, Some(path)));
            continue;
        }
        let list = shown(
            None,
            Some(&gnmi::Path {
                elem: path.elem[..n - 1].to_vec(),
                ..Default::default()
            }),
        );
        let name = list
            .rsplit_once('[')
            .map_or(list.as_str(), |l| l.0)
            .to_string();
        if lists.last().is_none_or(|l| l.0 != name) {
            lists.push((name, Vec::new(), Vec::new()));
            last.clear();
        }
        let Some((_, columns, rows)) = lists.last_mut() else {
            continue;
        };
        if list != last {
            let key = path.elem[n - 2]
                .key
                .values()
                .next()
                .cloned()
                .unwrap_or_default();
            let name = key_name(&path.elem[n - 2].name).to_string();
            if !columns.contains(&name) {
                columns.insert(0, name.clone());
            }
            rows.push(BTreeMap::from([(name, key)]));
            last = list;
        }
        let column = &path.elem[n - 1].name;
        if !columns.contains(column) {
            columns.push(column.clone());
        }
        if let Some(row) = rows.last_mut() {
            row.insert(column.clone(), value);
        }
    }
    for (name, mut columns, rows) in lists {
        // In the order of the module, which puts first what is looked for first.
        let steps = name.split('/').filter(|s| !s.is_empty());
        let mut steps = steps.map(|s| s.split('[').next().unwrap_or(s));
        let list = steps.try_fold(&schema.root, |n, step| n.child(step));
        let place = |c: &String| list.and_then(|l| l.inner.iter().position(|n| *n.name == **c));
        columns.sort_by_key(place);
        let cell = |row: &Row, c: &String| row.get(c).cloned().unwrap_or("-".into());
        let wide = |c: &String| {
            rows.iter()
                .map(|r| cell(r, c).chars().count())
                .max()
                .unwrap_or(0)
                .max(c.len())
        };
        let mut line = |cells: Vec<String>| {
            let padded = cells
                .iter()
                .zip(&columns)
                .map(|(v, c)| format!("{v:<0$}", wide(c)));
            let padded: Vec<String> = padded.collect();
            let _ = writeln!(text, "{}", padded.join("  ").trim_end());
        };
        line(columns.clone());
        rows.iter()
            .for_each(|r| line(columns.iter().map(|c| cell(r, c)).collect()));
        let _ = writeln!(text, "({} of {name})", rows.len());
    }
    text
}

fn commit(id: String, action: Action) -> Vec<Extension> {
    vec![Extension {
        ext: Some(Ext::Commit(Commit {
            id,
            action: Some(action),
        })),
    }]
}

fn span(of: Span) -> prost_types::Duration {
    prost_types::Duration {
        seconds: of.as_secs() as i64,
        nanos: of.subsec_nanos() as i32,
    }
}

pub async fn set(s: Set) -> Done {
    let at = path(&s.path)?;
    let json: Json = match &s.value {
        // What is no JSON is text: nobody writes quotes within quotes on a command line.
        Some(v) => serde_json::from_str(v).unwrap_or_else(|_| json!(v)),
        None => Json::Null,
    };
    let bytes = json.to_string().into_bytes();
    let val = Some(TypedValue {
        value: Some(typed_value::Value::JsonIetfVal(bytes)),
    });
    let update = vec![gnmi::Update {
        path: Some(at.clone()),
        val,
        duplicates: 0,
    }];
    let mut request = gnmi::SetRequest::default();
    match (s.delete, s.replace) {
        (true, _) => request.delete = vec![at],
        (_, true) => request.replace = update,
        _ => request.update = update,
    }
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let id = s.id.unwrap_or_else(|| format!("c{}", unix.as_millis()));
    if let Some(within) = s.confirm_within {
        let rollback_duration = Some(span(within));
        request.extension = commit(
            id.clone(),
            Action::Commit(gnmi_ext::CommitRequest { rollback_duration }),
        );
    }
    request.prefix = prefix(s.fleet);
    client(&s.at).await?.set(request).await?;
    match (s.at.json, s.confirm_within) {
        (true, within) => say(&json!({"changed": true, "confirm": within.map(|_| id)}).to_string()),
        (_, Some(within)) => say(&format!(
            "changed for {within}; it stays by: ironstair confirm {id}"
        )),
        _ => say("changed"),
    }
}

pub async fn trial(t: Trial, action: Action) -> Done {
    let id = match t.id {
        Some(id) => id,
        None if t.fleet => {
            let waits = fleet_shown(&t.at).await?["unconfirmed"]
                .as_str()
                .map(String::from);
            waits.ok_or_else(|| Failed("nothing waits to be confirmed".into(), 3))?
        }
        None => {
            let all = read(&t.at, "/state/revision[number=*]", gnmi::Encoding::JsonIetf).await?;
            let all: Vec<Json> = all.iter().map(|u| value(u.val.as_ref())).collect();
            let of = |r: &Json, name: &str| {
                r[format!("ironstair-gateway:{name}")]
                    .as_str()
                    .map(String::from)
            };
            let waits = all
                .iter()
                .find(|r| of(r, "outcome").as_deref() == Some("unconfirmed"));
            let id = waits.and_then(|r| of(r, "commit"));
            id.ok_or_else(|| Failed("nothing waits to be confirmed".into(), 3))?
        }
    };
    let done = if matches!(action, Action::Confirm(_)) {
        "confirmed"
    } else {
        "taken back"
    };
    let extension = commit(id, action);
    let request = gnmi::SetRequest {
        prefix: prefix(t.fleet),
        extension,
        ..Default::default()
    };
    client(&t.at).await?.set(request).await?;
    say(&if t.at.json {
        json!({"done": done}).to_string()
    } else {
        done.to_string()
    })
}

pub async fn cells(l: Endpoint) -> Done {
    match get(Get {
        path: "/settings/cells".into(),
        at: l.at,
    })
    .await
    {
        Err(Failed(_, 5)) => say("there are no cells"),
        other => other,
    }
}

pub async fn move_tenant(m: Move) -> Done {
    let path = format!(
        "/settings/cells/tenant[name={}]/cell",
        m.tenant.replace('\\', "\\\\").replace(']', "\\]")
    );
    let value = Some(json!(m.cells).to_string());
    let (replace, delete, id) = (true, false, None);
    set(Set {
        path,
        value,
        replace,
        delete,
        confirm_within: m.confirm_within,
        id,
        fleet: m.fleet,
        at: m.at,
    })
    .await
}

/// The tree that is meant: the fleet's, or this gateway's.
fn prefix(fleet: bool) -> Option<gnmi::Path> {
    fleet.then(|| gnmi::Path {
        origin: FLEET.into(),
        ..Default::default()
    })
}

async fn fleet_shown(at: &At) -> Result<Json, Failed> {
    let request = gnmi::GetRequest {
        prefix: prefix(true),
        ..Default::default()
    };
    let answer = client(at).await?.get(request).await?.into_inner();
    let updates = answer.notification.into_iter().flat_map(|n| n.update);
    let shown = updates.map(|u| value(u.val.as_ref())).next();
    shown.ok_or_else(|| Failed("the gateway tells nothing of its fleet".into(), 1))
}

pub async fn fleet(f: Fleet) -> Done {
    if let Some(what) = f.what {
        let anew = matches!(what, FleetWhat::BeginAnew);
        let at = if anew { "/begin-anew" } else { "/begin" };
        let yes = typed_value::Value::JsonIetfVal(b"true".to_vec());
        let val = Some(TypedValue { value: Some(yes) });
        let update = vec![gnmi::Update {
            path: Some(path(at)?),
            val,
            duplicates: 0,
        }];
        let request = gnmi::SetRequest {
            prefix: prefix(true),
            update,
            ..Default::default()
        };
        client(&f.at).await?.set(request).await?;
        if anew {
            return begun_anew(&f.at).await;
        }
        return say(if f.at.json {
            r#"{"begun":true}"#
        } else {
            "begun"
        });
    }
    let shown = fleet_shown(&f.at).await?;
    if f.at.json {
        return say(&format!("{shown:#}"));
    }
    let names = |of: &Json| plain(of);
    let mut text = format!(
        "revision {}, chair {}, keepers {}
",
        plain(&shown["revision"]),
        plain(&shown["chair"]),
        names(&shown["keepers"])
    );
    if !shown["change"].is_null() {
        let c = &shown["change"];
        let _ = writeln!(
            text,
            "revision {} is {}, waits for {}",
            plain(&c["number"]),
            plain(&c["step"]),
            names(&c["waits-for"])
        );
    }
    if !shown["unconfirmed"].is_null() {
        let _ = writeln!(text, "to be confirmed: {}", plain(&shown["unconfirmed"]));
    }
    text += &rows(
        &shown["members"],
        &[
            "name",
            "cut-off",
            "heard-ms-ago",
            "lease-left-ms",
            "holds-what-is-held",
        ],
    );
    say(&text)
}

/// What it began with, by the fleet's log: once the voter that has a vote alone is the leader.
async fn begun_anew(at: &At) -> Done {
    for _ in 0..ANEW_LOOKS {
        if let Ok(shown) = fleet_shown(at).await {
            let first = &shown["revisions"][0];
            return say(&if at.json {
                first.to_string()
            } else {
                plain(&first["what"])
            });
        }
        tokio::time::sleep(ANEW_LOOK).await;
    }
    say("begun anew; no chair sits yet, `ironstair fleet` shows it")
}

/// Objects as a table of these fields.
fn rows(all: &Json, columns: &[&str]) -> String {
    let cell = |row: &Json, c: &str| match &row[c] {
        Json::Null => "-".to_string(),
        v => plain(v),
    };
    let all = all.as_array().cloned().unwrap_or_default();
    let mut text = String::new();
    let wide = |c: &str| {
        all.iter()
            .map(|r| cell(r, c).chars().count())
            .max()
            .unwrap_or(0)
            .max(c.len())
    };
    let mut line = |cells: Vec<String>| {
        let padded = cells
            .iter()
            .zip(columns)
            .map(|(v, c)| format!("{v:<0$}", wide(c)));
        let _ = writeln!(text, "{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(columns.iter().map(|c| c.to_string()).collect());
    all.iter()
        .for_each(|r| line(columns.iter().map(|c| cell(r, c)).collect()));
    text
}

pub async fn revisions(l: Revisions) -> Done {
    if l.fleet {
        let shown = fleet_shown(&l.at).await?;
        if l.at.json {
            return say(&format!("{:#}", shown["revisions"]));
        }
        return say(&rows(
            &shown["revisions"],
            &["number", "outcome", "who", "what", "refused-by", "why"],
        ));
    }
    match get(Get {
        path: "/state/revision[number=*]".into(),
        at: l.at,
    })
    .await
    {
        Err(Failed(_, 5)) => Ok(()),
        other => other,
    }
}

pub async fn watch(w: Watch) -> Done {
    let mode = if w.every.is_some() {
        gnmi::SubscriptionMode::Sample
    } else {
        gnmi::SubscriptionMode::OnChange
    };
    let subscription = gnmi::Subscription {
        path: Some(path(&w.path)?),
        mode: mode as i32,
        sample_interval: w.every.map_or(0, |e| e.as_nanos() as u64),
        ..Default::default()
    };
    let list = gnmi::SubscriptionList {
        subscription: vec![subscription],
        encoding: gnmi::Encoding::Proto as i32,
        ..Default::default()
    };
    let first = gnmi::SubscribeRequest {
        request: Some(subscribe_request::Request::Subscribe(list)),
        extension: Vec::new(),
    };
    // The way there stays open: its end is the end of the stream.
    let requested =
        tokio_stream::StreamExt::chain(tokio_stream::once(first), tokio_stream::pending());
    let mut config = client(&w.at)
        .await?
        .subscribe(requested)
        .await?
        .into_inner();
    let mut left = w.count.unwrap_or(usize::MAX);
    while let Some(message) = if left > 0 {
        config.message().await?
    } else {
        None
    } {
        match message.response {
            Some(subscribe_response::Response::Update(n)) => {
                left -= 1;
                say(&notification(&n, w.at.json))?;
            }
            Some(subscribe_response::Response::SyncResponse(_)) if w.at.json => {
                say(&json!({"sync": true}).to_string())?;
            }
            _ => {}
        }
    }
    Ok(())
}

/// A line for each leaf.
fn notification(n: &gnmi::Notification, for_programs: bool) -> String {
    let at = n.timestamp / 1_000_000;
    let gone = n.delete.iter().map(|p| {
        let path = shown(n.prefix.as_ref(), Some(p));
        match for_programs {
            true => json!({"at": at, "delete": path}).to_string(),
            false => format!("{} {path} is gone", moment(at as u64)),
        }
    });
    let config = n.update.iter().map(|u| {
        let (path, v) = (
            shown(n.prefix.as_ref(), u.path.as_ref()),
            value(u.val.as_ref()),
        );
        match for_programs {
            true => json!({"at": at, "path": path, "value": v}).to_string(),
            false => format!("{} {path} {}", moment(at as u64), plain(&v)),
        }
    });
    gone.chain(config).collect::<Vec<_>>().join("\n")
}

/// A line on standard output. A reader that has gone away wants no more, and is no failure.
fn say(text: &str) -> Done {
    let mut to = std::io::stdout().lock();
    let said = writeln!(to, "{}", text.trim_end()).and_then(|()| to.flush());
    said.map_err(|e| match e.kind() {
        ErrorKind::BrokenPipe => Failed(String::new(), 0),
        _ => Failed(format!("standard output: {e}"), 1),
    })
}

/// Unix milliseconds as people read time; 0 is never, or long past.
fn moment(at: u64) -> String {
    if at == 0 {
        return "-".into();
    }
    let then = SystemTime::UNIX_EPOCH + Duration::from_millis(at);
    humantime::format_rfc3339_millis(then).to_string()
}

fn schema() -> Result<Schema, Failed> {
    Schema::shipped().map_err(|e| Failed(e, 1))
}

/// Runs one command to its end.
pub fn run(work: impl std::future::Future<Output = Done>) -> Done {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .map_err(|e| Failed(e.to_string(), 1))?
        .block_on(work)
}

#[cfg(test)]
mod tests;
