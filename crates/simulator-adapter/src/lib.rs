//! Translates the simulator's line protocol to and from [`merlinfold_decide::interface`]. It makes no
//! decisions.
//!
//! The settings `MarksRetry` and `Reporting` are not read, because the retry marks of the requests and the
//! load reports that arrive show their effect. The write bit of a request is not read, because its class
//! states its effect. The actions `LetGo`, `GetList`, `Debug` and `Crash` are never sent: the decision
//! module subscribes to the server list instead of fetching it, and an internal error ends the process.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::de::{Deserializer, MapAccess, Visitor};
use serde::{Deserialize, Serialize};

use merlinfold_decide::interface::*;
use merlinfold_decide::policy::Balancer;
use merlinfold_settings::{
    require_field, set_load_metric, NameTable, NameTables, NamedServer, PlatformSettings,
};

/// Bit of `Bits` that says that `CostGuess` is valid.
const HAS_COST_GUESS: u64 = 1;

/// Bit of `Bits` that marks a request that its client repeats.
const IS_REPEAT: u64 = 2;

/// A line of input. The fields of all messages are in one record; whether those that a message needs are
/// present is checked where they are used.
#[derive(Deserialize)]
#[serde(expecting = "a message")]
#[allow(non_snake_case)]
struct InputMessage<'a> {
    #[serde(borrow)]
    msg: Cow<'a, str>,
    Time: Option<u64>,
    seq: Option<u64>,
    Node: Option<u64>,
    Seed: Option<u64>,
    Env: Option<PlatformSettings>,
    Gen: Option<u64>,
    Table: Option<u64>,
    #[serde(borrow)]
    Scope: Option<Cow<'a, str>>,
    NodesList: Option<Vec<DirectoryEntry>>,
    #[serde(borrow)]
    Req: Option<Cow<'a, str>>,
    #[serde(borrow)]
    Band: Option<Cow<'a, str>>,
    #[serde(borrow)]
    ClientGroup: Option<NameOrNumber<'a>>,
    Item: Option<u64>,
    Budget: Option<u64>,
    CostGuess: Option<u64>,
    #[serde(default)]
    Bits: u64,
    SendNo: Option<u32>,
    #[serde(borrow)]
    Server: Option<Cow<'a, str>>,
    Duration: Option<u64>,
    Terminal: Option<bool>,
    #[serde(borrow)]
    Result: Option<Cow<'a, str>>,
    Report: Option<WireLoadReport>,
    Tag: Option<u64>,
    By: Option<u32>,
    #[serde(borrow)]
    Bytes: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum NameOrNumber<'a> {
    #[serde(borrow)]
    Name(Cow<'a, str>),
    Number(u64),
}

/// A load report, which is an object of metric names and values on the wire. A null value is ignored.
struct WireLoadReport(LoadReport);

impl<'de> Deserialize<'de> for WireLoadReport {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct MetricsVisitor;
        impl<'de> Visitor<'de> for MetricsVisitor {
            type Value = WireLoadReport;

            fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
                formatter.write_str("a load report")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut metrics: A) -> Result<WireLoadReport, A::Error> {
                let mut report = LoadReport::default();
                while let Some((name, value)) = metrics.next_entry::<Cow<str>, Option<f64>>()? {
                    value.into_iter().for_each(|value| set_load_metric(&mut report, &name, value));
                }
                Ok(WireLoadReport(report))
            }
        }
        deserializer.deserialize_map(MetricsVisitor)
    }
}

/// A server in a `Directory` message.
#[derive(Deserialize, Clone)]
#[serde(rename_all = "PascalCase", expecting = "an entry of NodesList")]
struct DirectoryEntry {
    server: String,
    rack_zone: Option<String>,
    class_of_host: Option<String>,
    pack: Option<u64>,
    readiness: String,
    rating: Option<f64>,
    online_since: Option<u64>,
}

/// A line of output. Fields that a message does not have are left out.
#[derive(Serialize, Default)]
#[allow(non_snake_case)]
struct OutputMessage<'a> {
    msg: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    Node: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    seq: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    Req: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    Server: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    Cap: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    SendNo: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    Backoff: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    In: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    Tag: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    Whom: Option<i64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    Bytes: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    Active: Option<bool>,
}

/// Latest accepted time, ns. It is far beyond any simulated day, and sums of such times do not overflow.
const MAX_TIME: Nanos = 1 << 61;

/// The decision module of one node and the names that the node has seen.
struct NodeInstance {
    balancer: Balancer,
    names: NameTables,
}

impl NodeInstance {
    fn new(platform: &PlatformSettings, seed: u64) -> Result<Self, String> {
        let mut names = NameTables::default();
        let settings = platform.decision_settings(&mut names)?;
        Ok(NodeInstance { balancer: Balancer::new(settings, seed), names })
    }

    fn server_id(&self, name: Option<Cow<str>>) -> Result<ServerId, String> {
        let name = require_field(name, "Server")?;
        let number = self.names.servers.get(&name);
        number.map(|number| ServerId(number as u32)).ok_or_else(|| format!("unknown server {name:?}"))
    }

    fn server_entry(&mut self, entry: &DirectoryEntry) -> Result<ServerEntry, String> {
        Ok(self.names.server_entry(NamedServer {
            name: &entry.server,
            zone: entry.rack_zone.as_deref(),
            host_type: entry.class_of_host.as_deref(),
            cell: entry.pack,
            readiness: match entry.readiness.as_str() {
                "Running" => Readiness::Ready,
                "Stopping" => Readiness::Draining,
                "Deleted" => Readiness::Removed,
                other => {
                    return Err(format!(
                        "unknown readiness {other:?}; expected Running, Stopping or Deleted"
                    ));
                }
            },
            weight: entry.rating,
            started_at: entry.online_since.unwrap_or(0),
        }))
    }
}

fn parse_request_id(text: Option<Cow<str>>) -> Result<RequestId, String> {
    let text = require_field(text, "Req")?;
    let lower_case = text.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
    match u64::from_str_radix(&text, 16) {
        Ok(id) if lower_case && text.len() == 16 => Ok(RequestId(id)),
        _ => Err(format!("request id {text:?} is not 16 hex digits in lower case")),
    }
}

fn parse_status(text: Option<Cow<str>>) -> Result<Status, String> {
    Ok(match require_field(text, "Result")?.as_ref() {
        "OK" => Status::Ok,
        "INTERNAL" => Status::Error,
        "RESOURCE_EXHAUSTED" => Status::Rejected,
        "DEADLINE_EXCEEDED" => Status::Timeout,
        "UNAVAILABLE" => Status::ConnectFailed,
        "ABORTED" => Status::Reset,
        "CANCELLED" => Status::Cancelled,
        "TOO_LATE" => Status::NotSent,
        other => return Err(format!("unknown result {other:?}")),
    })
}

/// Handles the simulator's input lines and returns a reply for each batch of them.
#[derive(Default)]
pub struct Adapter {
    /// Time and sequence number of the open batch.
    batch: Option<(Nanos, u64)>,
    /// Time of the last batch that was opened.
    latest_time: Nanos,
    tables: BTreeMap<u64, Vec<DirectoryEntry>>,
    nodes: BTreeMap<u64, NodeInstance>,
    /// Empty between lines; kept to reuse its allocation.
    actions: Vec<Action>,
    reply: Vec<u8>,
}

impl Adapter {
    /// Returns whether a batch has started and not ended.
    pub fn in_batch(&self) -> bool {
        self.batch.is_some()
    }

    /// Handles one line and returns the reply if the line ends a batch.
    ///
    /// Returns an error if the line is malformed, out of order or refers to an unknown name.
    pub fn handle_line(&mut self, line: &[u8]) -> Result<Option<&[u8]>, String> {
        let message: InputMessage = serde_json::from_slice(line).map_err(|error| error.to_string())?;
        let Some((now, seq)) = self.batch else {
            if message.msg != "Frame" {
                return Err(format!("{} outside of a batch", message.msg));
            }
            let (now, seq) = (require_field(message.Time, "Time")?, require_field(message.seq, "seq")?);
            let latest = self.latest_time;
            if now < latest || now > MAX_TIME {
                return Err(format!(
                    "Time {now} is out of range; expected {latest} (time of the last batch) to {MAX_TIME}"
                ));
            }
            (self.batch, self.latest_time) = (Some((now, seq)), now);
            self.reply.clear();
            return Ok(None);
        };
        match message.msg.as_ref() {
            "Frame" => return Err("Frame within a batch; expected Eob first".to_owned()),
            "Eob" => {
                self.batch = None;
                let end = OutputMessage { msg: "Ok", seq: Some(seq), ..OutputMessage::default() };
                write_message(&mut self.reply, &end);
                return Ok(Some(&self.reply));
            }
            "Directory" => {
                let entries = require_field(message.NodesList, "NodesList");
                self.tables.insert(require_field(message.Table, "Table")?, entries?);
                return Ok(None);
            }
            _ => {}
        }
        let node = require_field(message.Node, "Node")?;
        if message.msg == "Configure" {
            let settings = require_field(message.Env, "Env")?;
            let instance = NodeInstance::new(&settings, require_field(message.Seed, "Seed")?)?;
            self.nodes.insert(node, instance);
            return Ok(None);
        }
        if message.msg == "Exit" {
            self.nodes.remove(&node).ok_or_else(|| format!("unknown node {node}"))?;
            return Ok(None);
        }
        let instance = self.nodes.get_mut(&node).ok_or_else(|| format!("unknown node {node}"))?;
        let event = Self::parse_event(instance, &self.tables, message)?;
        let mut actions = std::mem::take(&mut self.actions);
        instance.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            write_action(&mut self.reply, node, &instance.names.servers, action);
        }
        self.actions = actions;
        Ok(None)
    }

    /// Converts a message that is addressed to a node into an event for its decision module.
    fn parse_event(
        node: &mut NodeInstance, tables: &BTreeMap<u64, Vec<DirectoryEntry>>, message: InputMessage,
    ) -> Result<Event, String> {
        Ok(match message.msg.as_ref() {
            "Membership" => {
                require_field(message.Gen, "Gen")?;
                let kind = match require_field(message.Scope, "Scope")?.as_ref() {
                    "Persisted" => ListKind::Persisted,
                    "Complete" => ListKind::Complete,
                    "Partial" => ListKind::Partial,
                    "Error" => ListKind::Failed,
                    other => {
                        return Err(format!(
                            "unknown scope {other:?}; expected Persisted, Complete, Partial or Error"
                        ));
                    }
                };
                let mut entries = Vec::new();
                if kind != ListKind::Failed {
                    let table = require_field(message.Table, "Table")?;
                    let list = tables.get(&table).ok_or_else(|| format!("unknown table {table}"))?;
                    for entry in list {
                        entries.push(node.server_entry(entry)?);
                    }
                }
                Event::Servers { kind, entries }
            }
            "Ask" => {
                let band = require_field(message.Band, "Band")?;
                let class = node.names.classes.get(&band);
                let tenant = match &message.ClientGroup {
                    Some(NameOrNumber::Name(name)) => node.names.tenants.get(name),
                    Some(NameOrNumber::Number(0)) | None => None,
                    Some(NameOrNumber::Number(number)) => return Err(format!("unknown tenant {number}")),
                };
                Event::Request(Request {
                    id: parse_request_id(message.Req)?,
                    class: class.ok_or_else(|| format!("unknown class {band:?}"))?,
                    tenant,
                    key: message.Item,
                    client_timeout: require_field(message.Budget, "Budget")?,
                    cost_hint: message.CostGuess.filter(|_| message.Bits & HAS_COST_GUESS != 0),
                    is_retry: message.Bits & IS_REPEAT != 0,
                    streams_body: false,
                })
            }
            "Accepted" => Event::ResponseStarted {
                id: parse_request_id(message.Req)?,
                attempt: require_field(message.SendNo, "SendNo")?,
                latency: message.Duration.unwrap_or(0),
            },
            "Verdict" => Event::Outcome {
                id: parse_request_id(message.Req)?,
                attempt: require_field(message.SendNo, "SendNo")?,
                server: node.server_id(message.Server)?,
                status: parse_status(message.Result)?,
                latency: message.Duration.unwrap_or(0),
                terminal: message.Terminal.unwrap_or(false),
                report: message.Report.map(|report| report.0),
            },
            "Dropped" => Event::ClientGone(parse_request_id(message.Req)?),
            "DeadlineHit" => Event::Timer(require_field(message.Tag, "Tag")?),
            "Echo" => Event::ProbeOutcome {
                server: node.server_id(message.Server)?,
                status: parse_status(message.Result)?,
                latency: message.Duration.unwrap_or(0),
                report: message.Report.map(|report| report.0),
            },
            "Inbox" => {
                let bytes = message.Bytes.unwrap_or_default();
                let bytes = BASE64_STANDARD.decode(bytes.as_bytes());
                let bytes = bytes.map_err(|error| format!("Bytes is not valid base64: {error}"))?;
                Event::PeerMessage { from: require_field(message.By, "By")?, bytes }
            }
            other => return Err(format!("unknown event {other:?}")),
        })
    }
}

/// Appends the line for one action of a node.
fn write_action(output: &mut Vec<u8>, node: u64, servers: &NameTable, action: Action) {
    let mut message = OutputMessage { Node: Some(node), ..OutputMessage::default() };
    let hex = |id: RequestId| Some(format!("{:016x}", id.0));
    match action {
        Action::Send { id, server, timeout, .. } => {
            message.msg = "Issue";
            message.Req = hex(id);
            message.Server = Some(servers.name(server.0 as usize));
            message.Cap = Some(timeout).filter(|&time| time > 0);
        }
        Action::Cancel { id, attempt } => {
            message.msg = "UndoSend";
            message.Req = hex(id);
            message.SendNo = Some(attempt);
        }
        Action::Refuse { id, retry_after } => {
            message.msg = "Shed";
            message.Req = hex(id);
            message.Backoff = Some(retry_after).filter(|&time| time > 0);
        }
        Action::Fail { id } => {
            message.msg = "FinishError";
            message.Req = hex(id);
        }
        Action::Timer { after, token } => {
            message.msg = "Arm";
            message.In = Some(after);
            message.Tag = Some(token);
        }
        Action::Probe { server } => {
            message.msg = "Test";
            message.Server = Some(servers.name(server.0 as usize));
        }
        Action::SendToPeers { to, bytes } => {
            message.msg = "Share";
            message.Whom = Some(to.map_or(-1, i64::from));
            message.Bytes = Some(BASE64_STANDARD.encode(bytes));
        }
        Action::Watch => {
            message.msg = "Observe";
            message.Active = Some(true);
        }
    }
    write_message(output, &message);
}

/// Appends one line of output.
fn write_message(output: &mut Vec<u8>, message: &OutputMessage) {
    serde_json::to_writer(&mut *output, message).expect("plain fields can be serialized");
    output.push(b'\n');
}
