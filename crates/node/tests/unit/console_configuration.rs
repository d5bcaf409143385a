//! Tests of the console's API for the versioned configuration.

use super::*;
use std::sync::{Arc, Mutex};

use crate::configuration::{
    Applier, Baseline, FleetProgress, Publication, PublicationError, PublishFuture, Publisher, RevisionId,
};
use merlinfold_revision::{Delta, Document, Tenant};
use merlinfold_settings::{NameTables, PlatformSettings};
use serde_json::{from_str, from_value, json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

/// A publisher of a single node: applies each revision at once, or fails with a given error.
struct LocalPublisher {
    applier: Arc<Applier>,
    published: Mutex<Vec<Publication>>,
    error: Mutex<Option<PublicationError>>,
}

impl Publisher for LocalPublisher {
    fn publish(&self, publication: Publication) -> PublishFuture<'_> {
        Box::pin(async move {
            if let Some(error) = self.error.lock().unwrap().clone() {
                return Err(error);
            }
            let number = publication.base.map_or(0, |base| base.number) + 1;
            let id = RevisionId { epoch: 1, number };
            let (applier, document) = (self.applier.clone(), publication.document.clone());
            let applied = tokio::task::spawn_blocking(move || applier.apply(id, &document)).await.unwrap();
            applied.map_err(|error| PublicationError::Refused(error.to_string()))?;
            self.published.lock().unwrap().push(publication);
            Ok(id)
        })
    }

    fn progress(&self) -> FleetProgress {
        FleetProgress {
            live: 3,
            applied: 2,
            behind: 1,
            behind_names: vec!["n2".to_owned()],
            ..Default::default()
        }
    }
}

struct Console {
    address: SocketAddr,
    publisher: Arc<LocalPublisher>,
}

impl Console {
    async fn start() -> Self {
        let env: PlatformSettings = from_value(json!({
            "Categories": [{"Name": "read", "Aim": 400_000_000u64, "GiveUp": 1_000_000_000u64}],
            "Limits": {"MaxAttempts": 3},
        }))
        .unwrap();
        let mut names = NameTables::default();
        let settings = env.decision_settings(&mut names).unwrap();
        let (sender, mut inputs) = mpsc::unbounded_channel();
        let applier = Arc::new(Applier::new(
            Baseline::new(&settings, &names, 100),
            crate::input::deliver_changes(sender.clone()),
        ));
        let publisher = Arc::new(LocalPublisher {
            applier: applier.clone(),
            published: Mutex::default(),
            error: Mutex::default(),
        });
        // Confirms each change, as the driver does.
        tokio::spawn(async move {
            while let Some(input) = inputs.recv().await {
                if let Input::Configuration { applied: taken, .. } = input {
                    taken.send(()).unwrap();
                }
            }
        });
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let configuration = Some(Arc::new(ConfigurationApi::new(applier, publisher.clone())));
        tokio::spawn(serve(listener, sender, FleetApi { log: None, configuration }));
        Console { address, publisher }
    }

    /// Makes one call and returns the status and the body of the answer.
    async fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let length = body.len();
        let request =
            format!("{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
    }

    async fn status(&self) -> Value {
        let (status, body) = self.call("GET", "/fleet/configuration", "").await;
        assert_eq!(status, 200, "{body}");
        from_str(&body).unwrap()
    }

    /// Publishes a change of tenants based on the revision in force.
    async fn publish(&self, tenants: Value) -> (u16, String) {
        let here = &self.status().await["here"];
        let base = json!({"revision": here["revision"], "digest": here["digest"]});
        let proposal = json!({"delta": {"base": base, "tenants": tenants}});
        self.call("POST", "/fleet/configuration", &proposal.to_string()).await
    }
}

fn tenant(requests_per_1000_s: u64) -> Value {
    json!({"set": {"t": {"share": 0, "requests_per_1000_s": requests_per_1000_s}}})
}

#[tokio::test]
async fn a_change_is_published_shown_and_rolled_back() {
    let console = Console::start().await;
    let (status, body) = console.publish(tenant(5_000)).await;
    assert_eq!((status, from_str::<Value>(&body).unwrap()), (200, json!({"revision": 1, "epoch": 1})));
    assert_eq!(console.publish(tenant(7_000)).await.0, 200);
    let status_json = console.status().await;
    assert_eq!(status_json["here"]["revision"], 2);
    assert_eq!(
        (&status_json["fleet"]["behind"], &status_json["fleet"]["behind_names"][0]),
        (&json!(1), &json!("n2"))
    );

    let (status, body) =
        console.call("POST", "/fleet/configuration/rollback", r#"{"from": 2, "to": 1}"#).await;
    assert_eq!((status, from_str::<Value>(&body).unwrap()), (200, json!({"revision": 3, "epoch": 1})));
    let (status, body) = console.call("GET", "/fleet/configuration/document", "").await;
    let document: Document = from_str(&body).unwrap();
    assert_eq!(
        (status, document.tenants["t"].clone()),
        (200, Tenant { share: 0, requests_per_1000_s: Some(5_000) })
    );
    assert_eq!(console.status().await["here"]["digest"], json!(document.digest()));
}

/// Guards against nodes that differ: a published delta and document are canonical and lead to the same result.
#[tokio::test]
async fn a_publication_has_the_delta_and_the_document_that_it_makes() {
    let console = Console::start().await;
    console.publish(tenant(5_000)).await;
    console.publish(json!({"remove": ["t"]})).await;
    let published = console.publisher.published.lock().unwrap().clone();
    let bases: Vec<Option<u64>> = published.iter().map(|one| one.base.map(|base| base.number)).collect();
    assert_eq!(bases, [None, Some(1)], "the first revision has no base");
    let deltas = || published.iter().zip(1..).map(|(one, number)| (number, &one.delta[..]));
    assert_eq!(Applier::compose(&[], 0, deltas().take(1)).unwrap(), published[0].document.to_vec());
    assert_eq!(Applier::compose(&[], 0, deltas()).unwrap(), published[1].document.to_vec());
    assert!(Delta::decode(&published[1].delta).unwrap().tenants.remove.contains("t"));
}

#[tokio::test]
async fn an_invalid_change_is_answered_with_its_error_and_not_published() {
    let console = Console::start().await;
    let digest = Document::default().digest();
    let delta = |revision: u64, change: &str| {
        format!(r#"{{"delta": {{"base": {{"revision": {revision}, "digest": "{digest}"}}, {change}}}}}"#)
    };
    let set =
        |section: &str, key: &str, value: &str| format!(r#""{section}": {{"set": {{"{key}": {value}}}}}"#);
    let class = r#"{"aim_ms": 1, "worth": 1, "late_worth": 0}"#;
    for (body, status, expected) in [
        (delta(1, &set("tenants", "t", "{\"share\": 0}")), 409, "base: 1, but revision 0 is in force"),
        (delta(0, &set("tenants", "t t", "{\"share\": 0}")), 400, "tenants.\"t t\": the name has a space"),
        (delta(0, &set("classes", "other", class)), 400, "classes.other: this node was started without it"),
        (delta(0, &set("tenants", "t", "{\"shares\": 0}")), 400, "body: unknown field `shares`"),
        (delta(0, r#""tenants": {}"#), 400, "delta: changes nothing"),
        ("{}".to_owned(), 400, "body: missing field `delta`"),
    ] {
        let (answered, text) = console.call("POST", "/fleet/configuration", &body).await;
        assert_eq!(answered, status, "{body}: {text}");
        assert!(text.contains(expected), "{body}: {text}");
    }
    let (status, text) =
        console.call("POST", "/fleet/configuration/rollback", r#"{"from": 4, "to": 1}"#).await;
    assert_eq!((status, text.contains("revision 0 is in force")), (409, true), "{text}");
    let (status, text) =
        console.call("POST", "/fleet/configuration/rollback", r#"{"from": 0, "to": 7}"#).await;
    assert_eq!((status, text.contains("revision 7 is not stored at this node")), (409, true), "{text}");
    assert!(console.publisher.published.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_failed_publication_is_answered_with_its_error() {
    let console = Console::start().await;
    for (error, status) in [
        (PublicationError::Conflict("another was first".to_owned()), 409),
        (PublicationError::Refused("too long".to_owned()), 400),
        (PublicationError::Unconfirmed, 503),
        (PublicationError::Unavailable("busy".to_owned()), 503),
    ] {
        *console.publisher.error.lock().unwrap() = Some(error.clone());
        let (answered, text) = console.publish(tenant(1)).await;
        assert_eq!((answered, text), (status, format!("{error}\n")));
    }
    assert_eq!(console.status().await["here"]["revision"], 0);
}

/// Guards the planned size: one JSON change of all 30,000 tenants fits into the size limit.
#[tokio::test]
async fn a_change_of_all_tenants_is_published() {
    let console = Console::start().await;
    let tenants: serde_json::Map<String, Value> = (0..30_000)
        .map(|n| (format!("tenant-{n:05}"), json!({"share": 0, "requests_per_1000_s": 1 + n})))
        .collect();
    let (status, text) = console.publish(json!({"set": tenants})).await;
    assert_eq!(status, 200, "{text}");
    assert_eq!(console.publisher.applier.document().tenants.len(), 30_000);
}

#[tokio::test]
async fn a_node_without_versioned_configuration_answers_not_found() {
    let (sender, _inputs) = mpsc::unbounded_channel();
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, sender, FleetApi::default()));
    let publisher = Console::start().await.publisher;
    let (status, text) = Console { address, publisher }.call("GET", "/fleet/configuration", "").await;
    assert_eq!((status, text.contains("[fleet.configuration]")), (404, true), "{text}");
}
